package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/jujubeknot/jujubeknot/wire/headers"
)

// Limits of the node's control calls to the backend server.
const (
	callTimeout  = 500 * time.Millisecond
	maxCallBytes = 64 << 10
)

// Load is the load that the backend server reports. It may be stale, so the
// node's decisions use only what the node itself observes.
type Load struct {
	InFlight int `json:"inFlight"`
	Queued   int `json:"queued"`
}

// Drain informs the backend server that it gets no new work, or, if drain is
// false, that it gets new work again.
func (s *Server) Drain(ctx context.Context, drain bool) error {
	_, err := s.call(ctx, http.MethodPost, "/v1/drain", map[string]bool{"drain": drain}, nil)
	return err
}

// call makes one control call. Status is 0 if there was no response. The target
// is filled from a successful response and from that of a conflict.
func (s *Server) call(ctx context.Context, method, path string, body, target any) (status int, err error) {
	s.mu.Lock()
	b := s.announced
	s.mu.Unlock()
	if b == nil {
		return 0, errors.Errorf("%s: no backend server is announced", path)
	}
	var payload io.Reader
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return 0, fmt.Errorf("%s: %w", path, err)
		}
		payload = bytes.NewReader(encoded)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, method, "http://"+b.GetAddress()+path, payload)
	if err != nil {
		return 0, fmt.Errorf("%s: %w", path, err)
	}
	if body != nil {
		q.Header.Set("Content-Type", "application/json")
	}
	response, err := s.client.Do(q)
	if err != nil {
		return 0, fmt.Errorf("%s: %w", path, err)
	}
	defer func() { _ = response.Body.Close() }()
	s.recordResponse(response.Header.Get(headers.BootID))
	content, err := io.ReadAll(io.LimitReader(response.Body, maxCallBytes))
	if err != nil {
		return response.StatusCode, fmt.Errorf("%s: %w", path, err)
	}
	if response.StatusCode/100 != 2 {
		if response.StatusCode == http.StatusConflict && target != nil {
			// The body of a conflict reports the state in force. The call fails
			// with the status in any case, so a body that is not JSON needs no
			// error.
			_ = json.Unmarshal(content, target)
		}
		return response.StatusCode, errors.Errorf("%s: status %d", path, response.StatusCode)
	}
	if target == nil {
		return response.StatusCode, nil
	}
	if err := json.Unmarshal(content, target); err != nil {
		return response.StatusCode, fmt.Errorf("%s: %w", path, err)
	}
	return response.StatusCode, nil
}

// probe requests the health of the backend server. Any response counts as
// contact. Bad health is only logged, because health reports are sometimes
// stale or misleading. Without contact for Config.LostAfter the backend server
// is lost.
func (s *Server) probe(ctx context.Context) {
	s.mu.Lock()
	b, lost := s.announced, s.lost
	s.mu.Unlock()
	if b == nil || lost {
		return
	}
	var health struct {
		BootID string `json:"bootId"`
	}
	status, err := s.call(ctx, http.MethodGet, "/v1/health", nil, &health)
	if err == nil {
		s.recordResponse(health.BootID)
		return
	}
	if status != 0 {
		s.log.Debug().Err(err).Msg("backend server reports bad health")
		return
	}
	now := s.cfg.Clock.Now()
	s.mu.Lock()
	sinceContact := now.Sub(s.lastContact)
	gone := !s.lost && sinceContact > s.cfg.LostAfter
	if gone {
		s.lost, s.unresponsive = true, !errors.Is(err, syscall.ECONNREFUSED)
	}
	s.mu.Unlock()
	if gone {
		s.log.Warn().Err(err).Dur("silentFor", sinceContact).Msg("backend server lost")
		s.pool.configure(b.GetAddress(), 0, true)
		s.cfg.OnChange()
	}
}

func (s *Server) readLoad(ctx context.Context) {
	var l Load
	if _, err := s.call(ctx, http.MethodGet, "/v1/load", nil, &l); err != nil {
		return
	}
	s.mu.Lock()
	s.load = l
	s.mu.Unlock()
}

// cancellation is a request for the backend server to cancel.
type cancellation struct {
	id string
	// done is called once: when the cancel call has ended or after
	// Config.CancelHold, whichever is first.
	done func()
}

// enqueueCancel makes the backend server cancel a request, without waiting for
// it. If the queue is full, as under a flood of failures, the cancellation is
// dropped: the closed connection and the deadline still end the request.
func (s *Server) enqueueCancel(id string, done func()) {
	var once sync.Once
	c := cancellation{id: id, done: func() { once.Do(done) }}
	select {
	case s.cancels <- c:
		time.AfterFunc(s.cfg.CancelHold, c.done)
	default:
		c.done()
	}
}

func (s *Server) sendCancels(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case c := <-s.cancels:
			if _, err := s.call(ctx, http.MethodPost, "/v1/cancel", map[string]string{"requestId": c.id}, nil); err != nil {
				s.log.Debug().Err(err).Str("requestId", c.id).Msg("cancel did not reach the backend server")
			}
			c.done()
		}
	}
}
