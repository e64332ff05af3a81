package backend

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/jujubeknot/jujubeknot/core/lease"
	"github.com/jujubeknot/jujubeknot/wire/headers"
)

const (
	controlTimeout = time.Second
	controlBytes   = 1 << 20
	// cancelWait bounds the time for which the answer to a cancellation waits
	// for the end of the request. It is shorter than the 100 ms for which a node
	// keeps the slot.
	cancelWait = 80 * time.Millisecond
	// cancelMemory is the time for which a cancelled request that has not
	// arrived is refused.
	cancelMemory = time.Second
	// reportEvery is the interval of the reports that lag.
	reportEvery = 50 * time.Millisecond
	// leaveEvery is the interval of repeated calls of POST /v1/leave.
	leaveEvery = 50 * time.Millisecond
)

// report is the state of the server at one time.
type report struct {
	at       time.Time
	inFlight int
	cold     bool
}

// handler serves the node's calls and the requests.
func (s *Server) handler(b *boot) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/health", func(w http.ResponseWriter, _ *http.Request) {
		r := s.reported(s.config.HealthLag)
		reply(w, http.StatusOK, map[string]any{"bootId": b.id, "healthy": true, "cold": r.cold})
	})
	mux.HandleFunc("GET /v1/load", func(w http.ResponseWriter, _ *http.Request) {
		reply(w, http.StatusOK, map[string]int{"inFlight": s.reported(s.config.LoadLag).inFlight, "queued": 0})
	})
	mux.HandleFunc("POST /v1/drain", s.drain)
	mux.HandleFunc("POST /v1/grant", s.grant)
	mux.HandleFunc("POST /v1/cancel", func(w http.ResponseWriter, r *http.Request) { s.cancelRequest(w, r, b) })
	mux.HandleFunc("/v1/", http.NotFound)
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) { s.work(w, r, b) })
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.gate.wait(b.ctx)
		w.Header().Set(headers.BootID, b.id)
		mux.ServeHTTP(w, r)
	})
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A failed write means that the node has gone.
	_ = json.NewEncoder(w).Encode(body)
}

func decode(w http.ResponseWriter, r *http.Request, target any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, controlBytes)).Decode(target); err != nil {
		reply(w, http.StatusBadRequest, map[string]string{"error": "body is not the expected JSON: " + err.Error()})
		return false
	}
	return true
}

func (s *Server) drain(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Drain bool `json:"drain"`
	}
	if !decode(w, r, &body) {
		return
	}
	s.mu.Lock()
	s.draining = body.Drain
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]bool{"drain": body.Drain})
}

// grant notes which partitions the node owns until when.
func (s *Server) grant(w http.ResponseWriter, r *http.Request) {
	var g lease.Grant
	if !decode(w, r, &g) {
		return
	}
	s.mu.Lock()
	answer := s.grants.Apply(time.Now(), g)
	s.mu.Unlock()
	status := http.StatusOK
	if answer.Error != "" {
		status = http.StatusConflict
	}
	reply(w, status, answer)
}

func (s *Server) cancelRequest(w http.ResponseWriter, r *http.Request, b *boot) {
	var body struct {
		RequestID string `json:"requestId"`
	}
	if !decode(w, r, &body) {
		return
	}
	j, stubborn := s.running(b, body.RequestID)
	if j == nil {
		reply(w, http.StatusOK, map[string]bool{"cancelled": false})
		return
	}
	j.cancel()
	if !stubborn {
		// The node gives the slot to another request as soon as it has the
		// answer.
		timer := time.NewTimer(cancelWait)
		defer timer.Stop()
		select {
		case <-j.ended:
		case <-timer.C:
		case <-b.ctx.Done():
		}
	}
	reply(w, http.StatusOK, map[string]bool{"cancelled": !stubborn})
}

// running returns the request with an id, or notes that the id is cancelled: the
// request comes on another connection and may still be on its way.
func (s *Server) running(b *boot, id string) (j *job, stubborn bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if j = b.running[id]; j != nil {
		return j, j.stubborn
	}
	now := time.Now()
	for old, at := range b.cancelled {
		if now.Sub(at) > cancelMemory {
			delete(b.cancelled, old)
		}
	}
	b.cancelled[id] = now
	return nil, false
}

// reported returns the state as it was a lag ago.
func (s *Server) reported(lag time.Duration) report {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if lag <= 0 {
		return s.current(now)
	}
	old := report{at: now}
	for _, r := range s.history {
		if now.Sub(r.at) < lag {
			break
		}
		old = r
	}
	return old
}

// current returns the state now. The lock is held.
func (s *Server) current(now time.Time) report {
	r := report{at: now}
	if s.boot != nil {
		r.inFlight, r.cold = s.boot.inFlight, s.boot.capacity > 0
	}
	return r
}

// background announces the server and keeps the reports until it ends.
func (s *Server) background(b *boot) {
	tick := time.NewTicker(reportEvery)
	defer tick.Stop()
	announced := time.Time{}
	for {
		s.gate.wait(b.ctx)
		now := time.Now()
		s.mu.Lock()
		s.history = append(s.history, s.current(now))
		keep := max(s.config.HealthLag, s.config.LoadLag) + time.Second
		for len(s.history) > 0 && now.Sub(s.history[0].at) > keep {
			s.history = s.history[1:]
		}
		leaving := s.leaving
		s.mu.Unlock()
		if !leaving && s.config.Announce != "" && now.Sub(announced) >= s.config.AnnounceEvery {
			announced = now
			// A node that does not answer hears the next announcement.
			_ = s.post(b.ctx, "/v1/announce", map[string]any{
				"name": s.config.Name, "upstream": s.config.Upstream, "address": cmp.Or(s.config.Advertise, s.Address()), "bootId": b.id,
				"slots": s.config.Slots, "connections": s.config.Connections, "checksFences": s.config.ChecksFences,
				"clockMs": time.Since(b.started).Milliseconds(),
			}, nil)
		}
		select {
		case <-tick.C:
		case <-b.ctx.Done():
			return
		}
	}
}

// post calls the node.
func (s *Server) post(ctx context.Context, path string, body, target any) error {
	encoded, err := json.Marshal(body)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.config.Announce+path, bytes.NewReader(encoded))
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	q.Header.Set("Content-Type", "application/json")
	r, err := s.client.Do(q)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	defer func() { _ = r.Body.Close() }()
	content, err := io.ReadAll(io.LimitReader(r.Body, controlBytes))
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	if r.StatusCode != http.StatusOK {
		return errors.Errorf("%s: status %d: %s", path, r.StatusCode, content)
	}
	if target == nil {
		return nil
	}
	if err := json.Unmarshal(content, target); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return nil
}

// Leave tells the node that the server stops, waits until the node says that it
// may, and ends the server. The error says why it could not leave; the server
// then still runs.
func (s *Server) Leave(ctx context.Context) error {
	s.mu.Lock()
	b := s.boot
	if b == nil {
		s.mu.Unlock()
		return errors.New("server does not run")
	}
	s.leaving = true
	s.mu.Unlock()
	for {
		var state struct {
			Done bool `json:"done"`
		}
		if err := s.post(ctx, "/v1/leave", map[string]string{"name": s.config.Name, "bootId": b.id}, &state); err != nil {
			s.mu.Lock()
			s.leaving = false
			s.mu.Unlock()
			return fmt.Errorf("leave: %w", err)
		}
		if state.Done {
			s.Kill()
			return nil
		}
		select {
		case <-time.After(leaveEvery):
		case <-ctx.Done():
			return fmt.Errorf("leave: %w", ctx.Err())
		}
	}
}
