package backend_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/jujubeknot/jujubeknot/core/outcome"
	"github.com/jujubeknot/jujubeknot/node/dialect"
	"github.com/jujubeknot/jujubeknot/node/internal/backend"
	"github.com/jujubeknot/jujubeknot/node/internal/relay"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// TestAdoptedServerIsConfirmed guards against calls to a backend server that told
// the earlier process that it leaves, and against a lease that is given up while
// the backend server may hold keys of it.
func TestAdoptedServerIsConfirmed(t *testing.T) {
	// Nothing listens at the address: what is not refused before is unreachable.
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	_ = l.Close()
	started := time.Unix(900, 0)
	beat := dialect.Heartbeat{Name: "i-1", Upstream: "desk", Address: address, Started: started, Sequence: 9, Slots: 4}
	earlier := &wirev1.BackendServer{Name: "i-1", Upstream: "desk", Address: address, BootId: beat.Incarnation(), Slots: 4, ChecksFences: true}
	for _, c := range []struct {
		name   string
		after  time.Duration
		beat   bool
		reason outcome.Reason
	}{
		{"at once", 0, false, outcome.ReasonUnreachable},
		{"after the time of a drain", 1800 * time.Millisecond, false, outcome.ReasonStopping},
		{"after a beat", 1800 * time.Millisecond, true, outcome.ReasonUnreachable},
	} {
		clock := &stillClock{}
		s := backend.New(backend.Config{
			Clock: clock, Dialect: &dialect.Dialect{DrainTimeout: 2 * time.Second, OutOfServiceTimeout: time.Minute, LostAfter: time.Second},
			HoldsUntil: func() time.Time { return time.Time{} }, HealthInterval: time.Millisecond,
		})
		s.Adopt(earlier, clock.Now().Add(5*time.Second))
		if got := s.Announced().GetBootId(); got != beat.Incarnation() {
			t.Fatalf("%s: adopted %q", c.name, got)
		}
		clock.passed.Add(int64(c.after))
		if c.beat {
			if current, err := s.Beat(beat); !current || err != nil {
				t.Fatalf("%s: beat of the same life: %v, %v", c.name, current, err)
			}
		}
		_, refusal := s.Do(context.Background(), &relay.Call{Body: &relay.Body{}, Method: "GET", URI: "/", Deadline: clock.Now().Add(time.Minute)}, backend.Gate{
			Before: func() (backend.Term, *outcome.Refusal) { return backend.Term{}, nil },
		})
		if refusal == nil || refusal.Reason != c.reason || refusal.Outcome != outcome.OutcomeNotRun {
			t.Errorf("%s: refusal %+v, want %q", c.name, refusal, c.reason)
		}
	}
}

// TestAdoptedServerMayHoldKeys guards against a backend server that is taken for
// lost, so that its keys go to others, while the grants of the earlier process
// may last.
func TestAdoptedServerMayHoldKeys(t *testing.T) {
	clock := &stillClock{}
	lost := make(chan struct{}, 10)
	s := backend.New(backend.Config{
		Clock: clock, Dialect: &dialect.Dialect{DrainTimeout: 2 * time.Second, OutOfServiceTimeout: time.Minute, LostAfter: time.Second},
		HoldsUntil: func() time.Time { return time.Time{} }, HealthInterval: time.Millisecond,
		Changed: func() { lost <- struct{}{} },
	})
	s.Adopt(&wirev1.BackendServer{Name: "i-1", Upstream: "desk", Address: "127.0.0.1:1", BootId: "i-1/1", Slots: 4}, clock.Now().Add(5*time.Second))
	<-lost
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		s.Run(ctx)
	}()
	clock.passed.Add(int64(4 * time.Second))
	// The ticker looks many times.
	time.Sleep(50 * time.Millisecond)
	if s.Announced() == nil {
		t.Error("lost before the grants of the earlier process are over")
	}
	clock.passed.Add(int64(2 * time.Second))
	<-lost
	if s.Announced() != nil {
		t.Error("not lost although it is silent and holds nothing")
	}
	stop()
	<-ended
}

// TestEarlierBeatAfterAdoption guards against a beat of an ended backend server that
// takes the place of the adopted one, which started later.
func TestEarlierBeatAfterAdoption(t *testing.T) {
	s := backend.New(backend.Config{
		Clock: &stillClock{}, Dialect: &dialect.Dialect{DrainTimeout: 2 * time.Second, OutOfServiceTimeout: time.Minute, LostAfter: time.Second},
		HoldsUntil: func() time.Time { return time.Time{} }, HealthInterval: time.Millisecond,
	})
	next := dialect.Heartbeat{Name: "i-2", Upstream: "desk", Address: "127.0.0.1:1", Started: time.Unix(900, 0), Sequence: 1, Slots: 4}
	s.Adopt(&wirev1.BackendServer{
		Name: next.Name, Upstream: "desk", Address: next.Address, BootId: next.Incarnation(), Slots: 4, StartedUnixMs: next.Started.UnixMilli(),
	}, time.Time{})
	earlier := next
	earlier.Name, earlier.Started, earlier.Sequence = "i-1", next.Started.Add(-time.Second), 70
	for _, c := range []struct {
		beat dialect.Heartbeat
		want bool
	}{{earlier, false}, {next, true}, {earlier, false}} {
		if current, err := s.Beat(c.beat); current != c.want || err != nil {
			t.Errorf("beat of %s: current %v, %v; want %v", c.beat.Name, current, err, c.want)
		}
	}
	if got := s.Announced().GetName(); got != next.Name {
		t.Errorf("announced %q, want %q", got, next.Name)
	}
}
