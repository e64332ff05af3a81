package caller

import (
	"sync"
	"time"

	"github.com/jujubeknot/jujubeknot/core/choice"
	"github.com/jujubeknot/jujubeknot/core/hedge"
	"github.com/jujubeknot/jujubeknot/core/outcome"
	"github.com/jujubeknot/jujubeknot/core/rules"
)

// upstreamState is the state of an entry node for one upstream: the selection
// policy, the budgets and the outage. It is safe for concurrent use.
type upstreamState struct {
	mu         sync.Mutex
	policyName string
	policy     choice.Policy
	retries    *outcome.Budget
	hedges     *hedge.Policy
	// rules are the rules by which the state was configured last.
	rules *rules.Upstream
	// noServer is the outage during which no server could be picked.
	noServer outcome.Outage
}

// upstreamState returns the state of an upstream and configures it by the
// rules. It creates the state on the first call.
func (h *Handler) upstreamState(r *rules.Upstream) *upstreamState {
	h.mu.Lock()
	u := h.upstreams[r.Name]
	if u == nil {
		u = &upstreamState{retries: outcome.NewBudget(outcome.BudgetConfig{}), hedges: hedge.New(hedge.Config{})}
		h.upstreams[r.Name] = u
	}
	h.mu.Unlock()
	u.configure(r, h.cfg.AvailabilityZone)
	return u
}

func (u *upstreamState) configure(r *rules.Upstream, zone string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.rules == r {
		return
	}
	retries := budgetConfig(r.RetryBudget)
	retries.Burst = float64(r.RetryBurst)
	u.retries.Configure(retries)
	u.hedges.Configure(hedge.Config{Budget: r.HedgeBudget, After: r.HedgeAfter})
	if u.policy == nil || u.policyName != r.Policy {
		u.policy, u.policyName = newPolicy(r.Policy, zone), r.Policy
	}
	u.rules = r
}

// budgetConfig returns the configuration of a budget. In the rules, a share of
// 0 means no budget; in outcome.BudgetConfig it would mean the default.
func budgetConfig(share float64) outcome.BudgetConfig {
	if share <= 0 {
		share = -1
	}
	return outcome.BudgetConfig{Share: share}
}

// newPolicy returns the selection policy with a name from the rules. An unknown
// or empty name means choice.TwoChoices.
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

func (u *upstreamState) countRequest() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.retries.CountRequest()
}

func (u *upstreamState) takeRetry() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.retries.Take()
}

// startHedgeable counts a request of a kind that may be hedged, and returns the time
// after which it is due, 0 for never.
func (u *upstreamState) startHedgeable(kind uint32) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.hedges.Started(kind)
}

func (u *upstreamState) takeHedge() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.hedges.Due(hedge.Load{Unknown: true})
}

// recordHedgeable records how long a request that may be hedged took and, if it was
// hedged, whether the hedge responded first.
func (u *upstreamState) recordHedgeable(kind uint32, took time.Duration, hedged, ahead bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.hedges.Record(kind, took)
	if hedged {
		u.hedges.Ended(kind, ahead)
	}
}

// pick picks a node by the policy and counts the request as sent to it.
func (u *upstreamState) pick(now time.Time, candidates []choice.Candidate, target time.Duration) (choice.Candidate, choice.Reason, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	c, reason, ok := u.policy.Pick(now, candidates, target)
	if !ok {
		u.noServer = u.noServer.WithFailure(now)
		return c, reason, false
	}
	u.noServer = outcome.Outage{}
	u.policy.Sent(now, c.Incarnation)
	return c, reason, true
}

// outage returns the outage during which the upstream has had no server.
func (u *upstreamState) outage() outcome.Outage {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.noServer
}

// countSent counts a request as sent to a node that the policy did not pick.
func (u *upstreamState) countSent(now time.Time, incarnation uint64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.policy.Sent(now, incarnation)
}

func (u *upstreamState) recordResult(now time.Time, incarnation uint64, latency time.Duration, r *outcome.Refusal) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.policy.Done(now, incarnation, latency, resultOf(r))
}

// resultOf returns the result that a refusal means for the selection policy.
func resultOf(r *outcome.Refusal) choice.Result {
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

// maxAttempts returns the maximum number of attempts of one request.
func maxAttempts(r *rules.Route, u *rules.Upstream) int {
	if r.MaxAttempts > 0 {
		return r.MaxAttempts
	}
	if u.RetryAttempts == 0 {
		return rules.DefaultRetryAttempts
	}
	return u.RetryAttempts
}
