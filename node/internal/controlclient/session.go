package controlclient

import (
	"cmp"
	"context"
	"crypto/rand"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"github.com/jujubeknot/jujubeknot/core/clock"
	"github.com/jujubeknot/jujubeknot/core/lease"
	"github.com/jujubeknot/jujubeknot/node/internal/backend"
	"github.com/jujubeknot/jujubeknot/node/internal/owner"
	"github.com/jujubeknot/jujubeknot/node/internal/view"
	"github.com/jujubeknot/jujubeknot/wire/headers"
	"github.com/jujubeknot/jujubeknot/wire/tasks"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
	"github.com/jujubeknot/jujubeknot/wire/v1/wirev1connect"
)

// Timeouts of calls to control, and backoffs between them.
const (
	registerTimeout = time.Second
	// renewTimeout is the time after which a renewal is sent again, to another
	// member. Its response is still accepted until lateResponseTimeout. After
	// 1.5 s the lease that the response would extend has expired.
	renewTimeout        = 300 * time.Millisecond
	lateResponseTimeout = 1500 * time.Millisecond
	deregisterTimeout   = 500 * time.Millisecond
	// minReturnTimeout lets a stop that is late still send the return of the lease.
	minReturnTimeout = 50 * time.Millisecond
	// minRetryBackoff is the shortest backoff after a failed call. It is also the
	// longest backoff after the first of several failed registrations. It leads to
	// about ten renewals during an election of 300 to 600 ms.
	minRetryBackoff = 50 * time.Millisecond
	// refusedBackoff is the backoff after a registration that was refused, for
	// example because another node holds the name.
	refusedBackoff = 500 * time.Millisecond
)

// Config configures a Session. All fields are required unless their comment
// says otherwise.
type Config struct {
	Clock clock.Clock
	Log   zerolog.Logger
	// Members are the addresses of the control members. At least one is required.
	Members []netip.AddrPort
	// Secret is the node secret that control requires.
	Secret string
	// Node has name, availability zone, region and peer address.
	Node    *wirev1.Node
	View    *view.View
	Owner   *owner.Server
	Backend *backend.Server
	// PeerSecret authenticates the node to other nodes. Empty means a random
	// secret for each incarnation.
	PeerSecret string
	// TakesOver is true if no other process can use the node's peer address, so
	// that an earlier process at that address has ended.
	TakesOver bool
	// GrantsByHeartbeat is true where the backend server sends heartbeats and gets
	// its grants in the responses. Grants and drain states are not sent to it in
	// any other way. A restart of the backend server ends the incarnation of the
	// node, because the keys that the server held are lost.
	GrantsByHeartbeat bool
	// KeepsLeaseOnStop is true if a stopping node neither has its partitions moved
	// nor returns its lease. The backend server keeps running, and the next
	// process of the node takes over.
	KeepsLeaseOnStop bool
	// Peers fetches newer rules from other nodes once control has not confirmed
	// the node's state for FetchRulesAfter. A FetchRulesAfter of 0 means never,
	// and Peers may then be nil.
	Peers           Peers
	FetchRulesAfter time.Duration
	// Registered is called with each new incarnation before it is used.
	Registered func(incarnation uint64)
}

// Session keeps one node registered. It is safe for concurrent use.
type Session struct {
	cfg   Config
	group *group
	// backendChanged wakes the incarnation after a change of the announcement.
	backendChanged chan struct{}
	// renewNow causes an immediate renewal.
	renewNow chan struct{}
	stopping atomic.Bool
	// stopEnd is the time at which Run must have returned the lease, nil without a
	// limit.
	stopEnd atomic.Pointer[time.Time]
	// current is the current registration. It is nil before the first one.
	current atomic.Pointer[incarnation]
	// tableMu is held while the table of the view is replaced.
	tableMu sync.Mutex
}

// New returns a session that is not registered. It panics if there are no
// members.
func New(cfg Config) *Session {
	if len(cfg.Members) == 0 {
		panic("controlclient: no control members")
	}
	cfg.View.SetIdentity(view.Identity{Secret: cfg.PeerSecret})
	return &Session{
		cfg: cfg, group: newGroup(cfg.Members, cfg.Secret),
		backendChanged: make(chan struct{}, 1), renewNow: make(chan struct{}, 1),
	}
}

// BackendChanged notifies the session that the announcement of the backend
// server changed. It does not block.
func (s *Session) BackendChanged() {
	wake(s.backendChanged)
	wake(s.renewNow)
}

// SetMembers applies a change of the control members in the settings.
func (s *Session) SetMembers(members []netip.AddrPort) { s.group.setSeeds(members) }

// Drain makes all later renewals report that the node drains.
func (s *Session) Drain() {
	s.stopping.Store(true)
	wake(s.renewNow)
}

// StopAt limits the return of the lease. Control may not answer while a node stops.
func (s *Session) StopAt(end time.Time) { s.stopEnd.Store(&end) }

// returnTimeout returns the time that a call which ends a lease may take.
func (s *Session) returnTimeout() time.Duration {
	end := s.stopEnd.Load()
	if end == nil {
		return deregisterTimeout
	}
	return max(min(deregisterTimeout, end.Sub(s.cfg.Clock.Now())), minReturnTimeout)
}

func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// ErrAbandoned is a cause for which the context of Run can be cancelled. Run
// then ends without returning the lease, as if the process had been lost.
var ErrAbandoned = errors.New("session abandoned")

