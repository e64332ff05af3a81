package lease_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/jujubeknot/jujubeknot/core/lease"
)

// TestGrantsUnderFaults guards against a backend server that accepts a fencing
// token which the node had not granted when it sent the latest message that
// arrived, or that keeps a partition which was taken away, when messages and
// answers are lost, doubled and reordered and the server restarts. After
// messages arrive again, it holds exactly what is granted.
func TestGrantsUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type sent struct {
			grant lease.Grant
			open  map[uint32]uint64
		}
		var (
			sender   lease.GrantSender
			receiver lease.GrantReceiver
			network  []sent
			current  sent
			number   = uint64(1)
			open     = map[uint32]uint64{}
			epochs   = map[uint32]uint64{}
			now      = time.Unix(1000, 0)
			until    = now.Add(time.Second)
		)
		check := func() {
			t.Helper()
			for p := range uint32(4) {
				for e := range epochs[p] + 2 {
					if receiver.Holds(now, p, e) && current.open[p] != e {
						t.Fatalf("partition %d is held at epoch %d, granted by the latest message at %d", p, e, current.open[p])
					}
				}
			}
		}
		arrive := func(m sent) lease.GrantAnswer {
			answer := receiver.Apply(now, m.grant)
			if answer.Error == "" {
				if later := m.grant.Lease > current.grant.Lease || m.grant.Lease == current.grant.Lease && m.grant.Sequence > current.grant.Sequence; !later {
					t.Fatalf("message %+v was taken after %+v", m.grant, current.grant)
				}
				current = m
			}
			check()
			return answer
		}
		send := func(faults bool) {
			for range 2 {
				g, some := sender.Next(now, until)
				if !some {
					return
				}
				m := sent{g, map[uint32]uint64{}}
				for p, e := range open {
					m.open[p] = e
				}
				network = append(network, m)
				fate := 0
				if faults {
					fate = rapid.IntRange(0, 3).Draw(t, "fate")
				}
				switch fate {
				case 0:
					if !sender.Answered(arrive(m)) {
						return
					}
				case 1: // the answer is lost
					arrive(m)
					sender.Failed()
					return
				default: // late or lost
					sender.Failed()
					return
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"open": func(t *rapid.T) {
				p := rapid.Uint32Range(0, 3).Draw(t, "partition")
				epochs[p]++
				open[p] = epochs[p]
				sender.AddPartitions(number, "applications", lease.GrantedPartition{Partition: p, Epoch: epochs[p]})
			},
			"close": func(t *rapid.T) {
				p := rapid.Uint32Range(0, 3).Draw(t, "partition")
				sender.RemovePartitions(lease.GrantedPartition{Partition: p, Epoch: open[p]})
				delete(open, p)
			},
			"send": func(*rapid.T) { send(true) },
			"late": func(t *rapid.T) {
				if len(network) > 0 {
					arrive(network[rapid.IntRange(0, len(network)-1).Draw(t, "message")])
				}
			},
			"pass": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
				until = now.Add(time.Second)
			},
			"begin": func(*rapid.T) {
				sender.EndLease()
				clear(open)
				send(true)
				number++
			},
			"restart": func(*rapid.T) {
				// Connections to the server end with it, and messages with them.
				receiver, current, network = lease.GrantReceiver{}, sent{}, nil
			},
			"recover": func(t *rapid.T) {
				now, until = now.Add(time.Millisecond), now.Add(time.Second+time.Millisecond)
				send(false)
				for p := range uint32(4) {
					if epoch := open[p]; epoch > 0 && !receiver.Holds(now, p, epoch) {
						t.Fatalf("partition %d is not held at epoch %d", p, epoch)
					}
				}
				if len(open) == 0 && receiver.PartitionCount() > 0 && receiver.Holds(now, 0, epochs[0]) {
					t.Fatalf("a partition is held although none is granted")
				}
			},
			"": func(*rapid.T) { check() },
		})
	})
}

