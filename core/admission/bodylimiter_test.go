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

// simulateLink simulates, in steps of 1 ms, a link that the current uploads
// share equally. arrive reports whether an upload starts at once, and finish
// returns the uploads that start once another has ended. The result is the
// longest time that the link needed for the bytes of all uploads in progress.
func simulateLink(list []*upload, arrive func(now time.Duration, u *upload) bool, finish func(u *upload) []*upload) time.Duration {
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
		share := linkRate * step.Seconds() / float64(max(len(sending), 1))
		total := 0.0
		for _, u := range slices.Clone(sending) {
			total += u.left
			if u.left -= share; u.left <= 0 {
				u.done = now
				sending = slices.DeleteFunc(sending, func(o *upload) bool { return o == u })
				sending = append(sending, finish(u)...)
			}
		}
		longest = max(longest, time.Duration(total/linkRate*float64(time.Second)))
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
	sharedBacklog := simulateLink(shared, func(time.Duration, *upload) bool { return true }, func(*upload) []*upload { return nil })

	start := time.Unix(1000, 0)
	list := uploads(100)
	limiter := admission.NewBodyLimiter(linkRate)
	ids := map[uint64]*upload{}
	idOf := func(u *upload) uint64 { return uint64(slices.Index(list, u)) + 1 }
	backlog := simulateLink(list, func(now time.Duration, u *upload) bool {
		ids[idOf(u)] = u
		a := limiter.Acquire(start.Add(now), idOf(u), bodySize, start.Add(u.at+timeout))
		u.refused = a.Verdict == admission.VerdictRefuse
		if u.refused && (a.Reason != outcome.ReasonLinkBusy || a.RetryAfter <= 0) {
			t.Errorf("refused with %+v, want linkBusy and a positive RetryAfter", a)
		}
		return a.Verdict == admission.VerdictAdmit
	}, func(u *upload) (next []*upload) {
		for _, id := range limiter.Release(idOf(u)) {
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
		l.Acquire(now, id, 2*bodySize, time.Time{})
	}
	if next := l.Release(2); len(next) != 0 {
		t.Errorf("releasing a waiting body admitted %v, want none", next)
	}
	if next := l.Release(1); !slices.Equal(next, []uint64{3}) {
		t.Errorf("releasing an admitted body admitted %v, want [3]", next)
	}
	if next := l.Release(3); len(next) != 0 {
		t.Errorf("releasing the last body admitted %v, want none", next)
	}
	if a := l.Acquire(now, 4, 20*bodySize, now.Add(time.Second)); a.Verdict != admission.VerdictRefuse {
		t.Errorf("a body of 1.2 s with 1 s left: verdict %v, want refuse", a.Verdict)
	}
	if a := l.Acquire(now, 5, 20*bodySize, time.Time{}); a.Verdict != admission.VerdictAdmit {
		t.Errorf("a large body on an idle link: verdict %v, want admit", a.Verdict)
	}
}
