package caller

import (
	"sync"
	"time"

	"github.com/jujubeknot/jujubeknot/core/choice"
	"github.com/jujubeknot/jujubeknot/core/outcome"
	"github.com/jujubeknot/jujubeknot/core/rules"
)

// upstream has what an entry node remembers about one upstream. It is safe for
// concurrent use.
type upstream struct {
	mu      sync.Mutex
	name    string
	policy  choice.Policy
	retries *outcome.Budget
	hedges  *outcome.Budget
	// rules that the budgets were configured by.
	rules *rules.Upstream
	// empty is for how long no server could be picked.
	empty outcome.Outage
}

// upstream returns the memory of an upstream, configured by its rules.
func (h *Handler) upstream(r *rules.Upstream) *upstream {
	h.mu.Lock()
	u := h.upstreams[r.Name]
	if u == nil {
		u = &upstream{retries: outcome.NewBudget(outcome.BudgetConfig{}), hedges: outcome.NewBudget(outcome.BudgetConfig{})}
		h.upstreams[r.Name] = u
	}
	h.mu.Unlock()
	u.configure(r, h.cfg.AvailabilityZone)
	return u
}

func (u *upstream) configure(r *rules.Upstream, zone string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.rules == r {
		return
	}
	retries := budget(r.RetryBudget)
	retries.Burst = float64(r.RetryBurst)
	u.retries.Configure(retries)
	u.hedges.Configure(budget(r.HedgeBudget))
	if u.policy == nil || u.name != r.Policy {
		u.policy, u.name = newPolicy(r.Policy, zone), r.Policy
	}
	u.rules = r
}

// budget makes 0 mean none, as in the rules.
func budget(share float64) outcome.BudgetConfig {
	if share <= 0 {
		share = -1
	}
	return outcome.BudgetConfig{Share: share}
}

// newPolicy returns a selection policy by its name in the rules.
func newPolicy(name, zone string) choice.Policy {
	seed := uint64(time.Now().UnixNano())
	switch name {
	case "random":
		return choice.NewRandom(seed)
	case "roundRobin":
		return &choice.RoundRobin{}
	case "leastInFlight":
		return choice.NewLeastInFlight(seed)
	case "nearest":
		return choice.NewTwoChoices(choice.TwoChoicesConfig{Seed: seed, AvailabilityZone: zone, ZoneFactor: choice.NearestZoneFactor})
	default:
		return choice.NewTwoChoices(choice.TwoChoicesConfig{Seed: seed, AvailabilityZone: zone})
	}
}

func (u *upstream) request() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.retries.CountRequest()
	u.hedges.CountRequest()
}

func (u *upstream) retry() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.retries.Take()
}

func (u *upstream) hedge() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.hedges.Take()
}

// pick chooses a node and counts the request as sent to it.
func (u *upstream) pick(now time.Time, candidates []choice.Candidate, target time.Duration) (choice.Candidate, choice.Reason, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	c, reason, ok := u.policy.Pick(now, candidates, target)
	if !ok {
		u.empty = u.empty.WithFailure(now)
		return c, reason, false
	}
	u.empty = outcome.Outage{}
	u.policy.Sent(now, c.Incarnation)
	return c, reason, true
}

// outage returns for how long the upstream has had no server.
func (u *upstream) outage() outcome.Outage {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.empty
}

// sent counts a request as sent to a node that was not picked by the policy.
func (u *upstream) sent(now time.Time, incarnation uint64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.policy.Sent(now, incarnation)
}

func (u *upstream) done(now time.Time, incarnation uint64, latency time.Duration, r *outcome.Refusal) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.policy.Done(now, incarnation, latency, kindOf(r))
}

// kindOf says what a refusal means for the choice of a node.
func kindOf(r *outcome.Refusal) choice.Result {
	if r == nil {
		return choice.ResultOK
	}
	switch r.Reason {
	case outcome.ReasonCancelled:
		return choice.ResultCancelled
	case outcome.ReasonDeadline:
		return choice.ResultTimeout
	case outcome.ReasonUnreachable, outcome.ReasonStopping, outcome.ReasonNotOwner, outcome.ReasonNoLease:
		return choice.ResultRefused
	case outcome.ReasonConnectionLost, outcome.ReasonAnswerIncomplete:
		return choice.ResultFailed
	default:
		return choice.ResultShed
	}
}

// attempts returns the bound on the sendings of one request.
func attempts(r *rules.Route, u *rules.Upstream) int {
	if r.MaxAttempts > 0 {
		return r.MaxAttempts
	}
	if u.RetryAttempts == 0 {
		return rules.DefaultRetryAttempts
	}
	return u.RetryAttempts
}