// TestGrantMessages guards against a whole grant where an extension would do,
// an extension after a restart of the server, and an end of the lease that an
// answer to an earlier message hides.
func TestGrantMessages(t *testing.T) {
	now := time.Unix(1000, 0)
	var s lease.GrantSender
	var r lease.GrantReceiver
	next := func() lease.Grant {
		t.Helper()
		now = now.Add(400 * time.Millisecond)
		g, some := s.Next(now, now.Add(time.Second))
		if !some {
			t.Fatal("no message")
		}
		return g
	}
	s.AddPartitions(7, "applications", lease.GrantedPartition{Partition: 1, Epoch: 3}, lease.GrantedPartition{Partition: 2, Epoch: 5})
	if g := next(); !g.Whole || len(g.Partitions) != 2 || s.Answered(r.Apply(now, g)) {
		t.Errorf("first message %+v", g)
	}
	if g := next(); g.Whole || g.Partitions != nil || g.Version != 1 || s.Answered(r.Apply(now, g)) {
		t.Errorf("message without a change %+v", g)
	}
	s.RemovePartitions(lease.GrantedPartition{Partition: 1, Epoch: 3})
	if g := next(); g.Whole || g.Base != 1 || len(g.Closed) != 1 || g.Partitions != nil && len(g.Partitions) > 0 || s.Answered(r.Apply(now, g)) {
		t.Errorf("message about a change %+v", g)
	}
	if r.Holds(now, 1, 3) || !r.Holds(now, 2, 5) {
		t.Error("the closed partition is held, or the other one is not")
	}
	r = lease.GrantReceiver{}
	if g := next(); !s.Answered(r.Apply(now, g)) || r.PartitionCount() != 0 {
		t.Errorf("a restarted server took %+v", g)
	}
	if g := next(); !g.Whole || s.Answered(r.Apply(now, g)) || !r.Holds(now, 2, 5) {
		t.Errorf("message to a restarted server %+v", g)
	}
	g := next()
	s.EndLease()
	s.Answered(r.Apply(now, g))
	if g := next(); !g.Whole || g.ExpiryMs != 0 || s.Answered(r.Apply(now, g)) || r.PartitionCount() != 0 {
		t.Errorf("message at the end of the lease %+v", g)
	}
	s.AddPartitions(7, "applications", lease.GrantedPartition{Partition: 1, Epoch: 3})
	if g, some := s.Next(now, now.Add(time.Second)); some {
		t.Errorf("message of a lease that is over: %+v", g)
	}
}

// TestHeldUpGrantGrantsNothing guards against a backend server that was frozen,
// finds a whole grant of a lease that is over among what arrived meanwhile, and
// serves keys that another one has got. Soak seed 20: a request ran at fence 1
// 0.4 s after another server had begun one at fence 2.
func TestHeldUpGrantGrantsNothing(t *testing.T) {
	started := time.Unix(500, 0)
	for name, c := range map[string]struct {
		told bool
		held bool
	}{"tells its clock": {true, false}, "tells none": {false, true}} {
		var sender lease.GrantSender
		now := time.Unix(1000, 0)
		var receiver lease.GrantReceiver
		if c.told {
			receiver.ClockStart = started
			// The announcement was on its way for 100 ms.
			sender.SetServerClock(now, now.Add(-100*time.Millisecond).Sub(started))
		}
		sender.AddPartitions(1, "desk", lease.GrantedPartition{Partition: 3, Epoch: 1})
		until := now.Add(1500 * time.Millisecond)
		g, _ := sender.Next(now, until)
		receiver.Apply(now, g)
		if !receiver.Holds(until.Add(-200*time.Millisecond), 3, 1) {
			t.Errorf("%s: not held before the end of the lease", name)
		}
		sender.Failed()
		g, _ = sender.Next(now.Add(time.Second), until)
		thawed := now.Add(3 * time.Second)
		receiver.Apply(thawed, g)
		if got := receiver.Holds(thawed, 3, 1); got != c.held {
			t.Errorf("%s: held after the end of the lease: %v, want %v", name, got, c.held)
		}
	}
}
