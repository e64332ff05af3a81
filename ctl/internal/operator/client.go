// Package operator is a client of the control group's Operator service. It finds
// the leader and retries idempotent requests. If a change gets no response, the
// error states whether the change may have been accepted.
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
	// DefaultRetryBackoff is a tenth of the longest duration of an election.
	DefaultRetryBackoff = 60 * time.Millisecond
)

// dialTimeout limits the delay before the next member is called when a network
// partition drops the packets to a member.
const dialTimeout = time.Second

// maxResponseBytes limits the size of a response. The status of 610 nodes and
// 256 revisions of rules are far smaller.
const maxResponseBytes = 64 << 20

// Config configures a Client. Addresses is required. The zero value of any other
// field selects its default.
type Config struct {
	// Addresses are the addresses of the operator listeners of control members. At
	// least one is required.
	Addresses []netip.AddrPort
	// Secret is sent with each request. An empty secret is not sent.
	Secret string
	// Timeout limits a call with all its attempts, AttemptTimeout a single attempt.
	Timeout        time.Duration
	AttemptTimeout time.Duration
	// RetryBackoff is the pause after the first round in which no member accepted
	// the request. It doubles with each further round, up to 8 times its value.
	RetryBackoff time.Duration
	// Dial opens connections. The default is a net.Dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Client calls the leader of the control group. It is safe for concurrent use
// as long as Config.Dial is.
type Client struct {
	config    Config
	transport *http.Transport
	// leader is the address that returned the latest successful response.
	leader atomic.Pointer[netip.AddrPort]
}

// New returns a client. It opens no connection before the first call. It panics
// if c.Addresses is empty.
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
		// The pings detect half-open connections between calls.
		HTTP2: &http.HTTP2Config{SendPingTimeout: time.Second, PingTimeout: time.Second},
	}}
}

// Close closes the idle connections. It must be called after all calls have
// returned.
func (c *Client) Close() {
	c.transport.CloseIdleConnections()
}

// ApplyRules proposes a rules text. It is retried only if the request has a request
// id, which makes it idempotent.
func (c *Client) ApplyRules(ctx context.Context, r *wirev1.ApplyRulesRequest) (*wirev1.ApplyRulesResponse, error) {
	return call(ctx, c, r, r.GetRequestId() != "", wirev1connect.OperatorClient.ApplyRules)
}

// GetRules returns a revision of the rules. Revision 0 selects the current one.
func (c *Client) GetRules(ctx context.Context, revision uint64) (*wirev1.RulesRevision, error) {
	r := &wirev1.GetRulesRequest{Revision: revision}
	response, err := call(ctx, c, r, true, wirev1connect.OperatorClient.GetRules)
	return response.GetRules(), err
}

// History returns the latest revisions, the current one first. Limit 0 selects all
// revisions that control keeps.
func (c *Client) History(ctx context.Context, limit uint32) ([]*wirev1.RulesRevision, error) {
	r := &wirev1.HistoryRequest{Limit: limit}
	response, err := call(ctx, c, r, true, wirev1connect.OperatorClient.History)
	return response.GetRevisions(), err
}

// Status returns the state of members and nodes as the leader knows it.
func (c *Client) Status(ctx context.Context) (*wirev1.StatusResponse, error) {
	return call(ctx, c, &wirev1.StatusRequest{}, true, wirev1connect.OperatorClient.Status)
}

// Explain returns the owner of a key and the reason for its assignment.
func (c *Client) Explain(ctx context.Context, upstream, key string) (*wirev1.ExplainResponse, error) {
	r := &wirev1.ExplainRequest{Upstream: upstream, Key: key}
	return call(ctx, c, r, true, wirev1connect.OperatorClient.Explain)
}

// Drain drains a backend server, or with undo returns it to service. It is
// idempotent.
func (c *Client) Drain(ctx context.Context, server string, undo bool) (*wirev1.DrainResponse, error) {
	r := &wirev1.DrainRequest{Server: server, Undo: undo}
	return call(ctx, c, r, true, wirev1connect.OperatorClient.Drain)
}

