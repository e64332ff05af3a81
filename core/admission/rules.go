package admission

import (
	"time"

	"github.com/jujubeknot/jujubeknot/core/outcome"
)

// reserve returns the slots that are kept for nested calls of a depth, 0 if
// there have been none for a while.
func (g *Controller) reserve(now time.Time, depth int) int {
	used := g.depth[depth] > 0 || g.queue.depth[depth] > 0
	recent := !g.seen[depth].IsZero() && now.Sub(g.seen[depth]) < g.config.ReserveIdleTimeout
	if !used && !recent {
		return 0
	}
	return g.config.ReservedSlots
}

// mayStart reports whether a slot may be given to a request of the depth.
//
// A call of depth 0 leaves the reserves of both depths free, and a call of
// depth 1 that of depth 2. A call of depth 2 makes no further calls, so it
// ends; a call of depth 1 waits for calls of depth 2 only. So there is always a
// request that can go on, and calls in a ring between two upstreams cannot wait
// on each other. Where the limit is cut below what already runs, the reserve is
// available on top of the limit, within the slots.
func (g *Controller) mayStart(now time.Time, depth int) bool {
	limit, slots := g.limiter.value(), g.config.Slots
	one, two := g.reserve(now, 1), g.reserve(now, 2)
	all := len(g.running)
	lower := g.depth[0] + g.depth[1]
	switch depth {
	case 0:
		return all < limit && lower < max(limit-two, 1) && g.depth[0] < max(limit-one-two, 1)
	case 1:
		if all >= slots || lower >= max(slots-two, 1) {
			return false
		}
		return (all < limit && lower < max(limit-two, 1)) || g.depth[1] < one
	default:
		return all < slots && (all < limit || g.depth[2] < two)
	}
}

// mayWait reports whether a request of the depth may wait for a slot. A nested
// call may wait only for a slot that calls of its own depth hold, because those
// do not wait for it; otherwise it is refused at once.
func (g *Controller) mayWait(now time.Time, depth int) bool {
	switch depth {
	case 0:
		return true
	case 1:
		two := g.reserve(now, 2)
		return g.depth[1] > 0 && g.depth[0]+g.depth[1] <= max(g.config.Slots-two, 1)
	default:
		return g.depth[2] > 0
	}
}

func (g *Controller) keySlots() int {
	return max(int(g.config.KeyShare*float64(g.limiter.value())), 1)
}

func (g *Controller) keyQueue() int {
	return max(int(g.config.KeyShare*float64(g.config.MaxQueued)), 1)
}

func (g *Controller) typical() time.Duration {
	return time.Duration(g.estimate.typical)
}

// newestFirst reports whether the server is overloaded, see the package
// comment. Busy periods scale with the service time.
func (g *Controller) newestFirst(now time.Time) bool {
	if g.queue.untargeted == 0 {
		return false
	}
	if g.pressed {
		return true
	}
	after := max(g.config.OverloadAfter, time.Duration(2*g.estimate.mean))
	return now.Sub(g.backlogSince) >= after
}

// expectedWait estimates the time until a request that enters the queue now
// gets a slot. It is 0 as long as no latency is known.
func (g *Controller) expectedWait(now time.Time, r Request, class int) time.Duration {
	ahead := g.queue.above(class)
	newest := g.newestFirst(now)
	if !newest {
		ahead += g.queue.count[class]
	}
	wait := g.estimate.mean * float64(ahead+1) / float64(g.limiter.value())
	if !newest {
		wait /= 1 - min(g.shareAbove(class), maxShareAbove)
	}
	if k := g.queue.keys[r.Key]; k != nil && !newest && g.queue.length > k.queued {
		// While other keys wait, this one gets no more than its share.
		wait = max(wait, g.estimate.mean*float64(k.queued+1)/float64(g.keySlots()))
	}
	return time.Duration(wait)
}

const (
	// shareWeight is the weight of one start in the shares of classes: a change of
	// the mix is followed within some rounds of a server with 18 slots.
	shareWeight = 1.0 / 64
	// maxShareAbove bounds what the share of higher classes adds to a wait, which
	// is then ten times as long.
	maxShareAbove = 0.9
)

// noteShare notes the start of a request of a class.
func (g *Controller) noteShare(class int) {
	for c := range g.shares {
		g.shares[c] -= shareWeight * g.shares[c]
	}
	g.shares[class] += shareWeight
}

// shareAbove returns the share of the classes above one in what starts. So much
// of the slots that become free goes to requests that come later and pass those
// that wait.
func (g *Controller) shareAbove(class int) float64 {
	share := 0.0
	for _, s := range g.shares[class+1:] {
		share += s
	}
	return share
}

// late reports whether a request that must wait is refused because its answer
// would come after its target. Nested calls are not: all the work of the calls
// above them would be lost.
func (g *Controller) late(now time.Time, r Request, wait time.Duration) bool {
	if r.Target.IsZero() || r.Depth > 0 {
		return false
	}
	room := max(r.Target.Sub(now)-g.typical(), 0)
	return float64(wait) > targetShare*float64(room)
}

func (g *Controller) refuseBusy(wait time.Duration) Decision {
	if g.limiter.cold {
		return refuse(outcome.ReasonCold, wait)
	}
	return refuse(outcome.ReasonQueueFull, wait)
}

func refuse(reason outcome.Reason, retryAfter time.Duration) Decision {
	return Decision{
		Verdict:    VerdictRefuse,
		Reason:     reason,
		RetryAfter: min(max(retryAfter, minRetryAfter), maxRetryAfter),
	}
}