// Run keeps the node registered until the context ends. It then returns the
// lease to control, except after ErrAbandoned or where the partitions must stay
// with the node.
func (s *Session) Run(ctx context.Context) {
	defer s.group.close()
	if s.cfg.FetchRulesAfter > 0 {
		loopCtx, stop := context.WithCancel(ctx)
		loops := tasks.New(1)
		loops.Go(loopCtx, "rules of other nodes", tasks.WithoutError(s.peerRulesLoop))
		// The loop never returns an error.
		defer func() { stop(); _ = loops.Wait() }()
	}
	var previous uint64
	losses := 0
	for ctx.Err() == nil {
		i := s.register(ctx, previous)
		if i == nil {
			return
		}
		began := s.cfg.Clock.Now()
		reason := i.run(ctx)
		previous = i.number
		if reason != leaseLost {
			losses = 0
			continue
		}
		if s.cfg.Clock.Now().Sub(began) >= stableLeaseTime {
			losses = 0
		}
		if !sleep(ctx, randomBackoff(rejoinBackoff, losses, maxRejoinBackoff)) {
			return
		}
		losses++
	}
}

// register repeats the registration until it succeeds or the context ends. It
// returns nil if the context has ended.
func (s *Session) register(ctx context.Context, previous uint64) *incarnation {
	node := proto.CloneOf(s.cfg.Node)
	node.PeerSecret = cmp.Or(s.cfg.PeerSecret, rand.Text())
	node.BackendServer = s.cfg.Backend.Announced()
	node.Draining, node.Cold = s.draining(), s.cfg.Backend.Cold()
	// All attempts have the same request id, so that a lost response does not lead
	// to two incarnations.
	request := &wirev1.RegisterRequest{Node: node, Previous: previous, RequestId: rand.Text(), TakesOver: s.cfg.TakesOver}
	hints := 0
	for failures := 0; ctx.Err() == nil; failures++ {
		client, address := s.group.leader()
		callCtx, cancel := context.WithTimeout(ctx, registerTimeout)
		response, err := client.Register(callCtx, connect.NewRequest(request))
		cancel()
		if err == nil {
			s.group.recordSuccess(address)
			s.group.setMembers(response.Msg.GetMembers(), lease.MembersHash(response.Msg.GetMembers()))
			s.cfg.Log.Info().Uint64("incarnation", response.Msg.GetIncarnation()).Uint64("previous", previous).
				Str("backendServer", node.GetBackendServer().GetName()).Msg("registered")
			i := s.begin(node, response.Msg)
			if b := response.Msg.GetEarlierServer(); b != nil {
				// No lease of the earlier process expires later than one that starts now.
				s.cfg.Backend.Adopt(b, s.cfg.Clock.Now().Add(time.Duration(response.Msg.GetLeaseMs())*time.Millisecond))
			}
			return i
		}
		if ctx.Err() != nil {
			return nil
		}
		s.cfg.Log.Warn().Err(err).Str("member", address).Msg("registration failed")
		if connect.CodeOf(err) == connect.CodeFailedPrecondition {
			// The response to an earlier attempt was lost, and the lease of that attempt
			// has expired.
			request.RequestId = rand.Text()
		}
		backoff := refusedBackoff
		if !refused(err) {
			latest := s.group.recordFailure(address, err)
			hints++
			if latest != failureHinted {
				hints = 0
			}
			backoff = registerBackoff(failures, hints, latest)
		}
		if !sleep(ctx, backoff) {
			return nil
		}
		if !proto.Equal(node.GetBackendServer(), s.cfg.Backend.Announced()) {
			// Another backend server requires another registration.
			return s.register(ctx, previous)
		}
	}
	return nil
}

// refused reports whether the leader itself refused a call. No other member
// would respond differently.
func refused(err error) bool {
	var e *connect.Error
	if !errors.As(err, &e) || e.Meta().Get(headers.Leader) != "" || !connect.IsWireError(err) {
		return false
	}
	switch e.Code() {
	case connect.CodeAlreadyExists, connect.CodeUnauthenticated, connect.CodePermissionDenied, connect.CodeInvalidArgument:
		return true
	}
	return false
}

// sleep waits for d and reports whether it did so before the context ended.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// draining reports whether control is to move the partitions of this node away.
func (s *Session) draining() bool { return s.stopping.Load() || s.cfg.Backend.Leaving() }

// begin starts the incarnation that control has registered.
func (s *Session) begin(node *wirev1.Node, r *wirev1.RegisterResponse) *incarnation {
	i := &incarnation{
		s: s, number: r.GetIncarnation(), secret: node.GetPeerSecret(), server: node.GetBackendServer(),
		interval: time.Duration(r.GetRenewIntervalMs()) * time.Millisecond, ended: make(chan struct{}), reportSoon: make(chan struct{}, 1),
		loadSince: s.cfg.Clock.Now(), releases: newReleases(),
		extended: make(chan struct{}, 1),
	}
	if i.interval <= 0 {
		i.interval = lease.DefaultRenewInterval
	}
	s.cfg.Registered(i.number)
	s.current.Store(i)
	s.cfg.Owner.BeginLease()
	s.cfg.View.SetIdentity(view.Identity{Incarnation: i.number, Secret: i.secret})
	return i
}

// call makes one call to the presumed leader and records its result in the
// group.
func call[Q, R any](ctx context.Context, s *Session, timeout time.Duration, q *Q,
	f func(wirev1connect.ControlClient, context.Context, *connect.Request[Q]) (*connect.Response[R], error),
) (*R, error) {
	client, address := s.group.leader()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	response, err := f(client, ctx, connect.NewRequest(q))
	if err != nil {
		if !refused(err) {
			s.group.recordFailure(address, err)
		}
		return nil, err
	}
	s.group.recordSuccess(address)
	return response.Msg, nil
}
