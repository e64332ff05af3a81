package admission_test

import (
	"slices"
	"testing"
	"time"

	"github.com/jujubeknot/jujubeknot/core/admission"
	"github.com/jujubeknot/jujubeknot/core/outcome"
)

const (
	// linkRate is 8 Mbit/s in bytes/s. A body of bodySize bytes takes 60 ms.
	linkRate = 1e6
	bodySize = 60_000
)

// upload is a request body on its way to a VM.
type upload struct {
	at, done time.Duration
	left     float64
	refused  bool
}

// uploads returns uploads that arrive at regular intervals, twice as fast as
// the link carries them.
func uploads(count int) []*upload {
	list := make([]*upload, count)
	for n := range list {
		list[n] = &upload{at: time.Duration(n) * 30 * time.Millisecond, left: bodySize}
	}
	return list
}

// simulateLink simulates, in steps of 1 ms, a link of the given rate that the
// current uploads share equally. arrive reports whether an upload starts at once, and finish
// returns the uploads that start once another has ended. The result is the
// longest time that the link needed for the bytes of all uploads in progress.
func simulateLink(list []*upload, rate float64, arrive func(now time.Duration, u *upload) bool, finish func(now time.Duration, u *upload) []*upload) time.Duration {
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
		share := rate * step.Seconds() / float64(max(len(sending), 1))
		total := 0.0
		for _, u := range slices.Clone(sending) {
			total += u.left
			if u.left -= share; u.left <= 0 {
				u.done = now
				sending = slices.DeleteFunc(sending, func(o *upload) bool { return o == u })
				sending = append(sending, finish(now, u)...)
			}
		}
		longest = max(longest, time.Duration(total/rate*float64(time.Second)))
	}
	return longest
}

// TestBodyLimiterAtTwiceTheLinkRate simulates bodies that arrive twice as fast
// as the link carries them and must be received within 1 s. It guards against
// bodies that all share the link: hardly any arrives in time, and all other
// traffic waits behind seconds of bodies.
func TestBodyLimiterAtTwiceTheLinkRate(t *testing.T) {
	const timeout = time.Second
	inTime := func(list []*upload) (n int) {
		for _, u := range list {
			if u.done > 0 && u.done-u.at <= timeout {
				n++
			}
		}
		return n
	}
	shared := uploads(100)
	sharedBacklog := simulateLink(shared, linkRate, func(time.Duration, *upload) bool { return true }, func(time.Duration, *upload) []*upload { return nil })

	start := time.Unix(1000, 0)
	list := uploads(100)
	limiter := admission.NewBodyLimiter(linkRate)
	ids := map[uint64]*upload{}
	idOf := func(u *upload) uint64 { return uint64(slices.Index(list, u)) + 1 }
	backlog := simulateLink(list, linkRate, func(now time.Duration, u *upload) bool {
		ids[idOf(u)] = u
		a := limiter.Acquire(start.Add(now), admission.Body{ID: idOf(u), Bytes: bodySize, Deadline: start.Add(u.at + timeout)})
		u.refused = a.Verdict == admission.VerdictRefuse
		if u.refused && (a.Reason != outcome.ReasonLinkBusy || a.RetryAfter <= 0) {
			t.Errorf("refused with %+v, want linkBusy and a positive RetryAfter", a)
		}
		return a.Verdict == admission.VerdictAdmit
	}, func(now time.Duration, u *upload) (next []*upload) {
		for _, id := range limiter.Release(start.Add(now), idOf(u), true) {
			next = append(next, ids[id])
		}
		return next
	})
	if before, after := inTime(shared), inTime(list); after < 2*before || after < 45 {
		t.Errorf("%d of %d bodies in time with the limiter and %d without, want at least 45 and twice as many; the link carries 50 and more", after, len(list), before)
	}
	if backlog > 200*time.Millisecond || sharedBacklog < time.Second {
		t.Errorf("backlog of the link %v with the limiter and %v without, want at most 200ms and at least 1s", backlog, sharedBacklog)
	}
	for _, u := range list {
		if !u.refused && u.done == 0 {
			t.Errorf("the body that arrived at %v was neither received nor refused", u.at)
		}
	}
}

