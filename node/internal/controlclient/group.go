// Package controlclient keeps a node registered with the control group. It
// renews the lease, applies updates of the replicated state, and reports
// releases.
package controlclient

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/jujubeknot/jujubeknot/wire/headers"
	"github.com/jujubeknot/jujubeknot/wire/v1/wirev1connect"
)

// Timeouts of connections to control members.
const (
	dialTimeout = 300 * time.Millisecond
	// pingAfter and pingTimeout detect half-open connections 600 ms before the
	// lease of 1.5 s expires. The leader must respond to the pings of all nodes.
	pingAfter   = 500 * time.Millisecond
	pingTimeout = 400 * time.Millisecond
)

// maxTimeoutDoublings bounds how often timeouts are doubled while no member
// responds. A timeout of 300 ms becomes 1.2 s, which is below
// lateResponseTimeout.
const maxTimeoutDoublings = 2

// maxHinted bounds the number of addresses that are known only from leader
// hints. Leaders change rarely until control reports its members.
const maxHinted = 8

// group has the control members and the one that is presumed to be the leader.
// It is safe for concurrent use.
type group struct {
	secret    string
	transport *http.Transport

	mu sync.Mutex
	// members has the reported ones, the seeds and the hinted ones.
	members []string
	clients map[string]wirev1connect.ControlClient
	// current is the index of the presumed leader in members.
	current int
	// unresponsive is the latest member that did not respond. Leader hints that
	// name it are ignored, because the other members may not have detected its
	// loss yet.
	unresponsive string
	// unanswered is the number of calls that failed without a response since a
	// member last responded.
	unanswered int
	// watchedMember is the member that serves the watch stream.
	watchedMember string
	// reported has the members that control last reported, hash their hash.
	reported []string
	hash     uint64
	// seeds are the addresses in the settings. They always stay among the members,
	// so that a node finds a group whose members have all changed.
	seeds []string
	// hinted has the addresses of leader hints since the last report, oldest first.
	hinted []string
	// leaderChanged is closed when a member other than watchedMember has responded
	// as leader.
	leaderChanged chan struct{}
}

func newGroup(members []netip.AddrPort, secret string) *group {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	g := &group{
		secret: secret, clients: map[string]wirev1connect.ControlClient{}, leaderChanged: make(chan struct{}),
		transport: &http.Transport{
			Protocols: protocols, DisableCompression: true,
			HTTP2:           &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout},
			IdleConnTimeout: time.Minute,
		},
	}
	g.transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		return (&net.Dialer{Timeout: g.scaledTimeout(dialTimeout)}).DialContext(ctx, network, address)
	}
	g.setSeeds(members)
	return g
}

// leader returns a client for the presumed leader, and its address.
func (g *group) leader() (wirev1connect.ControlClient, string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.client()
}

// watch returns the client and the address of the presumed leader for a watch
// stream, and a channel that is closed when another member has responded as
// leader. A failed call does not close it: if a late response ended the stream,
// a busy leader would have to serve another stream.
func (g *group) watch() (wirev1connect.ControlClient, string, <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	c, address := g.client()
	g.watchedMember = address
	return c, address, g.leaderChanged
}

// client returns the client for the presumed leader. The caller holds g.mu.
func (g *group) client() (wirev1connect.ControlClient, string) {
	address := g.members[g.current]
	c := g.clients[address]
	if c == nil {
		c = wirev1connect.NewControlClient(&http.Client{Transport: g.transport}, "http://"+address, connect.WithInterceptors(&secretInterceptor{g.secret}))
		g.clients[address] = c
	}
	return c, address
}

// scaledTimeout returns a timeout that is doubled for each round of all members
// in which none has responded, up to maxTimeoutDoublings times. A busy link may
// take longer than the timeout, and each attempt that is abandoned too early
// adds to the load of the link.
func (g *group) scaledTimeout(timeout time.Duration) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return timeout << min(g.unanswered/len(g.members), maxTimeoutDoublings)
}

// failure is what a failed call to a member tells about the next one.
type failure int

const (
	// failureSilent means that the member did not answer.
	failureSilent failure = iota
	// failureAnswered means that the member answered and knows no leader.
	failureAnswered
	// failureHinted means that the member named the leader, which is selected now.
	failureHinted
)

