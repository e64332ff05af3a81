package admission_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/jujubeknot/jujubeknot/core/admission"
)

// saturated is a server that always has as many requests as its Controller
// admits.
type saturated struct {
	controller *admission.Controller
	now        time.Time
	// service is the service time of each request. The server sheds requests while
	// capacity requests run.
	service  time.Duration
	capacity int
	lastID   uint64
	running  []uint64
	shed     int
	ended    int
}

// step starts what is admitted and ends the oldest request.
func (s *saturated) step() {
	for {
		s.lastID++
		if s.controller.Offer(s.now, admission.Request{ID: s.lastID}).Verdict != admission.VerdictAdmit {
			break
		}
		if len(s.running) >= s.capacity {
			s.shed++
			s.controller.Done(s.now, s.lastID, admission.Result{Kind: admission.ResultShed})
			continue
		}
		s.running = append(s.running, s.lastID)
	}
	s.now = s.now.Add(s.service / time.Duration(len(s.running)))
	id := s.running[0]
	s.running = s.running[1:]
	s.ended++
	s.controller.Done(s.now, id, admission.Result{Kind: admission.ResultOK, Latency: s.service})
}

func newSaturated(slots int, service time.Duration) *saturated {
	return &saturated{
		controller: admission.New(admission.Config{Slots: slots, MaxQueued: -1}), now: time.Unix(0, 0), service: service, capacity: slots,
	}
}

// runToFullLimit runs the server until its limit equals its slots. It returns
// the time that this took, in service times.
func (s *saturated) runToFullLimit(t *rapid.T, slots int) int {
	from := s.now
	for s.controller.Limit() < slots {
		if s.step(); s.now.Sub(from) > 100_000*s.service {
			t.Fatalf("limit %d of %d after 100,000 service times", s.controller.Limit(), slots)
		}
	}
	return int(s.now.Sub(from) / s.service)
}

// TestLimitRecovers guards against a warm server whose limit stays low after
// its service time has risen permanently, because that looks like overload.
func TestLimitRecovers(t *testing.T) {
	worst := 0
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(2, 32).Draw(t, "slots")
		factor := rapid.Float64Range(2.1, 10).Draw(t, "factor")
		low := rapid.IntRange(1, slots-1).Draw(t, "low")
		s := newSaturated(slots, 5*time.Millisecond)
		s.runToFullLimit(t, slots)
		s.service = time.Duration(factor * float64(s.service))
		s.capacity = low
		for s.controller.Limit() > low {
			s.step()
		}
		s.capacity = slots
		worst = max(worst, s.runToFullLimit(t, slots))
	})
	t.Logf("at most %d service times", worst)
	if worst > 1000 {
		t.Errorf("the limit took %d service times to return to the slots, want at most 1000", worst)
	}
}

// TestColdServerIsNotOverloaded guards against a server in cold start that gets
// more requests than its capacity, because it is slower under load than with a
// single request.
func TestColdServerIsNotOverloaded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(2, 32).Draw(t, "slots")
		s := newSaturated(slots, 5*time.Millisecond)
		s.capacity = rapid.IntRange(1, slots-1).Draw(t, "capacity")
		factor := rapid.Float64Range(1, 10).Draw(t, "factor")
		rise := rapid.IntRange(0, 200).Draw(t, "rise")
		for s.ended < 3000 {
			if s.ended == rise {
				s.service = time.Duration(factor * float64(s.service))
			}
			s.step()
			if s.controller.Cold() && s.controller.Limit() > s.capacity+1 {
				t.Fatalf("limit %d of a server in cold start, want at most 1 above its capacity %d", s.controller.Limit(), s.capacity)
			}
		}
		// One shed request follows each 8 rounds at most.
		if most := 2 + s.ended/(8*s.capacity); s.shed > most {
			t.Errorf("%d of %d requests shed, want at most %d", s.shed, s.ended, most)
		}
	})
}
