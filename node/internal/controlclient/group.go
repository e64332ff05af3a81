// Package controlclient keeps a node registered with the control group: it
// renews the lease, follows the replicated state, and reports releases.
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
	// pingAfter and pingTimeout find half-open connections 600 ms before the lease
	// of 1.5 s is over. The leader answers the pings of all nodes.
	pingAfter   = 500 * time.Millisecond
	pingTimeout = 400 * time.Millisecond
)

// maxPatience bounds by how much timeouts grow while no member answers, as a
// power of two: 300 ms become 1.2 s, which is below lateTimeout.
const maxPatience = 2

// maxMembers bounds the addresses that hints of members can add.
const maxMembers = 16

// group has the control members and which of them leads, as far as known. It
// is safe for concurrent use.
type group struct {
	secret    string
	transport *http.Transport

	mu      sync.Mutex
	members []string
	clients map[string]wirev1connect.ControlClient
	current int
	// failed is the member that last did not answer. Its address is not taken
	// from hints of others, who may not know yet that it is gone.
	failed string
	// silent counts failures without an answer since a member last gave one.
	silent int
	// watched is the member with the watch stream. changed is closed when
	// another one has answered as leader.
	watched string
	// hash is that of the members as control last named them.
	hash uint64
	// seeds are from the settings. They stay, so that a node finds a group whose
	// members have all changed.
	seeds   []string
	changed chan struct{}
}

func newGroup(members []netip.AddrPort, secret string) *group {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	g := &group{
		secret: secret, clients: map[string]wirev1connect.ControlClient{}, changed: make(chan struct{}),
		transport: &http.Transport{
			Protocols: protocols, DisableCompression: true,
			HTTP2:           &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout},
			IdleConnTimeout: time.Minute,
		},
	}
	g.transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		return (&net.Dialer{Timeout: g.patience(dialTimeout)}).DialContext(ctx, network, address)
	}
	for _, m := range members {
		g.members = append(g.members, m.String())
	}
	g.seeds = slices.Clone(g.members)
	return g
}

// leader returns a client for the member that is taken to lead, and its
// address.
func (g *group) leader() (wirev1connect.ControlClient, string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.client()
}

// watch returns what leader does, for a watch stream, and a channel that is
// closed when another member has answered as leader. A call that failed is not
// enough: a stream that is ended for a late answer costs a busy leader another
// one.
func (g *group) watch() (wirev1connect.ControlClient, string, <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	c, address := g.client()
	g.watched = address
	return c, address, g.changed
}

func (g *group) client() (wirev1connect.ControlClient, string) {
	address := g.members[g.current]
	c := g.clients[address]
	if c == nil {
		c = wirev1connect.NewControlClient(&http.Client{Transport: g.transport}, "http://"+address, connect.WithInterceptors(&bearer{g.secret}))
		g.clients[address] = c
	}
	return c, address
}

// patience returns a timeout, doubled for each round of all members in which
// none has answered: a busy link may take longer than the timeout, and each try
// that is given up too early adds to its load.
func (g *group) patience(timeout time.Duration) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return timeout << min(g.silent/len(g.members), maxPatience)
}

// failure follows the hint of a member that does not lead, or goes on to the
// next member. It does nothing if another member was chosen meanwhile.
func (g *group) failure(address string, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if connect.IsWireError(err) {
		g.silent = 0
	} else {
		g.silent++
	}
	if g.members[g.current] != address {
		return
	}
	next := (g.current + 1) % len(g.members)
	var e *connect.Error
	if hint := ""; errors.As(err, &e) && e.Meta().Get(headers.Leader) != "" {
		hint = e.Meta().Get(headers.Leader)
		if i := g.find(hint); i >= 0 && hint != g.failed && hint != address {
			next = i
		}
	} else {
		g.failed = address
	}
	if next == g.current {
		return
	}
	g.current = next
}

// succeeded notes that a member answered as leader.
func (g *group) succeeded(address string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.silent = 0
	if g.failed == address {
		g.failed = ""
	}
	if g.watched != address && g.watched != "" {
		g.watched = ""
		close(g.changed)
		g.changed = make(chan struct{})
	}
}

// find returns the place of an address, which is added if there is room: a
// member that was added later is known only from hints. It returns -1 if the
// address cannot be used.
func (g *group) find(address string) int {
	if i := slices.Index(g.members, address); i >= 0 {
		return i
	}
	if _, err := netip.ParseAddrPort(address); err != nil || len(g.members) >= maxMembers {
		return -1
	}
	g.members = append(g.members, address)
	return len(g.members) - 1
}

// setMembers follows a change of the members. Seeds that are no members come
// last.
func (g *group) setMembers(members []string, hash uint64) {
	if len(members) == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if hash == g.hash {
		return
	}
	current := g.members[g.current]
	next := make([]string, 0, len(members)+len(g.seeds))
	for _, m := range append(slices.Clone(members), g.seeds...) {
		if _, err := netip.ParseAddrPort(m); err == nil && !slices.Contains(next, m) {
			next = append(next, m)
		}
	}
	g.members, g.hash = next, hash
	g.current = max(0, slices.Index(next, current))
}

func (g *group) membersHash() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.hash
}

// setSeeds follows a change of the settings.
func (g *group) setSeeds(seeds []netip.AddrPort) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.seeds = g.seeds[:0]
	for _, s := range seeds {
		g.seeds = append(g.seeds, s.String())
		if !slices.Contains(g.members, s.String()) {
			g.members = append(g.members, s.String())
		}
	}
}

func (g *group) close() { g.transport.CloseIdleConnections() }

// bearer presents the node secret.
type bearer struct {
	secret string
}

// WrapUnary adds the secret to unary calls.
func (b *bearer) WrapUnary(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, r connect.AnyRequest) (connect.AnyResponse, error) {
		r.Header().Set("Authorization", "Bearer "+b.secret)
		return next(ctx, r)
	}
}

// WrapStreamingClient adds the secret to streams.
func (b *bearer) WrapStreamingClient(next connect.StreamingClientFunc) connect.StreamingClientFunc {
	return func(ctx context.Context, s connect.Spec) connect.StreamingClientConn {
		c := next(ctx, s)
		c.RequestHeader().Set("Authorization", "Bearer "+b.secret)
		return c
	}
}

// WrapStreamingHandler changes nothing: this is a client.
func (*bearer) WrapStreamingHandler(next connect.StreamingHandlerFunc) connect.StreamingHandlerFunc {
	return next
}
