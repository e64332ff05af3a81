package controlclient

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/jujubeknot/jujubeknot/core/lease"
	"github.com/jujubeknot/jujubeknot/node/internal/owner"
	"github.com/jujubeknot/jujubeknot/node/internal/view"
	"github.com/jujubeknot/jujubeknot/wire/tasks"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// incarnation is one registration, from begin to the end of its lease.
type incarnation struct {
	s        *Session
	number   uint64
	secret   string
	server   *wirev1.BackendServer
	interval time.Duration
	// loadSince is the time of the last load report.
	loadSince time.Time
	reports   chan owner.Release

	mu       sync.Mutex
	holder   lease.Holder
	sequence uint64
	endOnce  sync.Once
	// extended wakes extendLoop.
	extended chan struct{}
	// together makes renewLoop report something that all nodes report now.
	together chan struct{}
	// ended is closed when the lease is over or given up.
	ended chan struct{}
}

// run holds the lease until it is lost, the backend server becomes another
// one, or the context ends, and returns which. In the end nothing of the
// incarnation is in use.
func (i *incarnation) run(ctx context.Context) string {
	loops, cancel := context.WithCancel(ctx)
	s := i.s
	// The rules may be in force already, so that no change of them follows.
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
	held, until := i.giveUp()
	cancel()
	// Keyed work ends before anyone else can get the partitions: the lease is
	// returned only afterwards.
	s.cfg.View.SetIdentity(view.Identity{Secret: s.cfg.PeerSecret})
	closing, done := context.WithTimeout(context.WithoutCancel(ctx), deregisterTimeout)
	defer done()
	abandoned := errors.Is(context.Cause(ctx), ErrAbandoned) || ctx.Err() != nil && i.outlived()
	if abandoned {
		done()
	}
	s.cfg.Owner.EndLease(closing)
	// None of the loops returns an error.
	_ = running.Wait()
	s.cfg.Log.Warn().Uint64("incarnation", i.number).Str("reason", reason).Bool("returned", held).Msg("lease ended")
	if reason == backendLost && !s.cfg.GrantsByHeartbeat && s.cfg.Backend.Unresponsive() {
		// It may wake up and find its grants among what was sent to it, the latest of
		// them until the end of the lease: nobody else gets the partitions before.
		sleep(ctx, until.Sub(s.cfg.Clock.Now()))
	}
	if held && !abandoned {
		i.deregister(context.WithoutCancel(ctx))
	}
	return reason
}

// outlived reports whether a stopping node leaves its lease to run out: the
// backend server goes on beside the next process, or still holds keys, which
// others would get at once if the lease were returned.
func (i *incarnation) outlived() bool {
	s := i.s
	if s.cfg.Backend.Announced() == nil {
		return false
	}
	return s.cfg.KeepsLeaseOnStop && !s.cfg.Backend.Leaving() || s.cfg.GrantsByHeartbeat && s.cfg.Owner.Partitions() > 0
}

// wait returns why the incarnation ends.
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

// giveUp ends the lease for good. It reports whether it was still held, and until
// when it would have been.
func (i *incarnation) giveUp() (held bool, until time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	held, until = i.holder.Valid(i.s.cfg.Clock.Now()), i.holder.Expiry()
	i.holder.Invalidate()
	return held, until
}

func (i *incarnation) lost() { i.endOnce.Do(func() { close(i.ended) }) }

// deregister returns the lease, so that others get the partitions at once. If
// it fails the lease runs out at control.
func (i *incarnation) deregister(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, deregisterTimeout)
	defer cancel()
	for ctx.Err() == nil {
		client, address := i.s.group.leader()
		_, err := client.Deregister(ctx, connect.NewRequest(&wirev1.DeregisterRequest{Incarnation: i.number}))
		if err == nil {
			return
		}
		i.s.cfg.Log.Warn().Err(err).Str("member", address).Msg("returning the lease failed")
		i.s.group.failure(address, err)
		if !sleep(ctx, retryPause) {
			return
		}
	}
}
