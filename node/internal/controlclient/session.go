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

// Timeouts of calls to control, and pauses between them.
const (
	registerTimeout = time.Second
	// renewTimeout is when a renewal is sent again, to another member;
	// lateTimeout is how long its answer is awaited all the same. After 1.5 s
	// the lease that it would extend is over.
	renewTimeout      = 300 * time.Millisecond
	lateTimeout       = 1500 * time.Millisecond
	deregisterTimeout = 500 * time.Millisecond
	// retryPause is the pause after a failed call, the first one of several
	// registrations. During an election of 300 to 600 ms it leads to about ten
	// renewals.
	retryPause = 50 * time.Millisecond
	// refusedPause is the pause after a registration that was refused, such as
	// with a name that another node holds.
	refusedPause = 500 * time.Millisecond
)

// Config has the parts and settings of a Session. All are required but for those
// that say so.
type Config struct {
	Clock clock.Clock
	Log   zerolog.Logger
	// Members are the addresses of the control members.
	Members []netip.AddrPort
	// Secret is the node secret that control asks for.
	Secret string
	// Node has name, availability zone, region and peer address.
	Node    *wirev1.Node
	View    *view.View
	Owner   *owner.Server
	Backend *backend.Server
	// PeerSecret is presented to other nodes. Empty means another one for each
	// incarnation.
	PeerSecret string
	// TakesOver says that no other process can use the node's peer address, so
	// that an earlier one there has ended.
	TakesOver bool
	// GrantsByHeartbeat is true where the backend server reports by beats: it is told
	// nothing else, and its restart ends the incarnation, because what it held is
	// gone.
	GrantsByHeartbeat bool
	// KeepsLeaseOnStop keeps a stopping node from having its partitions moved and from
	// returning its lease: the backend server goes on, and the next process takes
	// over.
	KeepsLeaseOnStop bool
	// Peers are asked for newer rules once control has been silent for FetchRulesAfter. 0
	// means never; Peers may then be nil.
	Peers           Peers
	FetchRulesAfter time.Duration
	// Registered is called with each new incarnation before it is used.
	Registered func(incarnation uint64)
}

// Session keeps one node registered. It is safe for concurrent use.
type Session struct {
	cfg   Config
	group *group
	// backendChanged and kick wake the loops.
	backendChanged chan struct{}
	kick           chan struct{}
	stopping       atomic.Bool
	// current is the registration in use, nil for none.
	current atomic.Pointer[incarnation]
	// tables is held while the table of the view is replaced.
	tables sync.Mutex
}

// New returns a session that is not registered. It panics without members.
func New(cfg Config) *Session {
	if len(cfg.Members) == 0 {
		panic("controlclient: no control members")
	}
	cfg.View.SetIdentity(view.Identity{Secret: cfg.PeerSecret})
	return &Session{
		cfg: cfg, group: newGroup(cfg.Members, cfg.Secret),
		backendChanged: make(chan struct{}, 1), kick: make(chan struct{}, 1),
	}
}

// BackendChanged tells the session that the announcement changed. It does not
// block.
func (s *Session) BackendChanged() {
	wake(s.backendChanged)
	wake(s.kick)
}

// SetMembers follows a change of the control members in the settings.
func (s *Session) SetMembers(members []netip.AddrPort) { s.group.setSeeds(members) }

// Drain makes the following renewals say that the node drains.
func (s *Session) Drain() {
	s.stopping.Store(true)
	wake(s.kick)
}

func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// ErrAbandoned as the cause of the end of Run's context keeps Run from
// returning the lease, as if the process had been lost.
var ErrAbandoned = errors.New("session abandoned")

// Run keeps the node registered until the context ends, then returns the
// lease.
func (s *Session) Run(ctx context.Context) {
	defer s.group.close()
	if s.cfg.FetchRulesAfter > 0 {
		asking, stop := context.WithCancel(ctx)
		loops := tasks.New(1)
		loops.Go(asking, "rules of other nodes", tasks.WithoutError(s.rulesLoop))
		// The loop returns no error.
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
		if s.cfg.Clock.Now().Sub(began) >= steadyAfter {
			losses = 0
		}
		if !sleep(ctx, spread(rejoinPause, losses, maxRejoinPause)) {
			return
		}
		losses++
	}
}