// TestBodyLimiterReleaseWhileWaiting guards against capacity that is lost when
// a caller abandons its request while the body waits.
func TestBodyLimiterReleaseWhileWaiting(t *testing.T) {
	now := time.Unix(1000, 0)
	l := admission.NewBodyLimiter(linkRate)
	for id := uint64(1); id <= 3; id++ {
		l.Acquire(now, admission.Body{ID: id, Bytes: 2 * bodySize})
	}
	if next := l.Release(now, 2, false); len(next) != 0 {
		t.Errorf("releasing a waiting body admitted %v, want none", next)
	}
	if next := l.Release(now, 1, false); !slices.Equal(next, []uint64{3}) {
		t.Errorf("releasing an admitted body admitted %v, want [3]", next)
	}
	if next := l.Release(now, 3, false); len(next) != 0 {
		t.Errorf("releasing the last body admitted %v, want none", next)
	}
	if a := l.Acquire(now, admission.Body{ID: 4, Bytes: 20 * bodySize, Deadline: now.Add(time.Second)}); a.Verdict != admission.VerdictRefuse {
		t.Errorf("a body of 1.2 s with 1 s left: verdict %v, want refuse", a.Verdict)
	}
	if a := l.Acquire(now, admission.Body{ID: 5, Bytes: 20 * bodySize}); a.Verdict != admission.VerdictAdmit {
		t.Errorf("a large body on an idle link: verdict %v, want admit", a.Verdict)
	}
}

// TestBodiesArriveByTheirTarget replays the uploads of an overloaded day of the users
// at one server: 1.28 times what the link carries, of which other traffic takes a
// quarter; callers want an answer within 1.2 s and wait for 8 s, and a request runs
// for 270 ms. It guards against a queue of bodies as long as the deadline. There,
// nearly all answers were late, and callers waited for seconds to be refused.
func TestBodiesArriveByTheirTarget(t *testing.T) {
	const (
		target, deadline, service = 1200 * time.Millisecond, 8 * time.Second, 270 * time.Millisecond
		available                 = 0.75 * linkRate
	)
	run := func(withTarget bool) (received, onTarget int, longestWait time.Duration) {
		start := time.Unix(1000, 0)
		list := make([]*upload, 400)
		for n := range list {
			list[n] = &upload{at: time.Duration(n) * 47 * time.Millisecond, left: bodySize}
		}
		limiter := admission.NewBodyLimiter(linkRate)
		ids := map[uint64]*upload{}
		idOf := func(u *upload) uint64 { return uint64(slices.Index(list, u)) + 1 }
		simulateLink(list, available, func(now time.Duration, u *upload) bool {
			ids[idOf(u)] = u
			b := admission.Body{ID: idOf(u), Bytes: bodySize, Deadline: start.Add(u.at + deadline)}
			if withTarget {
				b.Target = start.Add(u.at + target - service)
			}
			a := limiter.Acquire(start.Add(now), b)
			u.refused = a.Verdict == admission.VerdictRefuse
			return a.Verdict == admission.VerdictAdmit
		}, func(now time.Duration, u *upload) (next []*upload) {
			for _, id := range limiter.Release(start.Add(now), idOf(u), true) {
				next = append(next, ids[id])
			}
			return next
		})
		for _, u := range list {
			if u.done == 0 {
				continue
			}
			received++
			longestWait = max(longestWait, u.done-u.at)
			if u.done-u.at+service <= target {
				onTarget++
			}
		}
		return received, onTarget, longestWait
	}
	before, beforeOnTarget, beforeWait := run(false)
	received, onTarget, wait := run(true)
	t.Logf("%d received, %d on target, longest transfer %v; by deadline only %d, %d, %v", received, onTarget, wait, before, beforeOnTarget, beforeWait)
	if beforeOnTarget > before/4 {
		t.Errorf("%d of %d on target by deadline only: the replay does not show the fault", beforeOnTarget, before)
	}
	if onTarget < received*95/100 || received < before*90/100 {
		t.Errorf("%d of %d bodies on target, want 95%% of them and 90%% of the %d that are received by deadline only", onTarget, received, before)
	}
}
