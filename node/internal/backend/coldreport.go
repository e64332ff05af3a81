package backend

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

const (
	// healthTimeout limits a request of the health path in a dialect. A heartbeat that
	// waits for it must get its response within a second.
	healthTimeout = 250 * time.Millisecond
	// minReportInterval is the least time between two requests for the cold start of
	// the backend server.
	minReportInterval = 25 * time.Millisecond
)

// recordColdStart records the remaining time of a cold start that the backend server
// reports, 0 for none. The first report of a life replaces what the life before reported.
// Later, a report of none may have been sent before one of a cold start, so that it does
// not end that one. A server that has just started has got no requests, because nobody
// knew of it before its first heartbeat.
func (s *Server) recordColdStart(now time.Time, remaining time.Duration, first, started bool) {
	if remaining > 0 && started {
		s.admission.setStartedCold(now.Add(remaining))
		return
	}
	if remaining > 0 || first {
		s.admission.setColdUntil(now.Add(remaining))
		return
	}
	s.admission.reportWarm()
}

// readColdReports asks the backend server for its cold start, until the context ends. It
// does so when so many requests have started since the latest heartbeat that a server
// which has become cold since would be overloaded.
func (s *Server) readColdReports(ctx context.Context) {
	pause := time.NewTimer(0)
	defer pause.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-pause.C:
		}
		select {
		case <-ctx.Done():
			return
		case <-s.admission.reportDue:
		}
		if s.admission.needsReport() {
			if err := s.readColdReport(ctx); err != nil {
				s.log.Debug().Err(err).Msg("cold start of the backend server not known")
			}
		}
		pause.Reset(minReportInterval)
	}
}

// readColdReport requests the health path of the backend server and records the cold
// start that the response states.
func (s *Server) readColdReport(ctx context.Context) error {
	b := s.Announced()
	s.mu.Lock()
	healthPath := s.upstream.HealthPath
	s.mu.Unlock()
	if b == nil || healthPath == "" {
		// Only heartbeats state its cold start.
		s.admission.reportWarm()
		return nil
	}
	header, err := s.requestHealth(ctx, b.GetAddress(), healthPath, false)
	if err != nil {
		return err
	}
	if name := s.cfg.Dialect.Backend.ServerName(header); name != b.GetName() {
		return errors.Errorf("the health path states the name %q, expected %q", name, b.GetName())
	}
	remaining := s.cfg.Dialect.Backend.ColdRemaining(header)
	s.recordColdStart(s.cfg.RequestClock.Now(), remaining, false, false)
	if remaining > 0 {
		s.log.Info().Str("name", b.GetName()).Int64("remainingMillis", remaining.Milliseconds()).Msg("backend server is cold")
	}
	return nil
}

// requestHealth requests the health path and returns the header of the response. Fresh
// makes it use a new connection.
func (s *Server) requestHealth(ctx context.Context, address, healthPath string, fresh bool) (http.Header, error) {
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+healthPath, nil)
	if err != nil {
		return nil, fmt.Errorf("health request: %w", err)
	}
	q.Close = fresh
	response, err := s.client.Do(q)
	if err != nil {
		return nil, fmt.Errorf("health request: %w", err)
	}
	if !fresh {
		// A connection whose response is not read to its end is not used again.
		_, _ = io.CopyN(io.Discard, response.Body, maxCallBytes)
	}
	_ = response.Body.Close()
	return response.Header, nil
}