// register registers until it succeeds or the context ends.
func (s *Session) register(ctx context.Context, previous uint64) *incarnation {
	node := proto.CloneOf(s.cfg.Node)
	node.PeerSecret = cmp.Or(s.cfg.PeerSecret, rand.Text())
	node.BackendServer = s.cfg.Backend.Announced()
	node.Draining, node.Cold = s.draining(), s.cfg.Backend.Cold()
	// The request id stays the same for all tries, so that a lost answer does
	// not make two incarnations.
	request := &wirev1.RegisterRequest{Node: node, Previous: previous, RequestId: rand.Text(), TakesOver: s.cfg.TakesOver}
	for failures := 0; ctx.Err() == nil; failures++ {
		client, address := s.group.leader()
		callCtx, cancel := context.WithTimeout(ctx, registerTimeout)
		response, err := client.Register(callCtx, connect.NewRequest(request))
		cancel()
		if err == nil {
			s.group.succeeded(address)
			s.group.setMembers(response.Msg.GetMembers(), lease.MembersHash(response.Msg.GetMembers()))
			s.cfg.Log.Info().Uint64("incarnation", response.Msg.GetIncarnation()).Uint64("previous", previous).
				Str("backendServer", node.GetBackendServer().GetName()).Msg("registered")
			i := s.begin(node, response.Msg)
			if b := response.Msg.GetEarlierServer(); b != nil {
				// No lease of the earlier process ends later than one that begins now.
				s.cfg.Backend.Adopt(b, s.cfg.Clock.Now().Add(time.Duration(response.Msg.GetLeaseMs())*time.Millisecond))
			}
			return i
		}
		if ctx.Err() != nil {
			return nil
		}
		s.cfg.Log.Warn().Err(err).Str("member", address).Msg("registration failed")
		if connect.CodeOf(err) == connect.CodeFailedPrecondition {
			// The answer to an earlier try was lost, and its lease is over.
			request.RequestId = rand.Text()
		}
		pause := spread(retryPause, failures, maxRetryPause)
		if refused(err) {
			pause = refusedPause
		} else {
			s.group.failure(address, err)
		}
		if !sleep(ctx, pause) {
			return nil
		}
		if !proto.Equal(node.GetBackendServer(), s.cfg.Backend.Announced()) {
			// Another backend server is another registration.
			return s.register(ctx, previous)
		}
	}
	return nil
}

// refused reports whether the leader itself refused a call, so that another
// member would not answer differently.
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

// draining reports whether control shall move partitions away.
func (s *Session) draining() bool { return s.stopping.Load() || s.cfg.Backend.Leaving() }

func (s *Session) begin(node *wirev1.Node, r *wirev1.RegisterResponse) *incarnation {
	i := &incarnation{
		s: s, number: r.GetIncarnation(), secret: node.GetPeerSecret(), server: node.GetBackendServer(),
		interval: time.Duration(r.GetRenewIntervalMs()) * time.Millisecond, ended: make(chan struct{}), together: make(chan struct{}, 1),
		loadSince: s.cfg.Clock.Now(), reports: make(chan owner.Release, 1024),
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

// call makes one call to the leader and follows hints when it fails.
func call[Q, R any](ctx context.Context, s *Session, timeout time.Duration, q *Q,
	f func(wirev1connect.ControlClient, context.Context, *connect.Request[Q]) (*connect.Response[R], error),
) (*R, error) {
	client, address := s.group.leader()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	response, err := f(client, ctx, connect.NewRequest(q))
	if err != nil {
		if !refused(err) {
			s.group.failure(address, err)
		}
		return nil, err
	}
	s.group.succeeded(address)
	return response.Msg, nil
}
