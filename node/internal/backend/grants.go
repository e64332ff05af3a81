package backend

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/jujubeknot/jujubeknot/core/lease"
)

// grants makes a lease.GrantSender safe for concurrent use.
type grants struct {
	// sending holds a value while a message is in flight. Only one is in flight
	// at a time, so messages arrive in the order in which they were made.
	sending chan struct{}

	mu     sync.Mutex
	sender lease.GrantSender
}

// setServerClock records that the backend server's clock showed ms at now.
func (g *grants) setServerClock(now time.Time, ms int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sender.SetServerClock(now, time.Duration(ms)*time.Millisecond)
}

// AddGrants adds partitions of a lease to the grants that SendGrants sends to
// the backend server.
func (s *Server) AddGrants(number uint64, upstream string, partitions []lease.GrantedPartition) {
	s.grants.mu.Lock()
	defer s.grants.mu.Unlock()
	s.grants.sender.AddPartitions(number, upstream, partitions...)
}

// RemoveGrants removes partitions from the grants that SendGrants sends.
func (s *Server) RemoveGrants(partitions ...lease.GrantedPartition) {
	s.grants.mu.Lock()
	defer s.grants.mu.Unlock()
	s.grants.sender.RemovePartitions(partitions...)
}

// EndGrants permanently removes all partitions of the lease from the grants.
func (s *Server) EndGrants() {
	s.grants.mu.Lock()
	defer s.grants.mu.Unlock()
	s.grants.sender.EndLease()
}

// SendGrants sends the changed grants and the end of the lease to the backend
// server. Concurrent calls share messages: with one message for each call, 64
// releases sent 64 messages over two connections and waited up to 100 ms. An
// error means that the backend server may not know of the change.
func (s *Server) SendGrants(ctx context.Context, until time.Time) error {
	g := &s.grants
	select {
	case g.sending <- struct{}{}:
	case <-ctx.Done():
		return fmt.Errorf("wait for an earlier grant: %w", ctx.Err())
	}
	defer func() { <-g.sending }()
	for again := true; again; {
		g.mu.Lock()
		message, some := g.sender.Next(s.cfg.Clock.Now(), until)
		g.mu.Unlock()
		if !some {
			return nil
		}
		var answer lease.GrantAnswer
		status, err := s.call(ctx, http.MethodPost, "/v1/grant", message, &answer)
		g.mu.Lock()
		if err != nil && status != http.StatusConflict {
			g.sender.Failed()
			g.mu.Unlock()
			return err
		}
		again = g.sender.Answered(answer)
		g.mu.Unlock()
		if err != nil && !again {
			return errors.Errorf("grant of version %d refused: %s", message.Version, answer.Error)
		}
	}
	return nil
}
