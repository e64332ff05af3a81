package peer

import (
	"net/http"
	"sync"
	"time"

	"github.com/jujubeknot/jujubeknot/core/outcome"
	"github.com/jujubeknot/jujubeknot/node/internal/relay"
)

const (
	// recentRetention is the time for which the response to an idempotent call
	// is kept. This time is longer than PingAfter and PingTimeout together,
	// after which the other node detects that its connection is half-open.
	recentRetention = 2 * time.Second
	// maxRecentBytes limits the memory of the kept responses.
	// recentOverheadBytes is added to the size of each header and body. The limit is
	// enough for 2,730 responses with header and body of 512 bytes.
	maxRecentBytes      = 4 << 20
	recentOverheadBytes = 1 << 10
)

// recentCall is an idempotent call that is running or has ended recently.
type recentCall struct {
	sending string
	state   outcome.SettleState
	status  int
	header  http.Header
	body    []byte
	ended   time.Time
}

func (c *recentCall) cost() int {
	n := recentOverheadBytes + len(c.body)
	for name, values := range c.header {
		for _, v := range values {
			n += len(name) + len(v)
		}
	}
	return n
}

// recentCalls has the idempotent calls of other nodes, so that a response that
// was lost with its connection can be sent again without a second run. It
// guarantees less than the request table: calls are evicted after a short time
// and none is barred, so a call that is not found may have run. It is safe for
// concurrent use. The zero value is empty.
type recentCalls struct {
	mu    sync.Mutex
	calls map[string]*recentCall
	// ended has the calls that have ended, oldest first.
	ended []*recentCall
	bytes int
}

// begin records that a call is running.
func (r *recentCalls) begin(sending string) *recentCall {
	c := &recentCall{sending: sending, state: outcome.SettleRunning}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.calls == nil {
		r.calls = map[string]*recentCall{}
	}
	r.calls[sending] = c
	return c
}

// end stores the response to a call if it is short, and removes a call that did
// not run. It must be called before the response is written.
func (r *recentCalls) end(now time.Time, c *recentCall, a *relay.Response, refusal *outcome.Refusal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c.state, c.ended = outcome.SettleUnknown, now
	if refusal != nil && refusal.Outcome == outcome.OutcomeNotRun {
		delete(r.calls, c.sending)
		return
	}
	if a != nil {
		if body, kept := a.BufferedBody(); kept || a.Body == http.NoBody {
			c.state, c.status, c.header, c.body = outcome.SettleResponse, a.Status, a.Header, body
		}
	}
	r.bytes += c.cost()
	r.ended = append(r.ended, c)
	for len(r.ended) > 0 && (r.bytes > maxRecentBytes || now.Sub(r.ended[0].ended) > recentRetention) {
		oldest := r.ended[0]
		r.ended[0] = nil
		r.ended = r.ended[1:]
		r.bytes -= oldest.cost()
		delete(r.calls, oldest.sending)
	}
}

// settle returns the outcome of a call. Found is false if there is no record of
// the call: the call has not begun, did not run, or its record was evicted.
func (r *recentCalls) settle(sending string) (s settlement, found bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.calls[sending]
	if c == nil {
		return s, false
	}
	s.State = c.state.String()
	if c.state == outcome.SettleResponse {
		s.Status, s.Header, s.Body = c.status, c.header, c.body
	}
	return s, true
}