// recordFailure records a failed call to a member. It selects the member that
// the leader hint in the error names, or the next member if there is no usable
// hint. It selects none if another member was selected in the meantime.
func (g *group) recordFailure(address string, err error) failure {
	g.mu.Lock()
	defer g.mu.Unlock()
	f := failureSilent
	if connect.IsWireError(err) {
		g.unanswered = 0
		f = failureAnswered
	} else {
		g.unanswered++
	}
	if g.members[g.current] != address {
		return f
	}
	next := (g.current + 1) % len(g.members)
	var e *connect.Error
	if hint := ""; errors.As(err, &e) && e.Meta().Get(headers.Leader) != "" {
		hint = e.Meta().Get(headers.Leader)
		if i := g.indexOrAdd(hint); i >= 0 && hint != g.unresponsive && hint != address {
			next, f = i, failureHinted
		}
	} else {
		g.unresponsive = address
	}
	g.current = next
	return f
}

// recordSuccess records that a member responded as leader.
func (g *group) recordSuccess(address string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.unanswered = 0
	if g.unresponsive == address {
		g.unresponsive = ""
	}
	if g.watchedMember != address && g.watchedMember != "" {
		g.watchedMember = ""
		close(g.leaderChanged)
		g.leaderChanged = make(chan struct{})
	}
}

// indexOrAdd returns the index of an address in members. An unknown address is
// added as a hint, because members that joined later are known only from leader
// hints. It returns -1 if the address cannot be used. The caller holds g.mu.
func (g *group) indexOrAdd(address string) int {
	if i := slices.Index(g.members, address); i >= 0 {
		return i
	}
	if _, err := netip.ParseAddrPort(address); err != nil {
		return -1
	}
	if len(g.hinted) >= maxHinted {
		g.hinted = g.hinted[1:]
	}
	g.hinted = append(g.hinted, address)
	g.updateMembers()
	return slices.Index(g.members, address)
}

// setMembers replaces the members by those that control reported, with their
// hash.
func (g *group) setMembers(members []string, hash uint64) {
	if len(members) == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if hash == g.hash {
		return
	}
	g.reported, g.hinted, g.hash = slices.Clone(members), nil, hash
	g.updateMembers()
}

// updateMembers sets members to the reported ones, the seeds and the hinted
// ones, and keeps the presumed leader if it is among them. The caller holds
// g.mu.
func (g *group) updateMembers() {
	var current string
	if len(g.members) > 0 {
		current = g.members[g.current]
	}
	next := make([]string, 0, len(g.reported)+len(g.seeds)+len(g.hinted))
	for _, m := range slices.Concat(g.reported, g.seeds, g.hinted) {
		if _, err := netip.ParseAddrPort(m); err == nil && !slices.Contains(next, m) {
			next = append(next, m)
		}
	}
	if len(next) == 0 {
		return
	}
	g.members = next
	g.current = max(0, slices.Index(next, current))
}

func (g *group) membersHash() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.hash
}

// setSeeds replaces the seeds after a change of the settings. Former seeds that
// control did not report as members are dropped.
func (g *group) setSeeds(seeds []netip.AddrPort) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.seeds = nil
	for _, s := range seeds {
		g.seeds = append(g.seeds, s.String())
	}
	g.updateMembers()
}

func (g *group) close() { g.transport.CloseIdleConnections() }

// secretInterceptor adds the node secret to requests.
type secretInterceptor struct {
	secret string
}

// WrapUnary adds the secret to unary calls.
func (b *secretInterceptor) WrapUnary(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, r connect.AnyRequest) (connect.AnyResponse, error) {
		r.Header().Set("Authorization", "Bearer "+b.secret)
		return next(ctx, r)
	}
}

// WrapStreamingClient adds the secret to streams.
func (b *secretInterceptor) WrapStreamingClient(next connect.StreamingClientFunc) connect.StreamingClientFunc {
	return func(ctx context.Context, s connect.Spec) connect.StreamingClientConn {
		c := next(ctx, s)
		c.RequestHeader().Set("Authorization", "Bearer "+b.secret)
		return c
	}
}

// WrapStreamingHandler returns next unchanged, because only clients use the
// interceptor.
func (*secretInterceptor) WrapStreamingHandler(next connect.StreamingHandlerFunc) connect.StreamingHandlerFunc {
	return next
}
