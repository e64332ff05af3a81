package controlclient

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/jujubeknot/jujubeknot/node/internal/view"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
	"github.com/jujubeknot/jujubeknot/wire/v1/wirev1connect"
)

// minRenewDelay is the least time between two renewals. It bounds how often
// events can cause a renewal.
const minRenewDelay = 20 * time.Millisecond

// renewLoop renews the lease at the renewal interval. It also renews at once
// after an event that control should know of, and after a random delay if all
// nodes report the event at the same time.
func (i *incarnation) renewLoop(ctx context.Context) {
	var late sync.WaitGroup
	defer late.Wait()
	for ctx.Err() == nil {
		if !i.renew(ctx, &late) {
			if !sleep(ctx, i.retryBackoff()) {
				return
			}
			continue
		}
		if !sleep(ctx, minRenewDelay) {
			return
		}
		i.awaitRenewal(ctx)
	}
}

// awaitRenewal returns when the next renewal is due.
func (i *incarnation) awaitRenewal(ctx context.Context) {
	now := i.s.cfg.Clock.Now
	due := now().Add(i.interval - minRenewDelay)
	timer := time.NewTimer(due.Sub(now()))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			return
		case <-i.s.renewNow:
			return
		case <-i.reportSoon:
			if delay := rand.N(reportDelayLimit(i.s.cfg.View.Table().NodeCount())); delay < due.Sub(now()) {
				timer.Reset(delay)
			}
		}
	}
}

// renew makes one renewal and reports whether control responded in time. A late
// response still extends the lease, because a leader that is busy for a moment
// must not cause the loss of a lease. This is safe because the lease is counted
// from the sending of the renewal.
func (i *incarnation) renew(ctx context.Context, late *sync.WaitGroup) bool {
	s := i.s
	request := i.renewRequest()
	i.mu.Lock()
	i.sequence++
	request.Sequence = i.sequence
	// The lease is counted from this time, before the first byte is sent.
	sent := s.cfg.Clock.Now()
	i.holder.Sent(sent, request.Sequence)
	i.mu.Unlock()
	_, address := s.group.leader()
	answered := make(chan bool, 1)
	late.Go(func() { answered <- i.send(ctx, request, sent) })
	timer := time.NewTimer(s.group.scaledTimeout(renewTimeout))
	defer timer.Stop()
	select {
	case ok := <-answered:
		return ok
	case <-timer.C:
		s.cfg.Log.Warn().Str("member", address).Uint64("sequence", request.GetSequence()).Msg("renewal not answered in time")
		s.group.recordFailure(address, context.DeadlineExceeded)
		return false
	}
}

// send sends a renewal, whose time of sending is sent, and reports whether
// control responded.
func (i *incarnation) send(ctx context.Context, request *wirev1.RenewRequest, sent time.Time) bool {
	s := i.s
	response, err := call(ctx, s, lateResponseTimeout, request, wirev1connect.ControlClient.Renew)
	if err != nil {
		if ctx.Err() == nil {
			s.cfg.Log.Warn().Err(err).Msg("renewal failed")
		}
		return false
	}
	if len(response.GetMembers()) > 0 {
		s.group.setMembers(response.GetMembers(), response.GetMembersHash())
	}
	superseded := time.Duration(response.GetSupersededMs()) * time.Millisecond
	if superseded > 0 {
		s.cfg.View.RecordSuperseded(request.GetRulesRevision(), sent.Add(-superseded))
	}
	if response.GetLost() {
		s.cfg.Log.Warn().Uint64("incarnation", i.number).Msg("control no longer knows the lease")
		i.endLease()
		return true
	}
	if response.GetBehind() {
		s.cfg.Log.Warn().Uint64("rulesRevision", request.GetRulesRevision()).Dur("superseded", superseded).Msg("lease not extended: behind a rules revision")
		return true
	}
	i.applyRenewal(response)
	return true
}

// applyRenewal extends the lease by the response to a renewal.
func (i *incarnation) applyRenewal(r *wirev1.RenewResponse) {
	s := i.s
	i.mu.Lock()
	valid := i.holder.Granted(s.cfg.Clock.Now(), r.GetSequence(), time.Duration(r.GetLeaseMs())*time.Millisecond)
	expiry := i.holder.Expiry()
	if valid {
		if r.GetSupersededMs() == 0 {
			s.cfg.View.RecordConfirmation(s.cfg.Clock.Now())
		}
		// The lock is held so that the identity is not set after the end of the
		// incarnation.
		s.cfg.View.SetIdentity(view.Identity{Incarnation: i.number, Secret: i.secret, LeaseExpiry: expiry})
	}
	i.mu.Unlock()
	if valid {
		wake(i.extended)
	}
}

func (i *incarnation) renewRequest() *wirev1.RenewRequest {
	s := i.s
	t := s.cfg.View.Table()
	now := s.cfg.Clock.Now()
	load := s.cfg.Owner.Load(now.Sub(i.loadSince))
	i.loadSince = now
	stats := s.cfg.Backend.Stats()
	server := s.cfg.Backend.Announced()
	if s.cfg.GrantsByHeartbeat {
		// A restart of the backend server leads to another incarnation of the node,
		// so this incarnation reports the backend server with which it was
		// registered.
		server = i.reportedServer(server)
	}
	return &wirev1.RenewRequest{
		Incarnation: i.number, Index: t.Index(), RulesRevision: t.Revision(),
		RequestsPerSecond: load.RequestsPerSecond, InFlight: uint32(stats.InFlight), Heaviest: load.Heaviest,
		Draining: s.draining(), Cold: stats.Cold, BackendServer: server,
		Released: s.cfg.Owner.Released(t), MembersHash: s.group.membersHash(),
		ServiceMs: float32(s.cfg.Backend.ServiceTime().Seconds() * 1000),
	}
}

// reportedServer returns the backend server with which the incarnation was registered,
// with the report that it leaves if announced has it.
func (i *incarnation) reportedServer(announced *wirev1.BackendServer) *wirev1.BackendServer {
	if !announced.GetLeaving() || announced.GetBootId() != i.server.GetBootId() {
		return i.server
	}
	server := proto.CloneOf(i.server)
	server.Leaving = true
	return server
}

// expiryLoop ends the incarnation when the lease expires.
func (i *incarnation) expiryLoop(ctx context.Context) {
	for {
		now := i.s.cfg.Clock.Now()
		i.mu.Lock()
		expiry, valid := i.holder.Expiry(), i.holder.Valid(now)
		i.mu.Unlock()
		if !expiry.IsZero() && !valid {
			i.endLease()
			return
		}
		wait := minRenewDelay
		if valid {
			wait = max(expiry.Sub(now), time.Millisecond)
		}
		if !sleep(ctx, wait) {
			return
		}
	}
}

// extendLoop sends each extension of the lease to the backend server.
func (i *incarnation) extendLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-i.extended:
			i.s.cfg.Owner.ExtendGrants(ctx)
		}
	}
}
