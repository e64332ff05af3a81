// Backend is a sample backend server: it announces itself to the node beside
// it, takes grants, checks fencing tokens and answers each request with its
// name. It uses the standard library only, so it runs from its file:
//
//	go run examples/one-machine/backend/main.go app-1 applications 127.0.0.1:9101 127.0.0.1:8103
package main

import (
	"bytes"
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

// grant is the right to run requests of one partition.
type grant struct {
	epoch uint64
	ends  time.Time
}

// server is one backend server.
type server struct {
	name, upstream, address, node string
	bootID                        string
	inFlight                      atomic.Int64

	mu     sync.Mutex
	grants map[uint64]grant
}

func main() {
	if len(os.Args) != 5 {
		log.Fatal("usage: backend NAME UPSTREAM ADDRESS NODE, for example app-1 applications 127.0.0.1:9101 127.0.0.1:8103")
	}
	s := &server{
		name: os.Args[1], upstream: os.Args[2], address: os.Args[3], node: os.Args[4],
		bootID: strconv.FormatInt(time.Now().UnixNano(), 36), grants: map[uint64]grant{},
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

// grant notes the partitions that this server may work on, and until when.
func (s *server) grant(w http.ResponseWriter, r *http.Request) {
	var g struct {
		ExpiryMs   int64 `json:"expiryMs"`
		Partitions []struct {
			Partition uint64 `json:"partition"`
			Epoch     uint64 `json:"epoch"`
		} `json:"partitions"`
	}
	if err := json.NewDecoder(r.Body).Decode(&g); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ends := time.Now().Add(time.Duration(g.ExpiryMs) * time.Millisecond)
	s.mu.Lock()
	for _, p := range g.Partitions {
		if p.Epoch >= s.grants[p.Partition].epoch {
			s.grants[p.Partition] = grant{p.Epoch, ends}
		}
	}
	s.mu.Unlock()
	answer(w, struct{}{})
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
		g := s.grants[partition]
		s.mu.Unlock()
		if epoch < g.epoch {
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
