package admission

import (
	"slices"
	"time"

	"github.com/jujubeknot/jujubeknot/core/outcome"
)

// intakeAhead is the time for which bodies that are received at once may fill
// the link: long enough that a link of a few Mbit/s never idles between two
// bodies, short enough that other calls still get through in time.
const intakeAhead = 100 * time.Millisecond

// BodyLimiter decides which request bodies a VM receives at once. It answers this
// load pattern: large bodies arrive faster than the link of the VM carries
// them. All at once they share it, each arrives late, and renewals, updates
// and small calls wait behind them. In turn the first ones arrive in time, and
// those that cannot are refused before a byte of them is sent. It is not safe
// for concurrent use.
type BodyLimiter struct {
	// rate is the link's in bytes/s.
	rate float64
	// receiving and waiting are bytes of bodies.
	receiving, waiting int64
	admitted           map[uint64]int64
	queue              []intakeWaiter
}

type intakeWaiter struct {
	id    uint64
	bytes int64
}

// NewBodyLimiter returns a BodyLimiter for a link of so many bytes/s, which must be
// above 0.
func NewBodyLimiter(bytesPerSecond float64) *BodyLimiter {
	if bytesPerSecond <= 0 {
		panic("admission: intake without a rate")
	}
	return &BodyLimiter{rate: bytesPerSecond, admitted: map[uint64]int64{}}
}

// Acquire asks to receive a body. VerdictAdmit must be followed by Release,
// VerdictQueue by Release or by the id among those that Release returns. A body that
// cannot have arrived at the deadline is refused; a zero deadline means none.
func (i *BodyLimiter) Acquire(now time.Time, id uint64, bytes int64, deadline time.Time) Decision {
	ahead := i.receiving + i.waiting
	if !deadline.IsZero() && now.Add(i.takes(ahead+bytes)).After(deadline) {
		return refuse(outcome.ReasonLinkBusy, i.takes(ahead))
	}
	if len(i.queue) == 0 && i.room(bytes) {
		i.admit(id, bytes)
		return Decision{Verdict: VerdictAdmit}
	}
	i.queue = append(i.queue, intakeWaiter{id, bytes})
	i.waiting += bytes
	return Decision{Verdict: VerdictQueue}
}

// Release ends what Acquire began, whether the body was received, waits or was given
// up, and returns the ids of those that are admitted instead. Unknown ids change
// nothing.
func (i *BodyLimiter) Release(id uint64) []uint64 {
	if bytes, ok := i.admitted[id]; ok {
		delete(i.admitted, id)
		i.receiving -= bytes
	} else if at := slices.IndexFunc(i.queue, func(w intakeWaiter) bool { return w.id == id }); at >= 0 {
		i.waiting -= i.queue[at].bytes
		i.queue = slices.Delete(i.queue, at, at+1)
	}
	var next []uint64
	for len(i.queue) > 0 && i.room(i.queue[0].bytes) {
		w := i.queue[0]
		i.queue = i.queue[1:]
		i.waiting -= w.bytes
		i.admit(w.id, w.bytes)
		next = append(next, w.id)
	}
	return next
}

func (i *BodyLimiter) admit(id uint64, bytes int64) {
	i.admitted[id] = bytes
	i.receiving += bytes
}

// room reports whether a body may be received now. One always may.
func (i *BodyLimiter) room(bytes int64) bool {
	return i.receiving == 0 || i.takes(i.receiving+bytes) <= intakeAhead
}

// takes returns how long the link carries so many bytes.
func (i *BodyLimiter) takes(bytes int64) time.Duration {
	return time.Duration(float64(bytes) / i.rate * float64(time.Second))
}
