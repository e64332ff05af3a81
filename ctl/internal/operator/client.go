// Package operator calls the Operator service of the control group. It finds
// the leader, sends again what may be sent again, and says truthfully whether
// a change that got no answer may have been accepted.
package operator

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	"github.com/jujubeknot/jujubeknot/wire/leader"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
	"github.com/jujubeknot/jujubeknot/wire/v1/wirev1connect"
)

// Defaults of Config.
const (
	DefaultTimeout        = 10 * time.Second
	DefaultAttemptTimeout = 3 * time.Second
	// DefaultRetryBackoff is a tenth of the time that an election takes at most.
	DefaultRetryBackoff = 60 * time.Millisecond
)

// dialTimeout bounds the time that a member behind a silent partition costs
// before the next one is asked.
const dialTimeout = time.Second

// maxAnswer bounds one answer in bytes: the status of 610 nodes and 256
// revisions of rules are far below.
const maxAnswer = 64 << 20

// Config says how to reach the control group. The zero value of a field other
// than Addresses means the default.
type Config struct {
	// Addresses of control members' operator listeners. At least one.
	Addresses []netip.AddrPort
	// Secret is sent with each request, empty for none.
	Secret string
	// Timeout bounds a call with all attempts, AttemptTimeout one attempt.
	Timeout        time.Duration
	AttemptTimeout time.Duration
	// RetryBackoff is the time before the members are asked anew after all of them
	// failed. It doubles with each round, up to 8 times.
	RetryBackoff time.Duration
	// Dial opens connections. Default a net.Dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Client calls the leader of the control group. It is safe for concurrent use
// as long as Config.Dial is.
type Client struct {
	config    Config
	transport *http.Transport
	// leader is the member that answered last.
	leader atomic.Pointer[netip.AddrPort]
}

// New returns a client. It opens no connection before the first call. It
// panics without an address.
func New(c Config) *Client {
	if len(c.Addresses) == 0 {
		panic("operator: no address")
	}
	c.Timeout = cmp.Or(c.Timeout, DefaultTimeout)
	c.AttemptTimeout = cmp.Or(c.AttemptTimeout, DefaultAttemptTimeout)
	c.RetryBackoff = cmp.Or(c.RetryBackoff, DefaultRetryBackoff)
	if c.Dial == nil {
		c.Dial = (&net.Dialer{}).DialContext
	}
	dial := c.Dial
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	return &Client{config: c, transport: &http.Transport{
		Protocols: protocols,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, dialTimeout)
			defer cancel()
			return dial(ctx, network, address)
		},
		// Finds connections that a partition left half open, between calls.
		HTTP2: &http.HTTP2Config{SendPingTimeout: time.Second, PingTimeout: time.Second},
	}}
}

// Close closes the connections. Calls must have returned.
func (c *Client) Close() {
	c.transport.CloseIdleConnections()
}

// ApplyRules proposes a rules text. The request id makes it safe to send
// again.
func (c *Client) ApplyRules(ctx context.Context, r *wirev1.ApplyRulesRequest) (*wirev1.ApplyRulesResponse, error) {
	return call(ctx, c, r, r.GetRequestId() != "", wirev1connect.OperatorClient.ApplyRules)
}

// GetRules returns a revision of the rules, the current one for 0.
func (c *Client) GetRules(ctx context.Context, revision uint64) (*wirev1.RulesRevision, error) {
	r := &wirev1.GetRulesRequest{Revision: revision}
	response, err := call(ctx, c, r, true, wirev1connect.OperatorClient.GetRules)
	return response.GetRules(), err
}

// History returns the latest revisions, the current one first.
func (c *Client) History(ctx context.Context, limit uint32) ([]*wirev1.RulesRevision, error) {
	r := &wirev1.HistoryRequest{Limit: limit}
	response, err := call(ctx, c, r, true, wirev1connect.OperatorClient.History)
	return response.GetRevisions(), err
}

// Status returns what the leader knows of members and nodes.
func (c *Client) Status(ctx context.Context) (*wirev1.StatusResponse, error) {
	return call(ctx, c, &wirev1.StatusRequest{}, true, wirev1connect.OperatorClient.Status)
}

