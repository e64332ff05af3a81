package peer

import (
	"net/http"
	"sync"
	"time"

	"github.com/jujubeknot/jujubeknot/core/outcome"
	"github.com/jujubeknot/jujubeknot/node/internal/relay"
)

const (
	// recentWindow is the time for which an answer to an idempotent call is
	// kept. It is longer than PingAfter and PingTimeout together, after which
	// the other node finds out that its connection is silent.
	recentWindow = 2 * time.Second
	// recentBytes bounds the answers kept, and recentCost is added to the size
	// of each body for its header: 3,400 answers of 256 bytes.
	recentBytes = 4 << 20
	recentCost  = 1 << 10
)

// recentCall is an idempotent call that runs or has ended a moment ago.
type recentCall struct {
	sending string
	state   outcome.SettleState
	status  int
	header  http.Header
	body    []byte
	ended   time.Time
}

func (c *recentCall) cost() int { return recentCost + len(c.body) }

// recentCalls has the idempotent calls of other nodes, so that an answer which
// was lost with its connection can be given again without a second run. It
// promises less than the request table: calls are forgotten after a short time
// and none is barred, so what is not found here may have run. It is safe for
// concurrent use.
type recentCalls struct {
	mu    sync.Mutex
	calls map[string]*recentCall
	// ended has the calls that have ended, oldest first.
	ended []*recentCall
	bytes int
}

// begin notes that a call runs.
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

// end keeps the answer to a call if it is short, and forgets a call that did not
// run. It must be called before the answer is written.
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
	for len(r.ended) > 0 && (r.bytes > recentBytes || now.Sub(r.ended[0].ended) > recentWindow) {
		old := r.ended[0]
		r.ended[0] = nil
		r.ended = r.ended[1:]
		r.bytes -= old.cost()
		delete(r.calls, old.sending)
	}
}

// settle says what became of a call. Found is false if it is not known here: it
// has not begun, did not run, or was forgotten.
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
