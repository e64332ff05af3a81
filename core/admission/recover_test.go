package admission_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/jujubeknot/jujubeknot/core/admission"
)

// saturated is a server that always has as many requests as its guard admits.
type saturated struct {
	guard *admission.Controller
	now   time.Time
	// service is the time of each request, and bears the number of requests
	// above which the server sheds.
	service time.Duration
	bears   int
	ids     uint64
	running []uint64
	shed    int
	ended   int
}

// step starts what is admitted and ends the oldest request.
func (s *saturated) step() {
	for {
		s.ids++
		if s.guard.Offer(s.now, admission.Request{ID: s.ids}).Verdict != admission.VerdictAdmit {
			break
		}
		if len(s.running) >= s.bears {
			s.shed++
			s.guard.Done(s.now, s.ids, admission.Result{Kind: admission.ResultShed})
			continue
		}
		s.running = append(s.running, s.ids)
	}
	s.now = s.now.Add(s.service / time.Duration(len(s.running)))
	id := s.running[0]
	s.running = s.running[1:]
	s.ended++
	s.guard.Done(s.now, id, admission.Result{Kind: admission.ResultOK, Latency: s.service})
}

func newSaturated(slots int, service time.Duration) *saturated {
	return &saturated{
		guard: admission.New(admission.Config{Slots: slots, MaxQueued: -1}), now: time.Unix(0, 0), service: service, bears: slots,
	}
}

// rounds runs the server until its limit is at the slots and returns the time
// that took in service times.
func (s *saturated) rounds(t *rapid.T, slots int) int {
	from := s.now
	for s.guard.Limit() < slots {
		if s.step(); s.now.Sub(from) > 100_000*s.service {
			t.Fatalf("limit %d of %d after 100,000 service times", s.guard.Limit(), slots)
		}
	}
	return int(s.now.Sub(from) / s.service)
}

// TestLimitRecovers guards against a warm server whose limit stays low because
// its service time has risen for good, which looks like overload.
func TestLimitRecovers(t *testing.T) {
	worst := 0
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(2, 32).Draw(t, "slots")
		factor := rapid.Float64Range(2.1, 10).Draw(t, "factor")
		low := rapid.IntRange(1, slots-1).Draw(t, "low")
		s := newSaturated(slots, 5*time.Millisecond)
		s.rounds(t, slots)
		s.service = time.Duration(factor * float64(s.service))
		s.bears = low
		for s.guard.Limit() > low {
			s.step()
		}
		s.bears = slots
		worst = max(worst, s.rounds(t, slots))
	})
	t.Logf("at most %d service times", worst)
	if worst > 1000 {
		t.Errorf("%d service times until the limit was at the slots again, want at most 1000", worst)
	}
}

// TestColdServerBearsItsLoad guards against a cold server that gets more than it
// bears because it is slower under load than alone.
func TestColdServerBearsItsLoad(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(2, 32).Draw(t, "slots")
		s := newSaturated(slots, 5*time.Millisecond)
		s.bears = rapid.IntRange(1, slots-1).Draw(t, "bears")
		factor := rapid.Float64Range(1, 10).Draw(t, "factor")
		rise := rapid.IntRange(0, 200).Draw(t, "rise")
		for s.ended < 3000 {
			if s.ended == rise {
				s.service = time.Duration(factor * float64(s.service))
			}
			s.step()
			if s.guard.Cold() && s.guard.Limit() > s.bears+1 {
				t.Fatalf("limit %d of a cold server that bears %d", s.guard.Limit(), s.bears)
			}
		}
		// One shed request follows each 8 rounds at most.
		if most := 2 + s.ended/(8*s.bears); s.shed > most {
			t.Errorf("%d of %d requests shed, want at most %d", s.shed, s.ended, most)
		}
	})
}
