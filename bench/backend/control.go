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
	// controlTimeout limits each call to the node.
	controlTimeout = time.Second
	// maxControlBytes limits the body of a control request or response.
	maxControlBytes = 1 << 20
	// maxCancelWait limits how long the response to a cancellation waits for the
	// end of the request. It is shorter than the 100 ms for which a node keeps
	// the slot occupied.
	maxCancelWait = 80 * time.Millisecond
	// cancellationTTL is how long, at least, the id of a cancelled request is kept
	// that has not arrived yet. The request is refused if it arrives meanwhile.
	cancellationTTL = time.Second
	// sampleInterval is the interval between state samples, from which delayed
	// health and load reports are answered.
	sampleInterval = 50 * time.Millisecond
	// leavePollInterval is the interval between calls of POST /v1/leave.
	leavePollInterval = 50 * time.Millisecond
)

// stateSample is the state of the server at one time.
type stateSample struct {
	at       time.Time
	inFlight int
	cold     bool
}

// handler returns the handler of one boot. It serves the node's control calls
// under /v1/ and all other requests as work.
func (s *Server) handler(b *boot) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/health", func(w http.ResponseWriter, _ *http.Request) {
		r := s.delayedState(s.config.HealthLag)
		reply(w, http.StatusOK, map[string]any{"bootId": b.id, "healthy": true, "cold": r.cold})
	})
	mux.HandleFunc("GET /v1/load", func(w http.ResponseWriter, _ *http.Request) {
		reply(w, http.StatusOK, map[string]int{"inFlight": s.delayedState(s.config.LoadLag).inFlight, "queued": 0})
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

// reply sends a JSON response.
func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A failed write means that the node has closed the connection.
	_ = json.NewEncoder(w).Encode(body)
}

// decode reads a JSON body into target. If it fails, it sends status 400 and
// returns false.
func decode(w http.ResponseWriter, r *http.Request, target any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxControlBytes)).Decode(target); err != nil {
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

// grant handles POST /v1/grant, which says which partitions the node owns and
// until when.
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
	j, ignoresCancel := s.findOrMarkCancelled(b, body.RequestID)
	if j == nil {
		reply(w, http.StatusOK, map[string]bool{"cancelled": false})
		return
	}
	j.cancel()
	if !ignoresCancel {
		// The node gives the slot to another request as soon as it has received
		// the response.
		timer := time.NewTimer(maxCancelWait)
		defer timer.Stop()
		select {
		case <-j.ended:
		case <-timer.C:
		case <-b.ctx.Done():
		}
	}
	reply(w, http.StatusOK, map[string]bool{"cancelled": !ignoresCancel})
}

// findOrMarkCancelled returns the running request with an id. If there is none,
// it returns nil and marks the id as cancelled, because the request comes on
// another connection and may arrive after its cancellation.
func (s *Server) findOrMarkCancelled(b *boot, id string) (j *job, ignoresCancel bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if j = b.running[id]; j != nil {
		return j, j.ignoresCancel
	}
	now := time.Now()
	for old, at := range b.cancelled {
		if now.Sub(at) > cancellationTTL {
			delete(b.cancelled, old)
		}
	}
	b.cancelled[id] = now
	return nil, false
}

// delayedState returns the newest state sample that is at least lag old, or the
// current state if lag is 0. It returns an empty state if all samples are
// newer.
func (s *Server) delayedState(lag time.Duration) stateSample {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if lag <= 0 {
		return s.currentState(now)
	}
	old := stateSample{at: now}
	for _, r := range s.samples {
		if now.Sub(r.at) < lag {
			break
		}
		old = r
	}
	return old
}

// currentState returns the state now. The caller must hold s.mu.
func (s *Server) currentState(now time.Time) stateSample {
	r := stateSample{at: now}
	if s.boot != nil {
		r.inFlight, r.cold = s.boot.inFlight, s.boot.capacity > 0
	}
	return r
}

// background announces the server and takes state samples until the boot ends.
func (s *Server) background(b *boot) {
	tick := time.NewTicker(sampleInterval)
	defer tick.Stop()
	announced := time.Time{}
	for {
		s.gate.wait(b.ctx)
		now := time.Now()
		s.mu.Lock()
		s.samples = append(s.samples, s.currentState(now))
		keep := max(s.config.HealthLag, s.config.LoadLag) + time.Second
		for len(s.samples) > 0 && now.Sub(s.samples[0].at) > keep {
			s.samples = s.samples[1:]
		}
		leaving := s.leaving
		s.mu.Unlock()
		if !leaving && s.config.Announce != "" && now.Sub(announced) >= s.config.AnnounceEvery {
			announced = now
			// An error does not matter: the announcement is repeated.
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

// post sends a JSON body to the node's listener for backend servers and decodes
// the response into target unless it is nil.
func (s *Server) post(ctx context.Context, path string, body, target any) error {
	encoded, err := json.Marshal(body)
	if err != nil {
		return fmt.Errorf("POST %s: %w", path, err)
	}
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.config.Announce+path, bytes.NewReader(encoded))
	if err != nil {
		return fmt.Errorf("POST %s: %w", path, err)
	}
	q.Header.Set("Content-Type", "application/json")
	r, err := s.client.Do(q)
	if err != nil {
		return fmt.Errorf("POST %s: %w", path, err)
	}
	defer func() { _ = r.Body.Close() }()
	content, err := io.ReadAll(io.LimitReader(r.Body, maxControlBytes))
	if err != nil {
		return fmt.Errorf("POST %s: %w", path, err)
	}
	if r.StatusCode != http.StatusOK {
		return errors.Errorf("POST %s: status %d: %s", path, r.StatusCode, content)
	}
	if target == nil {
		return nil
	}
	if err := json.Unmarshal(content, target); err != nil {
		return fmt.Errorf("POST %s: %w", path, err)
	}
	return nil
}

// Leave announces to the node that the server will stop, waits until the node
// reports that it is done, and stops the server. If it returns an error, the
// server still runs.
func (s *Server) Leave(ctx context.Context) error {
	s.mu.Lock()
	b := s.boot
	if b == nil {
		s.mu.Unlock()
		return errors.New("leave: server is not running")
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
		case <-time.After(leavePollInterval):
		case <-ctx.Done():
			return fmt.Errorf("leave: %w", ctx.Err())
		}
	}
}
