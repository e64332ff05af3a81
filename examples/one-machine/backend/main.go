// Backend is a sample backend server. It announces itself to the node beside it,
// accepts grants, checks fencing tokens and answers each request with its name.
// It uses only the standard library, so it can be run from its file:
//
//	go run examples/one-machine/backend/main.go app-1 applications 127.0.0.1:9101 127.0.0.1:8103
package main

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"log"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	slots       = 6
	connections = 110
	// announceInterval is the interval that the protocol requires.
	announceInterval = time.Second
)

// server is one backend server.
type server struct {
	name, upstream, address, node string
	bootID                        string
	inFlight                      atomic.Int64

	mu sync.Mutex
	// lease, sequence and version are those of the latest grant. expiry is the
	// time at which the grant expires. granted maps each partition of the grant to
	// its epoch.
	lease, sequence, version uint64
	expiry                   time.Time
	granted                  map[uint64]uint64
	// highestEpoch maps each partition to the highest epoch received for it.
	highestEpoch map[uint64]uint64
}

func main() {
	if len(os.Args) != 5 {
		log.Fatal("usage: backend NAME UPSTREAM ADDRESS NODE, for example app-1 applications 127.0.0.1:9101 127.0.0.1:8103")
	}
	s := &server{
		name: os.Args[1], upstream: os.Args[2], address: os.Args[3], node: os.Args[4],
		bootID: strconv.FormatInt(time.Now().UnixNano(), 36), granted: map[uint64]uint64{}, highestEpoch: map[uint64]uint64{},
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	listener := &http.Server{Addr: s.address, Handler: s.handler(), ReadHeaderTimeout: 5 * time.Second}
	serveError := make(chan error, 1)
	go func() { serveError <- listener.ListenAndServe() }()
	for {
		if err := s.post("/v1/announce", map[string]any{
			"name": s.name, "upstream": s.upstream, "address": s.address, "bootId": s.bootID,
			"slots": slots, "connections": connections, "checksFences": true,
		}, nil); err != nil {
			log.Printf("announcement: %v", err)
		}
		select {
		case err := <-serveError:
			log.Fatal(err)
		case <-ctx.Done():
			s.awaitLeave()
			return
		case <-time.After(announceInterval):
		}
	}
}

// awaitLeave asks the node to move all partitions to other backend servers and waits
// until they have moved. It stops waiting if a call fails, or after 60 calls, half
// a second apart.
func (s *server) awaitLeave() {
	var response struct {
		Done bool `json:"done"`
	}
	for range 60 {
		if err := s.post("/v1/leave", map[string]string{"name": s.name, "bootId": s.bootID}, &response); err != nil || response.Done {
			return
		}
		time.Sleep(announceInterval / 2)
	}
}

// post calls the node beside this backend server.
func (s *server) post(path string, body, target any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return fmt.Errorf("encode request to %s: %w", path, err)
	}
	client := http.Client{Timeout: announceInterval}
	response, err := client.Post("http://"+s.node+path, "application/json", bytes.NewReader(data))
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("call %s: status %s", path, response.Status)
	}
	if target == nil {
		return nil
	}
	return json.NewDecoder(response.Body).Decode(target)
}

func (s *server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/health", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, map[string]string{"bootId": s.bootID})
	})
	mux.HandleFunc("GET /v1/load", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, map[string]int64{"inFlight": s.inFlight.Load()})
	})
	mux.HandleFunc("POST /v1/grant", s.handleGrant)
	// Requests complete immediately, so there is nothing to cancel or to drain.
	mux.HandleFunc("POST /v1/cancel", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, struct{}{}) })
	mux.HandleFunc("POST /v1/drain", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, struct{}{}) })
	mux.HandleFunc("/", s.handleRequest)
	return mux
}

// partition is one partition of a grant.
type partition struct {
	Partition uint64 `json:"partition"`
	Epoch     uint64 `json:"epoch"`
}

// grantRequest is the body of POST /v1/grant.
type grantRequest struct {
	Lease      uint64      `json:"lease"`
	Sequence   uint64      `json:"sequence"`
	Version    uint64      `json:"version"`
	Base       uint64      `json:"base"`
	Whole      bool        `json:"whole"`
	ExpiryMs   int64       `json:"expiryMs"`
	Partitions []partition `json:"partitions"`
	Closed     []partition `json:"closed"`
}

// handleGrant records the partitions that this server may serve, and until when.
func (s *server) handleGrant(w http.ResponseWriter, r *http.Request) {
	var g grantRequest
	if err := json.NewDecoder(r.Body).Decode(&g); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	reason := s.apply(g, time.Now())
	response := map[string]any{"lease": s.lease, "version": s.version}
	s.mu.Unlock()
	if reason != "" {
		response["error"] = reason
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(http.StatusConflict)
	}
	writeJSON(w, response)
}

// apply applies a grant. It returns the reason if the grant must be rejected, and
// an empty string otherwise.
func (s *server) apply(g grantRequest, now time.Time) (reason string) {
	if g.Lease < s.lease || g.Lease == s.lease && g.Sequence <= s.sequence {
		return "stale"
	}
	if g.Lease > s.lease {
		s.lease, s.version = g.Lease, 0
		clear(s.granted)
	}
	// The sequence of a rejected grant is recorded too, so that no earlier grant is
	// accepted after it.
	s.sequence = g.Sequence
	if !g.Whole && (cmp.Or(g.Base, g.Version) != s.version || !now.Before(s.expiry)) {
		return "unknownVersion"
	}
	if g.Whole {
		clear(s.granted)
	}
	for _, p := range g.Closed {
		s.highestEpoch[p.Partition] = max(s.highestEpoch[p.Partition], p.Epoch)
		if s.granted[p.Partition] <= p.Epoch {
			delete(s.granted, p.Partition)
		}
	}
	for _, p := range g.Partitions {
		if p.Epoch >= s.highestEpoch[p.Partition] {
			s.highestEpoch[p.Partition], s.granted[p.Partition] = p.Epoch, p.Epoch
		}
	}
	s.version, s.expiry = g.Version, now.Add(time.Duration(g.ExpiryMs)*time.Millisecond)
	return ""
}

// handleRequest runs a caller's request. It rejects the request if its fencing token
// is older than the highest epoch of the partition.
func (s *server) handleRequest(w http.ResponseWriter, r *http.Request) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	w.Header().Set("Jujubeknot-Boot-Id", s.bootID)
	if fence := r.Header.Get("Jujubeknot-Fence"); fence != "" {
		epoch, _ := strconv.ParseUint(fence, 10, 64)
		partition, _ := strconv.ParseUint(r.Header.Get("Jujubeknot-Partition"), 10, 64)
		s.mu.Lock()
		highest := s.highestEpoch[partition]
		s.mu.Unlock()
		if epoch < highest {
			w.Header().Set("Jujubeknot-Outcome", "notRun")
			http.Error(w, "the fencing token is out of date", http.StatusServiceUnavailable)
			return
		}
	}
	writeJSON(w, map[string]string{"server": s.name, "method": r.Method, "path": r.URL.Path})
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	// A write error is ignored: it means that the node has closed the connection.
	_ = json.NewEncoder(w).Encode(body)
}
