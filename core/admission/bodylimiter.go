package admission

import (
	"slices"
	"time"

	"github.com/jujubeknot/jujubeknot/core/outcome"
)

// maxLinkBacklog bounds the time that the link takes for all bodies that are
// received at once. A body that is received alone may take longer. With this
// bound, a link of a few Mbit/s does not idle between two bodies, and other
// calls still get through in time.
const maxLinkBacklog = 100 * time.Millisecond

const (
	// rateWeight is the weight of one body in the measured rate of a link.
	rateWeight = 1.0 / 8
	// minRateShare bounds the measured rate from below, as a share of the rate of
	// the link. A body that arrives slowly for another reason then does not make
	// the limiter refuse all others.
	minRateShare = 0.2
)

// BodyLimiter decides which request bodies a VM receives at once. It handles
// large bodies that arrive faster than the link of the VM carries them. If all
// of them shared the link, each would arrive late, and lease renewals, updates
// and small calls would wait behind them. Received in order, the first ones
// arrive in time. A body that cannot arrive in time is refused before any of
// it is sent. How long bodies wait is estimated from the rate at which those
// before them arrived, because other traffic shares the link. It is not safe
// for concurrent use. Use NewBodyLimiter.
type BodyLimiter struct {
	// bytesPerSecond is the rate of the link. measuredRate is the rate at which
	// bodies arrive while others wait.
	bytesPerSecond, measuredRate float64
	// busySince is the time since which bodies have been received without a break,
	// or of the latest end of one. The zero time means that none is received.
	busySince time.Time
	// receivingBytes and waitingBytes are the sums of body sizes.
	receivingBytes, waitingBytes int64
	admittedBytes                map[uint64]int64
	queue                        []waitingBody
}

// Body is a request body that a VM is to receive.
type Body struct {
	ID    uint64
	Bytes int64
	// Deadline is the time by which the body must have arrived, and Target the
	// time after which the response to its request is expected to be late. The
	// zero time means none.
	Deadline, Target time.Time
}

type waitingBody struct {
	id    uint64
	bytes int64
}

// NewBodyLimiter returns a BodyLimiter for a link with the given rate. It
// panics if the rate is not above 0.
func NewBodyLimiter(bytesPerSecond float64) *BodyLimiter {
	if bytesPerSecond <= 0 {
		panic("admission: link rate of a body limiter must be above 0")
	}
	return &BodyLimiter{bytesPerSecond: bytesPerSecond, measuredRate: bytesPerSecond, admittedBytes: map[uint64]int64{}}
}

// Acquire asks to receive a body. VerdictAdmit must be followed by Release.
// VerdictQueue must be followed by Release, unless an earlier Release returns
// the id, which then admits the body. A body that is not expected to arrive by
// its deadline, or that would have to wait for more than its share of the time
// to its target, is refused.
func (l *BodyLimiter) Acquire(now time.Time, b Body) Decision {
	wait := l.transferTime(l.receivingBytes + l.waitingBytes)
	if !b.Deadline.IsZero() && now.Add(wait+l.transferTime(b.Bytes)).After(b.Deadline) {
		return refuse(outcome.ReasonLinkBusy, wait)
	}
	if len(l.queue) == 0 && l.fits(b.Bytes) {
		if l.receivingBytes == 0 {
			l.busySince = now
		}
		l.admit(b.ID, b.Bytes)
		return Decision{Verdict: VerdictAdmit}
	}
	if !b.Target.IsZero() && float64(wait) > maxTargetWaitShare*float64(max(b.Target.Sub(now), 0)) {
		return refuse(outcome.ReasonLinkBusy, wait)
	}
	l.queue = append(l.queue, waitingBody{b.ID, b.Bytes})
	l.waitingBytes += b.Bytes
	return Decision{Verdict: VerdictQueue}
}

// Release ends an Acquire whose body was received, is still waiting or was
// abandoned; received says whether it was received. It returns the ids of the
// waiting bodies that are admitted now. An unknown id is ignored.
func (l *BodyLimiter) Release(now time.Time, id uint64, received bool) []uint64 {
	if bytes, ok := l.admittedBytes[id]; ok {
		delete(l.admittedBytes, id)
		l.receivingBytes -= bytes
		if received {
			l.measure(now, bytes)
		}
		l.busySince = now
	} else if at := slices.IndexFunc(l.queue, func(w waitingBody) bool { return w.id == id }); at >= 0 {
		l.waitingBytes -= l.queue[at].bytes
		l.queue = slices.Delete(l.queue, at, at+1)
	}
	var next []uint64
	for len(l.queue) > 0 && l.fits(l.queue[0].bytes) {
		w := l.queue[0]
		l.queue = l.queue[1:]
		l.waitingBytes -= w.bytes
		l.admit(w.id, w.bytes)
		next = append(next, w.id)
	}
	return next
}

// measure updates the rate at the end of a body. The bytes of bodies that arrive
// at the same time count when they end. Without waiting bodies the link is not
// shown to be full, so that a lower rate says nothing about it.
func (l *BodyLimiter) measure(now time.Time, bytes int64) {
	rate := float64(bytes) / max(now.Sub(l.busySince).Seconds(), 1e-6)
	if rate < l.measuredRate && len(l.queue) == 0 {
		return
	}
	rate = min(max(rate, minRateShare*l.bytesPerSecond), l.bytesPerSecond)
	l.measuredRate += rateWeight * (rate - l.measuredRate)
}

func (l *BodyLimiter) admit(id uint64, bytes int64) {
	l.admittedBytes[id] = bytes
	l.receivingBytes += bytes
}

// fits reports whether a body may be received now. One body is always allowed.
func (l *BodyLimiter) fits(bytes int64) bool {
	return l.receivingBytes == 0 || float64(l.receivingBytes+bytes) <= maxLinkBacklog.Seconds()*l.bytesPerSecond
}

// transferTime returns the time in which the given bytes are expected to arrive.
func (l *BodyLimiter) transferTime(bytes int64) time.Duration {
	return time.Duration(float64(bytes) / l.measuredRate * float64(time.Second))
}
