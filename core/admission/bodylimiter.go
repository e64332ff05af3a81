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

// BodyLimiter decides which request bodies a VM receives at once. It handles
// large bodies that arrive faster than the link of the VM carries them. If all
// of them shared the link, each would arrive late, and lease renewals, updates
// and small calls would wait behind them. Received in order, the first ones
// arrive in time. A body that cannot arrive in time is refused before any of
// it is sent. It is not safe for concurrent use. Use NewBodyLimiter.
type BodyLimiter struct {
	// bytesPerSecond is the rate of the link.
	bytesPerSecond float64
	// receivingBytes and waitingBytes are the sums of body sizes.
	receivingBytes, waitingBytes int64
	admittedBytes                map[uint64]int64
	queue                        []waitingBody
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
	return &BodyLimiter{bytesPerSecond: bytesPerSecond, admittedBytes: map[uint64]int64{}}
}

// Acquire asks to receive a body. VerdictAdmit must be followed by Release.
// VerdictQueue must be followed by Release, unless an earlier Release returns
// the id, which then admits the body. A body that cannot arrive by the deadline
// is refused; the zero time means no deadline.
func (l *BodyLimiter) Acquire(now time.Time, id uint64, bytes int64, deadline time.Time) Decision {
	ahead := l.receivingBytes + l.waitingBytes
	if !deadline.IsZero() && now.Add(l.transferTime(ahead+bytes)).After(deadline) {
		return refuse(outcome.ReasonLinkBusy, l.transferTime(ahead))
	}
	if len(l.queue) == 0 && l.fits(bytes) {
		l.admit(id, bytes)
		return Decision{Verdict: VerdictAdmit}
	}
	l.queue = append(l.queue, waitingBody{id, bytes})
	l.waitingBytes += bytes
	return Decision{Verdict: VerdictQueue}
}

// Release ends an Acquire whose body was received, is still waiting or was
// abandoned. It returns the ids of the waiting bodies that are admitted now.
// An unknown id is ignored.
func (l *BodyLimiter) Release(id uint64) []uint64 {
	if bytes, ok := l.admittedBytes[id]; ok {
		delete(l.admittedBytes, id)
		l.receivingBytes -= bytes
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

func (l *BodyLimiter) admit(id uint64, bytes int64) {
	l.admittedBytes[id] = bytes
	l.receivingBytes += bytes
}

// fits reports whether a body may be received now. One body is always allowed.
func (l *BodyLimiter) fits(bytes int64) bool {
	return l.receivingBytes == 0 || l.transferTime(l.receivingBytes+bytes) <= maxLinkBacklog
}

// transferTime returns the time that the link takes for the given bytes.
func (l *BodyLimiter) transferTime(bytes int64) time.Duration {
	return time.Duration(float64(bytes) / l.bytesPerSecond * float64(time.Second))
}
