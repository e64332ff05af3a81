// Backend is a sample backend server: it announces itself to the node beside
// it, takes grants, checks fencing tokens and answers each request with its
// name. It uses the standard library only, so it runs from its file:
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
	// announceInterval is what the protocol asks for.
	announceInterval = time.Second
)

// server is one backend server.
type server struct {
	name, upstream, address, node string
	bootID                        string
	inFlight                      atomic.Int64

	mu sync.Mutex
	// lease, sequence and version are those of the latest grant, ends is when
	// it ends, and granted has the epoch of each of its partitions.
	lease, sequence, version uint64
	ends                     time.Time
	granted                  map[uint64]uint64
	// seen has the highest epoch of each partition.
	seen map[uint64]uint64
}

func main() {
	if len(os.Args) != 5 {
		log.Fatal("usage: backend NAME UPSTREAM ADDRESS NODE, for example app-1 applications 127.0.0.1:9101 127.0.0.1:8103")
	}
	s := &server{
		name: os.Args[1], upstream: os.Args[2], address: os.Args[3], node: os.Args[4],
		bootID: strconv.FormatInt(time.Now().UnixNano(), 36), granted: map[uint64]uint64{}, seen: map[uint64]uint64{},
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	listener := &http.Server{Addr: s.address, Handler: s.handler(), ReadHeaderTimeout: 5 * time.Second}
	ended := make(chan error, 1)
	go func() { ended <- listener.ListenAndServe() }()
	for {
		if err := s.post("/v1/announce", map[string]any{
			"name": s.name, "upstream": s.upstream, "address": s.address, "bootId": s.bootID,
			"slots": slots, "connections": connections, "checksFences": true,
		}, nil); err != nil {
			log.Printf("announcement: %v", err)
		}
		select {
		case err := <-ended:
			log.Fatal(err)
		case <-ctx.Done():
			s.leave()
			return
		case <-time.After(announceInterval):
		}
	}
}

// leave asks the node to move everything away before the process ends.
func (s *server) leave() {
	var state struct {
		Done bool `json:"done"`
	}
	for range 60 {
		if err := s.post("/v1/leave", map[string]string{"name": s.name, "bootId": s.bootID}, &state); err != nil || state.Done {
			return
		}
		time.Sleep(announceInterval / 2)
	}
}

// post calls the node beside this backend server.
func (s *server) post(path string, body, target any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return fmt.Errorf("encode: %w", err)
	}
	client := http.Client{Timeout: announceInterval}
	response, err := client.Post("http://"+s.node+path, "application/json", bytes.NewReader(data))
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("status %s", response.Status)
	}
	if target == nil {
		return nil
	}
	return json.NewDecoder(response.Body).Decode(target)
}

func (s *server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/health", func(w http.ResponseWriter, _ *http.Request) {
		answer(w, map[string]string{"bootId": s.bootID})
	})
	mux.HandleFunc("GET /v1/load", func(w http.ResponseWriter, _ *http.Request) {
		answer(w, map[string]int64{"inFlight": s.inFlight.Load()})
	})
	mux.HandleFunc("POST /v1/grant", s.grant)
	// Requests here end at once, so there is nothing to cancel or to drain.
	mux.HandleFunc("POST /v1/cancel", func(w http.ResponseWriter, _ *http.Request) { answer(w, struct{}{}) })
	mux.HandleFunc("POST /v1/drain", func(w http.ResponseWriter, _ *http.Request) { answer(w, struct{}{}) })
	mux.HandleFunc("/", s.request)
	return mux
}

// partition is one partition of a grant.
type partition struct {
	Partition uint64 `json:"partition"`
	Epoch     uint64 `json:"epoch"`
}

// grantMessage is the body of POST /v1/grant.
type grantMessage struct {
	Lease      uint64      `json:"lease"`
	Sequence   uint64      `json:"sequence"`
	Version    uint64      `json:"version"`
	Base       uint64      `json:"base"`
	Whole      bool        `json:"whole"`
	ExpiryMs   int64       `json:"expiryMs"`
	Partitions []partition `json:"partitions"`
	Closed     []partition `json:"closed"`
}

// grant notes the partitions that this server may work on, and until when.
func (s *server) grant(w http.ResponseWriter, r *http.Request) {
	var g grantMessage
	if err := json.NewDecoder(r.Body).Decode(&g); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	fault := s.take(g, time.Now())
	state := map[string]any{"lease": s.lease, "version": s.version}
	s.mu.Unlock()
	if fault != "" {
		state["error"] = fault
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(http.StatusConflict)
	}
	answer(w, state)
}

// take applies a grant, or returns why it must not be applied.
func (s *server) take(g grantMessage, now time.Time) (fault string) {
	if g.Lease < s.lease || g.Lease == s.lease && g.Sequence <= s.sequence {
		return "stale"
	}
	if g.Lease > s.lease {
		s.lease, s.version = g.Lease, 0
		clear(s.granted)
	}
	// A grant that is not taken counts as seen, so that no earlier one is taken
	// after it.
	s.sequence = g.Sequence
	if !g.Whole && (cmp.Or(g.Base, g.Version) != s.version || !now.Before(s.ends)) {
		return "unknownVersion"
	}
	if g.Whole {
		clear(s.granted)
	}
	for _, p := range g.Closed {
		s.seen[p.Partition] = max(s.seen[p.Partition], p.Epoch)
		if s.granted[p.Partition] <= p.Epoch {
			delete(s.granted, p.Partition)
		}
	}
	for _, p := range g.Partitions {
		if p.Epoch >= s.seen[p.Partition] {
			s.seen[p.Partition], s.granted[p.Partition] = p.Epoch, p.Epoch
		}
	}
	s.version, s.ends = g.Version, now.Add(time.Duration(g.ExpiryMs)*time.Millisecond)
	return ""
}

// request runs a caller's request, unless its fencing token is out of date.
func (s *server) request(w http.ResponseWriter, r *http.Request) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	w.Header().Set("Jujubeknot-Boot-Id", s.bootID)
	if fence := r.Header.Get("Jujubeknot-Fence"); fence != "" {
		epoch, _ := strconv.ParseUint(fence, 10, 64)
		partition, _ := strconv.ParseUint(r.Header.Get("Jujubeknot-Partition"), 10, 64)
		s.mu.Lock()
		known := s.seen[partition]
		s.mu.Unlock()
		if epoch < known {
			w.Header().Set("Jujubeknot-Outcome", "notRun")
			http.Error(w, "the fencing token is out of date", http.StatusServiceUnavailable)
			return
		}
	}
	answer(w, map[string]string{"server": s.name, "method": r.Method, "path": r.URL.Path})
}

func answer(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	// A failed write means that the node has gone.
	_ = json.NewEncoder(w).Encode(body)
}
