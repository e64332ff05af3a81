// Package hedge decides when a running idempotent request is sent a second time, in
// the hope that the second run ends first. A request with a key has one owner and is
// sent to the same server again, on another connection. One without a key is sent to
// another server.
//
// # Load that it answers
//
// Most requests of a kind take about the same time, and a few take many times as
// long: the server lost the request or its response, a neighbour held it up, or the
// run met a slow part by chance. A second run then ends long before the first. Where
// the work itself is long, the second run takes as long as the first, and only adds
// load.
//
// # Decision
//
// A request is due for a second run once it has run for longer than nearly all
// requests of its kind. Three conditions bound what that costs. A budget limits second
// runs to a share of the requests, whatever their cause. A server that has no idle
// slots gets none. And the time after which a request is due follows the second runs:
// each that ends first shortens it, each other one lengthens it, so that about one in
// three helps. Where the work itself is long, requests are due only once they have run
// for longer than that work takes.
package hedge

import (
	"time"

	"github.com/jujubeknot/jujubeknot/core/outcome"
)

const (
	// minSamples is the number of runs of a kind before its requests are hedged.
	minSamples = 64
	// quantileStep is the relative change of the estimated quantile with each run that
	// is longer. It falls back by quantileStep x (1-q)/q with each shorter one.
	quantileStep = 0.05
	// minDelay keeps a second run from starting while the response of the first is on
	// its way.
	minDelay = 5 * time.Millisecond
	// delayAfterLoss and delayAfterWin are the factors by which the delay changes after
	// a second run that did not end first, and after one that did. The delay stays
	// where one second run in three ends first: 1.1 x 1.1 is about 1.2.
	delayAfterLoss = 1.1
	delayAfterWin  = 1 / 1.2
	// maxDelayFactor bounds the delay, in times of the quantile.
	maxDelayFactor = 64
	// maxKinds bounds the kinds that are measured.
	maxKinds = 256
	// autoBurst is the number of second runs that may follow each other without new
	// requests between them. With many nodes, each more would be another second run of
	// all of them at once.
	autoBurst = 3
	// minIdleSlots is the number of slots that must be idle. One of them stays for the
	// next request.
	minIdleSlots = 2
)

// Config configures a Policy. The zero value hedges nothing.
type Config struct {
	// Budget is the share of requests that may be run a second time, between 0 and 1.
	Budget float64
	// After is the time for which a request must have run. 0 means that the times of
	// its kind decide.
	After time.Duration
}

// Policy decides about the requests of one server. It is deterministic and not safe
// for concurrent use. Use New.
type Policy struct {
	config Config
	budget *outcome.Budget
	kinds  map[uint32]*kind
}

// kind has what is known of the requests of one kind.
type kind struct {
	samples int
	// quantile is the estimated time in nanoseconds that all but a share of Budget of
	// the runs take.
	quantile float64
	// delayFactor multiplies the quantile, at least 1.
	delayFactor float64
}

// New returns a Policy that has seen no requests.
func New(c Config) *Policy {
	p := &Policy{kinds: map[uint32]*kind{}, budget: outcome.NewBudget(outcome.BudgetConfig{})}
	p.Configure(c)
	return p
}

// Configure changes the configuration. What was measured is kept.
func (p *Policy) Configure(c Config) {
	if c == p.config {
		return
	}
	p.config = c
	b := outcome.BudgetConfig{Share: c.Budget}
	if c.Budget <= 0 {
		b.Share = -1
	}
	if c.After == 0 {
		b.Burst = autoBurst
	}
	p.budget.Configure(b)
}

// Started counts a request of a kind that begins to run, and returns the time after
// which Due should be asked about it. 0 means never.
func (p *Policy) Started(id uint32) time.Duration {
	p.budget.CountRequest()
	k := p.kinds[id]
	switch {
	case p.config.Budget <= 0:
		return 0
	case p.config.After > 0:
		return p.config.After
	case k == nil || k.samples < minSamples:
		return 0
	}
	return max(k.delay(), minDelay)
}

// Load is the state of the server that would run the request a second time.
type Load struct {
	// IdleSlots is the number of requests that could begin to run at once.
	IdleSlots int
	// Unknown is true if nothing is known of the server. It then decides itself.
	Unknown bool
	// Queued is the number of waiting requests.
	Queued int
	// Cold is true while the server is in cold start.
	Cold bool
}

// Due reports whether a request, which has run for the time that Started returned, is
// run a second time. If so, it takes the second run from the budget. Ended must be called
// for its kind if the second run was sent.
func (p *Policy) Due(l Load) bool {
	if l.Cold || l.Queued > 0 || l.IdleSlots < minIdleSlots && !l.Unknown {
		return false
	}
	return p.budget.Take()
}

// Ended records whether the second run ended first.
func (p *Policy) Ended(id uint32, won bool) {
	k := p.kinds[id]
	if k == nil {
		return
	}
	factor := delayAfterLoss
	if won {
		factor = delayAfterWin
	}
	k.delayFactor = min(max(k.delayFactor*factor, 1), maxDelayFactor)
}

// RecordCancelled adds the time after which a run was cancelled. It would have taken
// longer, so it says something only if it has taken longer than nearly all others.
func (p *Policy) RecordCancelled(id uint32, took time.Duration) {
	if k := p.kinds[id]; k != nil && float64(took) > k.quantile {
		p.Record(id, took)
	}
}

// Record adds the time of a run that ended with a response or its deadline.
func (p *Policy) Record(id uint32, took time.Duration) {
	k := p.kinds[id]
	if k == nil {
		if len(p.kinds) >= maxKinds {
			return
		}
		k = &kind{delayFactor: 1}
		p.kinds[id] = k
	}
	k.samples++
	x := max(float64(took), 1)
	if k.samples == 1 {
		k.quantile = x
		return
	}
	share := min(max(p.config.Budget, 0.01), 0.5)
	if x > k.quantile {
		k.quantile *= 1 + quantileStep
	} else {
		k.quantile /= 1 + quantileStep*share/(1-share)
	}
}

// Delay returns the estimated time after which a request of a kind is due, 0 if it is
// not known.
func (p *Policy) Delay(id uint32) time.Duration {
	if k := p.kinds[id]; k != nil && k.samples >= minSamples {
		return k.delay()
	}
	return 0
}

func (k *kind) delay() time.Duration { return time.Duration(k.quantile * k.delayFactor) }