// Explain returns who owns a key and why.
func (c *Client) Explain(ctx context.Context, upstream, key string) (*wirev1.ExplainResponse, error) {
	r := &wirev1.ExplainRequest{Upstream: upstream, Key: key}
	return call(ctx, c, r, true, wirev1connect.OperatorClient.Explain)
}

// Drain drains a backend server, or ends that. Sending it twice does no more
// than sending it once.
func (c *Client) Drain(ctx context.Context, server string, undo bool) (*wirev1.DrainResponse, error) {
	r := &wirev1.DrainRequest{Server: server, Undo: undo}
	return call(ctx, c, r, true, wirev1connect.OperatorClient.Drain)
}

// ChangeMembers adds a member or removes one. It is not sent again after a
// lost answer, because a second sending could be refused though the first one
// took effect.
func (c *Client) ChangeMembers(ctx context.Context, add *wirev1.Member, remove uint64) ([]*wirev1.Member, error) {
	r := &wirev1.ChangeMembersRequest{Add: add, Remove: remove}
	response, err := call(ctx, c, r, false, wirev1connect.OperatorClient.ChangeMembers)
	return response.GetMembers(), err
}

// method is one procedure of the service.
type method[Req, Res any] func(wirev1connect.OperatorClient, context.Context, *connect.Request[Req]) (*connect.Response[Res], error)

// call asks members in turn until one answers as the leader. With again it
// sends once more where an answer was lost.
func call[Req, Res any](ctx context.Context, c *Client, request *Req, again bool, m method[Req, Res]) (*Res, error) {
	ctx, cancel := context.WithTimeout(ctx, c.config.Timeout)
	defer cancel()
	var last error
	sent, busy := false, false
	for pause := c.config.RetryBackoff; ; pause = min(2*pause, 8*c.config.RetryBackoff) {
		queue := leader.NewQueue(c.config.Addresses)
		if latest := c.leader.Load(); latest != nil {
			queue.PushFront(*latest)
		}
		for ctx.Err() == nil {
			address, ok := queue.Next()
			if !ok {
				break
			}
			response, connected, err := attempt(ctx, c, address, request, m)
			if err == nil {
				c.leader.Store(&address)
				return response, nil
			}
			f := classify(err, connected)
			if last == nil || !f.notLeader {
				// Why the leader was not reached says more than who does not lead.
				last, busy = fmt.Errorf("%s: %w", address, err), f.kind == failureBusy
			}
			switch {
			case f.kind == failureRefused && (slices.Contains(c.config.Addresses, address) || !f.access):
				return nil, &RefusedError{Address: address, cause: err}
			case f.kind == failureLost:
				sent = true
				if !again {
					return nil, &UnknownOutcomeError{cause: last}
				}
			}
			if f.leader.IsValid() {
				queue.PushFront(f.leader)
			}
		}
		select {
		case <-ctx.Done():
			if last == nil {
				last = ctx.Err()
			}
			if sent {
				return nil, &UnknownOutcomeError{cause: last}
			}
			return nil, &UnreachableError{cause: last, busy: busy}
		case <-time.After(pause):
		}
	}
}

// attempt calls one member. connected reports whether there was a connection
// to send the request on.
func attempt[Req, Res any](
	ctx context.Context, c *Client, address netip.AddrPort, request *Req, m method[Req, Res],
) (response *Res, connected bool, err error) {
	limit := c.config.AttemptTimeout
	if _, ok := any(request).(*wirev1.ChangeMembersRequest); ok {
		// A new member first receives the whole log.
		limit = c.config.Timeout
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	var got atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { got.Store(true) }})
	client := wirev1connect.NewOperatorClient(&http.Client{Transport: c.transport}, "http://"+address.String(),
		connect.WithReadMaxBytes(maxAnswer))
	r := connect.NewRequest(request)
	if c.config.Secret != "" {
		r.Header().Set("Authorization", "Bearer "+c.config.Secret)
	}
	answer, err := m(client, ctx, r)
	if err != nil {
		return nil, got.Load(), err
	}
	return answer.Msg, true, nil
}