// ChangeMembers adds a member or removes one, and returns the resulting members.
// It is not retried after a lost response, because control could refuse the second
// request although the first one took effect.
func (c *Client) ChangeMembers(ctx context.Context, add *wirev1.Member, remove uint64) ([]*wirev1.Member, error) {
	r := &wirev1.ChangeMembersRequest{Add: add, Remove: remove}
	response, err := call(ctx, c, r, false, wirev1connect.OperatorClient.ChangeMembers)
	return response.GetMembers(), err
}

// procedure is one procedure of the Operator service.
type procedure[Req, Res any] func(wirev1connect.OperatorClient, context.Context, *connect.Request[Req]) (*connect.Response[Res], error)

// call calls the members in turn until one responds as the leader. A request whose
// response was lost is sent again only if it is idempotent.
func call[Req, Res any](ctx context.Context, c *Client, request *Req, idempotent bool, p procedure[Req, Res]) (*Res, error) {
	ctx, cancel := context.WithTimeout(ctx, c.config.Timeout)
	defer cancel()
	var lastErr error
	possiblySent, busy := false, false
	for backoff := c.config.RetryBackoff; ; backoff = min(2*backoff, 8*c.config.RetryBackoff) {
		queue := leader.NewQueue(c.config.Addresses)
		if latest := c.leader.Load(); latest != nil {
			queue.PushFront(*latest)
		}
		for ctx.Err() == nil {
			address, ok := queue.Next()
			if !ok {
				break
			}
			response, connected, err := attempt(ctx, c, address, request, p)
			if err == nil {
				c.leader.Store(&address)
				return response, nil
			}
			f := classify(err, connected)
			if lastErr == nil || !f.notLeader {
				// A failure to reach the leader is more useful in the error than the
				// response of a member that is not the leader.
				lastErr, busy = fmt.Errorf("%s: %w", address, err), f.kind == failureBusy
			}
			switch {
			case f.kind == failureRefused && (slices.Contains(c.config.Addresses, address) || !f.accessDenied):
				return nil, &RefusedError{Address: address, cause: err}
			case f.kind == failureOutcomeUnknown:
				possiblySent = true
				if !idempotent {
					return nil, &UnknownOutcomeError{cause: lastErr}
				}
			}
			if f.leader.IsValid() {
				queue.PushFront(f.leader)
			}
		}
		select {
		case <-ctx.Done():
			if lastErr == nil {
				lastErr = ctx.Err()
			}
			if possiblySent {
				return nil, &UnknownOutcomeError{cause: lastErr}
			}
			return nil, &UnreachableError{cause: lastErr, busy: busy}
		case <-time.After(backoff):
		}
	}
}

// attempt calls one member. connected reports whether a connection to the member
// was available, so that the request may have been sent.
func attempt[Req, Res any](
	ctx context.Context, c *Client, address netip.AddrPort, request *Req, p procedure[Req, Res],
) (response *Res, connected bool, err error) {
	timeout := c.config.AttemptTimeout
	if _, ok := any(request).(*wirev1.ChangeMembersRequest); ok {
		// The response to adding a member follows only after the new member has
		// received the whole log.
		timeout = c.config.Timeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var gotConnection atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { gotConnection.Store(true) }})
	client := wirev1connect.NewOperatorClient(&http.Client{Transport: c.transport}, "http://"+address.String(),
		connect.WithReadMaxBytes(maxResponseBytes))
	r := connect.NewRequest(request)
	if c.config.Secret != "" {
		r.Header().Set("Authorization", "Bearer "+c.config.Secret)
	}
	result, err := p(client, ctx, r)
	if err != nil {
		return nil, gotConnection.Load(), err
	}
	return result.Msg, true, nil
}
