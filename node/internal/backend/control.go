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

// Timeouts and bounds of the node's own calls to the backend server.
const (
	controlTimeout = 500 * time.Millisecond
	controlBytes   = 64 << 10
)

// Load is the backend server's own report. It may be old; the node's decisions
// rest on what the node itself observes.
type Load struct {
	InFlight int `json:"inFlight"`
	Queued   int `json:"queued"`
}

// Drain tells the backend server that it gets no new work, or that it does
// again.
func (s *Server) Drain(ctx context.Context, drain bool) error {
	_, err := s.control(ctx, http.MethodPost, "/v1/drain", map[string]bool{"drain": drain}, nil)
	return err
}

// control makes one call. Status is 0 if nothing answered. The target is also
// filled from the answer of a conflict.
func (s *Server) control(ctx context.Context, method, path string, body, target any) (status int, err error) {
	s.mu.Lock()
	b := s.announced
	s.mu.Unlock()
	if b == nil {
		return 0, errors.New("no backend server is announced")
	}
	var payload io.Reader
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return 0, fmt.Errorf("%s: %w", path, err)
		}
		payload = bytes.NewReader(encoded)
	}
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
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
	s.heard(response.Header.Get(headers.BootID))
	content, err := io.ReadAll(io.LimitReader(response.Body, controlBytes))
	if err != nil {
		return response.StatusCode, fmt.Errorf("%s: %w", path, err)
	}
	if response.StatusCode/100 != 2 {
		if response.StatusCode == http.StatusConflict && target != nil {
			// A conflict says what is in force; without that it is an error too.
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

// probe asks for health. Any answer is a sign of life; a bad one is only
// logged, because health reports are stale or misleading at times. Without a
// sign of life for the configured time the backend server is lost.
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
	status, err := s.control(ctx, http.MethodGet, "/v1/health", nil, &health)
	if err == nil {
		s.heard(health.BootID)
		return
	}
	if status != 0 {
		s.log.Debug().Err(err).Msg("backend server reports bad health")
		return
	}
	now := s.cfg.Clock.Now()
	s.mu.Lock()
	silent := now.Sub(s.alive)
	gone := !s.lost && silent > s.cfg.LostAfter
	if gone {
		s.lost, s.silent = true, !errors.Is(err, syscall.ECONNREFUSED)
	}
	s.mu.Unlock()
	if gone {
		s.log.Warn().Err(err).Dur("silentFor", silent).Msg("backend server lost")
		s.pool.configure(b.GetAddress(), 0, true)
		s.cfg.OnChange()
	}
}

func (s *Server) readLoad(ctx context.Context) {
	var l Load
	if _, err := s.control(ctx, http.MethodGet, "/v1/load", nil, &l); err != nil {
		return
	}
	s.mu.Lock()
	s.load = l
	s.mu.Unlock()
}

// cancellation is a request that the backend server is told to cancel.
type cancellation struct {
	id string
	// heard is called once, after the backend server has answered or
	// Config.CancelHold.
	heard func()
}

// cancelLater tells the backend server to cancel a request, without waiting.
// Under a flood of failures ids are dropped: the closed connection and the
// deadline then have to do.
func (s *Server) cancelLater(id string, heard func()) {
	var once sync.Once
	c := cancellation{id: id, heard: func() { once.Do(heard) }}
	select {
	case s.cancels <- c:
		time.AfterFunc(s.cfg.CancelHold, c.heard)
	default:
		c.heard()
	}
}

func (s *Server) sendCancels(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case c := <-s.cancels:
			if _, err := s.control(ctx, http.MethodPost, "/v1/cancel", map[string]string{"requestId": c.id}, nil); err != nil {
				s.log.Debug().Err(err).Str("requestId", c.id).Msg("cancel did not reach the backend server")
			}
			c.heard()
		}
	}
}
