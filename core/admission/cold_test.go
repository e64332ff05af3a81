package admission_test

import (
	"testing"
	"time"

	"github.com/jujubeknot/jujubeknot/core/admission"
)

// TestToldColdStart replays the return of a server under full load: it says that
// it is cold for 3 s and sustains 20 requests/s, and 100 requests/s are offered.
// It guards against more starts within any second than it sustains with a
// quarter to spare, against starts that never come, and against a server that
// stays limited once it is warm.
func TestToldColdStart(t *testing.T) {
	const coldRate, coldFor = 20, 3 * time.Second
	g := admission.New(admission.Config{Slots: 10, MaxQueued: 50, ReportsColdStart: true, ColdRate: coldRate})
	now := time.Unix(100, 0)
	begin := now
	var starts []time.Time
	ends := map[uint64]time.Time{}
	admitted := func(id uint64) {
		starts = append(starts, now)
		ends[id] = now.Add(30 * time.Millisecond)
	}
	take := func(events []admission.Event) {
		for _, e := range events {
			if e.Decision.Verdict == admission.VerdictAdmit {
				admitted(e.ID)
			}
		}
	}
	g.SetColdUntil(now, now.Add(coldFor))
	for id := uint64(1); now.Sub(begin) < 5*time.Second; id++ {
		now = now.Add(10 * time.Millisecond)
		for other, end := range ends {
			if !end.After(now) {
				delete(ends, other)
				take(g.Done(now, other, admission.Result{Kind: admission.ResultOK, Latency: 30 * time.Millisecond}))
			}
		}
		take(g.Expire(now))
		if g.Offer(now, admission.Request{ID: id, Deadline: now.Add(200 * time.Millisecond)}).Verdict == admission.VerdictAdmit {
			admitted(id)
		}
	}
	cold, warm := 0, 0
	for i, s := range starts {
		within := 0
		for _, later := range starts[i:] {
			if later.Sub(s) < time.Second && later.Sub(begin) < coldFor {
				within++
			}
		}
		if within > coldRate*5/4 {
			t.Fatalf("%d requests started within a second from %v", within, s.Sub(begin))
		}
		if s.Sub(begin) < coldFor {
			cold++
		} else {
			warm++
		}
	}
	if cold < coldRate*2 || warm < 150 {
		t.Errorf("%d requests started cold and %d warm", cold, warm)
	}
}

// TestToldSlotsAreUsed guards against a limit below the slots of a server that
// tells them: sheds and timeouts of a busy server say nothing about its slots.
func TestToldSlotsAreUsed(t *testing.T) {
	g := admission.New(admission.Config{ReportsColdStart: true})
	now := time.Unix(100, 0)
	g.Configure(now, admission.Config{Slots: 6, ReportsColdStart: true})
	for id := uint64(1); id <= 100; id++ {
		if g.Offer(now, admission.Request{ID: id}).Verdict != admission.VerdictAdmit {
			t.Fatalf("request %d does not start", id)
		}
		g.Done(now, id, admission.Result{Kind: []admission.ResultKind{admission.ResultShed, admission.ResultTimeout, admission.ResultRefused}[id%3], Latency: time.Second})
		now = now.Add(time.Second)
	}
	if g.Limit() != 6 || g.Cold() {
		t.Errorf("limit %d, cold %v; want 6 and not cold", g.Limit(), g.Cold())
	}
}
