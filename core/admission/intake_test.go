package admission_test

import (
	"slices"
	"testing"
	"time"

	"github.com/jujubeknot/jujubeknot/core/admission"
	"github.com/jujubeknot/jujubeknot/core/outcome"
)

const (
	// intakeRate is a link of 8 Mbit/s in bytes/s, intakeBody takes 60 ms on it.
	intakeRate = 1e6
	intakeBody = 60_000
)

// upload is a body on its way to a VM.
type upload struct {
	at, done time.Duration
	left     float64
	refused  bool
}

// uploads arrive evenly, twice as fast as the link carries them.
func uploads(count int) []*upload {
	list := make([]*upload, count)
	for n := range list {
		list[n] = &upload{at: time.Duration(n) * 30 * time.Millisecond, left: intakeBody}
	}
	return list
}

// carry plays a link that those who send share evenly, in steps of 1 ms. Finish
// returns those who send next. It returns the longest time that the bytes sent at
// once would take.
func carry(list []*upload, arrive func(now time.Duration, u *upload) bool, finish func(u *upload) []*upload) time.Duration {
	const step = time.Millisecond
	var sending []*upload
	longest, waiting := time.Duration(0), slices.Clone(list)
	for now := time.Duration(0); now < 20*time.Second; now += step {
		for len(waiting) > 0 && waiting[0].at <= now {
			if arrive(now, waiting[0]) {
				sending = append(sending, waiting[0])
			}
			waiting = waiting[1:]
		}
		share := intakeRate * step.Seconds() / float64(max(len(sending), 1))
		total := 0.0
		for _, u := range slices.Clone(sending) {
			total += u.left
			if u.left -= share; u.left <= 0 {
				u.done = now
				sending = slices.DeleteFunc(sending, func(o *upload) bool { return o == u })
				sending = append(sending, finish(u)...)
			}
		}
		longest = max(longest, time.Duration(total/intakeRate*float64(time.Second)))
	}
	return longest
}

// TestIntakeUnderTwiceTheLink replays bodies that come twice as fast as the link
// carries them and must have arrived within 1 s. It guards against bodies that
// all share the link: hardly one arrives in time, and everything else waits
// behind seconds of them.
func TestIntakeUnderTwiceTheLink(t *testing.T) {
	const patience = time.Second
	inTime := func(list []*upload) (n int) {
		for _, u := range list {
			if u.done > 0 && u.done-u.at <= patience {
				n++
			}
		}
		return n
	}
	shared := uploads(100)
	sharedQueue := carry(shared, func(time.Duration, *upload) bool { return true }, func(*upload) []*upload { return nil })

	start := time.Unix(1000, 0)
	list := uploads(100)
	intake := admission.NewBodyLimiter(intakeRate)
	ids := map[uint64]*upload{}
	idOf := func(u *upload) uint64 { return uint64(slices.Index(list, u)) + 1 }
	queue := carry(list, func(now time.Duration, u *upload) bool {
		ids[idOf(u)] = u
		a := intake.Acquire(start.Add(now), idOf(u), intakeBody, start.Add(u.at+patience))
		u.refused = a.Verdict == admission.VerdictRefuse
		if u.refused && (a.Reason != outcome.ReasonLinkBusy || a.RetryAfter <= 0) {
			t.Errorf("refused with %+v", a)
		}
		return a.Verdict == admission.VerdictAdmit
	}, func(u *upload) (next []*upload) {
		for _, id := range intake.Release(idOf(u)) {
			next = append(next, ids[id])
		}
		return next
	})
	if before, after := inTime(shared), inTime(list); after < 2*before || after < 45 {
		t.Errorf("%d of %d in time in turn, %d all at once; the link carries 50 and more", after, len(list), before)
	}
	if queue > 200*time.Millisecond || sharedQueue < time.Second {
		t.Errorf("%v of bodies at once in turn, %v all at once", queue, sharedQueue)
	}
	for _, u := range list {
		if !u.refused && u.done == 0 {
			t.Errorf("the body of %v was neither received nor refused", u.at)
		}
	}
}

// TestIntakeForgetsThoseWhoLeave guards against room that is lost with callers
// who give up while they wait.
func TestIntakeForgetsThoseWhoLeave(t *testing.T) {
	now := time.Unix(1000, 0)
	i := admission.NewBodyLimiter(intakeRate)
	for id := uint64(1); id <= 3; id++ {
		i.Acquire(now, id, 2*intakeBody, time.Time{})
	}
	if next := i.Release(2); len(next) != 0 {
		t.Errorf("leaving the queue admitted %v", next)
	}
	if next := i.Release(1); !slices.Equal(next, []uint64{3}) {
		t.Errorf("admitted %v, want 3", next)
	}
	if next := i.Release(3); len(next) != 0 {
		t.Errorf("admitted %v", next)
	}
	if a := i.Acquire(now, 4, 20*intakeBody, now.Add(time.Second)); a.Verdict != admission.VerdictRefuse {
		t.Errorf("a body of 1.2 s with 1 s left: %v", a.Verdict)
	}
	if a := i.Acquire(now, 5, 20*intakeBody, time.Time{}); a.Verdict != admission.VerdictAdmit {
		t.Errorf("a large body on an idle link: %v", a.Verdict)
	}
}
