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

// TestAdoptedServerIsConfirmed guards against calls to an adopted backend server
// that reported to the earlier process that it leaves. Without a heartbeat, calls
// must be refused once its drain may have ended. It also guards against a lease
// that is released while the backend server may still hold keys of it.
func TestAdoptedServerIsConfirmed(t *testing.T) {
	// Nothing listens at the address, so a call that is not refused earlier is
	// refused as unreachable.
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	_ = l.Close()
	started := time.Unix(900, 0)
	heartbeat := dialect.Heartbeat{Name: "i-1", Upstream: "desk", Address: address, Started: started, Sequence: 9, Slots: 4}
	earlier := &wirev1.BackendServer{Name: "i-1", Upstream: "desk", Address: address, BootId: heartbeat.Incarnation(), Slots: 4, ChecksFences: true}
	for _, c := range []struct {
		name      string
		after     time.Duration
		heartbeat bool
		reason    outcome.Reason
	}{
		{"at once", 0, false, outcome.ReasonUnreachable},
		{"after the time of a drain", 1800 * time.Millisecond, false, outcome.ReasonStopping},
		{"after a heartbeat", 1800 * time.Millisecond, true, outcome.ReasonUnreachable},
	} {
		clock := &manualClock{}
		s := backend.New(backend.Config{
			Clock: clock, Dialect: &dialect.Dialect{DrainTimeout: 2 * time.Second, OutOfServiceTimeout: time.Minute, LostAfter: time.Second},
			HoldsUntil: func() time.Time { return time.Time{} }, HealthInterval: time.Millisecond,
		})
		s.Adopt(earlier, clock.Now().Add(5*time.Second))
		if got := s.Announced().GetBootId(); got != heartbeat.Incarnation() {
			t.Fatalf("%s: adopted %q", c.name, got)
		}
		clock.passed.Add(int64(c.after))
		if c.heartbeat {
			if current, err := s.Heartbeat(context.Background(), heartbeat, ""); !current || err != nil {
				t.Fatalf("%s: heartbeat of the same incarnation: %v, %v", c.name, current, err)
			}
		}
		_, refusal := s.Do(context.Background(), &relay.Call{Body: &relay.Body{}, Method: "GET", URI: "/", Deadline: clock.Now().Add(time.Minute)}, backend.Gate{
			BeforeSend: func() (backend.Permit, *outcome.Refusal) { return backend.Permit{}, nil },
		})
		if refusal == nil || refusal.Reason != c.reason || refusal.Outcome != outcome.OutcomeNotRun {
			t.Errorf("%s: refusal %+v, want %q", c.name, refusal, c.reason)
		}
	}
}

// TestAdoptedServerMayHoldKeys guards against an adopted backend server that counts
// as lost while it may still use grants of the earlier process. Its keys would
// then be assigned to others too early. A heartbeat to this process, before or after
// the adoption, says nothing about the end of those grants.
func TestAdoptedServerMayHoldKeys(t *testing.T) {
	heartbeat := dialect.Heartbeat{Name: "i-1", Upstream: "desk", Address: "127.0.0.1:1", Started: time.Unix(900, 0), Sequence: 9, Slots: 4}
	for _, c := range []struct {
		name          string
		before, after bool
	}{{name: "no heartbeat"}, {name: "heartbeat before the adoption", before: true}, {name: "heartbeat after the adoption", after: true}} {
		t.Run(c.name, func(t *testing.T) {
			clock := &manualClock{}
			changes := make(chan struct{}, 10)
			s := backend.New(backend.Config{
				Clock: clock, Dialect: &dialect.Dialect{DrainTimeout: 2 * time.Second, OutOfServiceTimeout: time.Minute, LostAfter: time.Second},
				HoldsUntil: func() time.Time { return time.Time{} }, HealthInterval: time.Millisecond,
				OnChange: func() { changes <- struct{}{} },
			})
			report := func() {
				if current, err := s.Heartbeat(context.Background(), heartbeat, ""); !current || err != nil {
					t.Fatalf("heartbeat: current %v, %v", current, err)
				}
			}
			if c.before {
				report()
			}
			s.Adopt(&wirev1.BackendServer{
				Name: heartbeat.Name, Upstream: "desk", Address: heartbeat.Address, BootId: heartbeat.Incarnation(), Slots: 4, StartedUnixMs: heartbeat.Started.UnixMilli(),
			}, clock.Now().Add(5*time.Second))
			if c.after {
				report()
			}
			<-changes
			for len(changes) > 0 {
				<-changes
			}
			ctx, stop := context.WithCancel(context.Background())
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				s.Run(ctx)
			}()
			clock.passed.Add(int64(4 * time.Second))
			// The ticker fires many times meanwhile.
			time.Sleep(50 * time.Millisecond)
			if s.Announced() == nil {
				t.Error("lost before the grants of the earlier process have ended")
			} else {
				clock.passed.Add(int64(2 * time.Second))
				<-changes
			}
			if s.Announced() != nil {
				t.Error("not lost although it sends nothing and holds no keys")
			}
			stop()
			<-ended
		})
	}
}

// TestEarlierHeartbeatAfterAdoption guards against a late heartbeat of an ended
// backend server that replaces the adopted one, which started later.
func TestEarlierHeartbeatAfterAdoption(t *testing.T) {
	s := backend.New(backend.Config{
		Clock: &manualClock{}, Dialect: &dialect.Dialect{DrainTimeout: 2 * time.Second, OutOfServiceTimeout: time.Minute, LostAfter: time.Second},
		HoldsUntil: func() time.Time { return time.Time{} }, HealthInterval: time.Millisecond,
	})
	next := dialect.Heartbeat{Name: "i-2", Upstream: "desk", Address: "127.0.0.1:1", Started: time.Unix(900, 0), Sequence: 1, Slots: 4}
	s.Adopt(&wirev1.BackendServer{
		Name: next.Name, Upstream: "desk", Address: next.Address, BootId: next.Incarnation(), Slots: 4, StartedUnixMs: next.Started.UnixMilli(),
	}, time.Time{})
	earlier := next
	earlier.Name, earlier.Started, earlier.Sequence = "i-1", next.Started.Add(-time.Second), 70
	for _, c := range []struct {
		heartbeat dialect.Heartbeat
		want      bool
	}{{earlier, false}, {next, true}, {earlier, false}} {
		if current, err := s.Heartbeat(context.Background(), c.heartbeat, ""); current != c.want || err != nil {
			t.Errorf("heartbeat of %s: current %v, %v; want %v", c.heartbeat.Name, current, err, c.want)
		}
	}
	if got := s.Announced().GetName(); got != next.Name {
		t.Errorf("announced %q, want %q", got, next.Name)
	}
}
