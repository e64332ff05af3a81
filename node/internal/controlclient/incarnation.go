package controlclient

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/jujubeknot/jujubeknot/core/lease"
	"github.com/jujubeknot/jujubeknot/node/internal/view"
	"github.com/jujubeknot/jujubeknot/wire/tasks"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// incarnation is one registration of the node, from begin to the end of its
// lease.
type incarnation struct {
	s        *Session
	number   uint64
	secret   string
	server   *wirev1.BackendServer
	interval time.Duration
	// loadSince is the time of the last load report.
	loadSince time.Time
	releases  *releases

	mu       sync.Mutex
	holder   lease.Holder
	sequence uint64
	endOnce  sync.Once
	// extended wakes extendLoop.
	extended chan struct{}
	// reportSoon makes renewLoop renew after a random delay. It is used for events
	// that all nodes report at the same time.
	reportSoon chan struct{}
	// ended is closed when the lease has expired or control no longer knows it.
	ended chan struct{}
}

// run holds the lease until it is lost, the backend server is lost or replaced,
// or the context ends. It returns the reason. Nothing of the incarnation is in
// use when it returns.
func (i *incarnation) run(ctx context.Context) string {
	loops, cancel := context.WithCancel(ctx)
	s := i.s
	// The rules may have been in force before this registration. No change of the
	// rules would then call configure.
	i.configure()
	running := tasks.New(6)
	running.Go(loops, "renew", tasks.WithoutError(i.renewLoop))
	running.Go(loops, "watch", tasks.WithoutError(i.watchLoop))
	running.Go(loops, "report", tasks.WithoutError(i.reportLoop))
	running.Go(loops, "expiry", tasks.WithoutError(i.expiryLoop))
	running.Go(loops, "extend", tasks.WithoutError(i.extendLoop))
	if !s.cfg.GrantsByHeartbeat {
		running.Go(loops, "drain", tasks.WithoutError(i.drainLoop))
	}
	reason := i.wait(ctx)
	if reason != leaseLost {
		i.completeCalls(ctx)
	}
	held, expiry := i.invalidateLease()
	cancel()
	// Keyed work must end before another node can own the partitions. The lease is
	// therefore returned only after EndLease.
	s.cfg.View.SetIdentity(view.Identity{Secret: s.cfg.PeerSecret})
	closing, done := context.WithTimeout(context.WithoutCancel(ctx), s.returnTimeout())
	defer done()
	abandoned := errors.Is(context.Cause(ctx), ErrAbandoned) || ctx.Err() != nil && i.keepsLease()
	if abandoned {
		done()
	}
	s.cfg.Owner.EndLease(closing)
	// The loops never return an error.
	_ = running.Wait()
	s.cfg.Log.Warn().Uint64("incarnation", i.number).Str("reason", reason).Bool("returned", held).Msg("lease ended")
	if reason == backendLost && !s.cfg.GrantsByHeartbeat && s.cfg.Backend.Unresponsive() {
		// The backend server may resume and read its grants from its receive buffer.
		// The latest of them lasts until the end of the lease, so no other node may
		// own the partitions before that time.
		sleep(ctx, expiry.Sub(s.cfg.Clock.Now()))
	}
	if held && !abandoned {
		if i.server != nil {
			// Without a backend server the lease was one under which no keys were granted.
			// One that has appeared since may hold keys of an earlier process, which it keeps.
			s.cfg.Owner.LeaseReturned()
		}
		i.deregister(context.WithoutCancel(ctx))
	}
	return reason
}

// completeCalls admits no further keyed calls and waits for those in flight. The backend
// server may be running them although it is taken for lost or replaced: one that stops
// closes its listener first. The calls of a server that has ended fail at once. Those of
// a silent one may take until their deadlines, and meanwhile the lease, and with it the
// grants of that server, would be extended. They are not waited for.
func (i *incarnation) completeCalls(ctx context.Context) {
	s := i.s
	ended, answered := s.cfg.Owner.CloseLease()
	if s.cfg.Backend.Unresponsive() {
		return
	}
	i.mu.Lock()
	expiry := i.holder.Expiry()
	i.mu.Unlock()
	timer := time.NewTimer(expiry.Sub(s.cfg.Clock.Now()))
	defer timer.Stop()
	select {
	case <-ended:
		return
	case <-timer.C:
	case <-i.ended:
	case <-ctx.Done():
	}
	// The lease has been extended. What is left may be responses that a caller does not
	// read, and these must not keep the keys from other owners.
	select {
	case <-answered:
	case <-i.ended:
	case <-ctx.Done():
	}
}

// keepsLease reports whether a stopping node lets its lease expire instead of
// returning it. It does so if the backend server keeps running beside the next
// process, or if the backend server still holds keys. Other nodes would own
// those keys at once if the lease were returned.
func (i *incarnation) keepsLease() bool {
	s := i.s
	if s.cfg.Backend.Announced() == nil {
		return false
	}
	return s.cfg.KeepsLeaseOnStop && !s.cfg.Backend.Leaving() || s.cfg.GrantsByHeartbeat && s.cfg.Owner.Partitions() > 0
}

// wait waits for the end of the incarnation and returns the reason.
func (i *incarnation) wait(ctx context.Context) string {
	for {
		select {
		case <-ctx.Done():
			return "stopping"
		case <-i.ended:
			return leaseLost
		case <-i.s.backendChanged:
			now := i.s.cfg.Backend.Announced()
			if now.GetName() != i.server.GetName() || now.GetUpstream() != i.server.GetUpstream() {
				if now == nil {
					return backendLost
				}
				return "backendServerChanged"
			}
			if i.s.cfg.GrantsByHeartbeat && now.GetBootId() != i.server.GetBootId() {
				return "backendServerRestarted"
			}
			i.configure()
		}
	}
}

// invalidateLease ends the lease permanently. It reports whether the lease was
// still held, and its expiry.
func (i *incarnation) invalidateLease() (held bool, expiry time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	held, expiry = i.holder.Valid(i.s.cfg.Clock.Now()), i.holder.Expiry()
	i.holder.Invalidate()
	return held, expiry
}

// endLease ends the incarnation because its lease was lost.
func (i *incarnation) endLease() { i.endOnce.Do(func() { close(i.ended) }) }

// deregister returns the lease, so that other nodes can own the partitions at
// once. If it fails, the lease expires at control.
func (i *incarnation) deregister(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, i.s.returnTimeout())
	defer cancel()
	for ctx.Err() == nil {
		client, address := i.s.group.leader()
		_, err := client.Deregister(ctx, connect.NewRequest(&wirev1.DeregisterRequest{Incarnation: i.number}))
		if err == nil {
			return
		}
		i.s.cfg.Log.Warn().Err(err).Str("member", address).Msg("returning the lease failed")
		i.s.group.recordFailure(address, err)
		if !sleep(ctx, minRetryBackoff) {
			return
		}
	}
}
