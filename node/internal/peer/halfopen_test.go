package peer

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// detectorDriver passes samples to a halfOpenDetector at the interval of a
// connMonitor.
type detectorDriver struct {
	detector halfOpenDetector
	now      time.Time
	sample   sample
	observe  func(*halfOpenDetector, time.Time, sample) action
	pinged   bool
	// idle is whether the last sample found the connection idle.
	idle bool
}

func newDetectorDriver(look func(*halfOpenDetector, time.Time, sample) action) *detectorDriver {
	return &detectorDriver{now: time.Unix(1000, 0), observe: look}
}

// run passes samples for a time or until the connection is closed, and counts the
// pings. It calls beforeSample, if not nil, before each sample.
func (w *detectorDriver) run(length time.Duration, beforeSample func(pinged bool)) (pings int, closedAfter time.Duration) {
	for start := w.now; w.now.Sub(start) < length; {
		w.now = w.now.Add(sampleInterval)
		if beforeSample != nil {
			beforeSample(w.pinged)
		}
		action := w.observe(&w.detector, w.now, w.sample)
		w.pinged, w.idle = action == actionPing, action == actionCloseIdle
		switch action {
		case actionPing:
			pings++
		case actionClose:
			return pings, w.now.Sub(start)
		}
	}
	return pings, 0
}

// answerPing counts one read and one write after each ping.
func (w *detectorDriver) answerPing(pinged bool) {
	if pinged {
		w.sample.reads++
		w.sample.writes++
	}
}

// TestIdleConnectionGetsFewPings guards against pings that cost more than the
// requests of a large deployment, and against pings that never stop, so that an idle
// connection is not closed.
func TestIdleConnectionGetsFewPings(t *testing.T) {
	w := newDetectorDriver((*halfOpenDetector).observeDialed)
	w.sample.started++
	pings, closed := w.run(5*time.Minute, w.answerPing)
	if pings != maxIdlePings || closed != 0 {
		t.Fatalf("%d pings, closed after %v; want %d pings and an open connection", pings, closed, maxIdlePings)
	}
	w.sample.started++
	if pings, _ = w.run(5*time.Minute, w.answerPing); pings != maxIdlePings {
		t.Fatalf("%d pings after another call, want %d", pings, maxIdlePings)
	}
}

// TestIdleConnectionIsClosed guards against connections without calls that stay open
// for ever, and against connections that are closed as idle during a call.
func TestIdleConnectionIsClosed(t *testing.T) {
	w := newDetectorDriver((*halfOpenDetector).observeDialed)
	w.sample.started, w.sample.calls = 1, 1
	w.run(2*idleTimeout, func(pinged bool) {
		w.answerPing(pinged)
		if w.idle {
			t.Fatal("connection is idle with a call in flight")
		}
	})
	w.sample.calls = 0
	w.run(idleTimeout-sampleInterval, w.answerPing)
	if w.idle {
		t.Fatalf("connection is idle before %v", idleTimeout)
	}
	if w.run(2*sampleInterval, w.answerPing); !w.idle {
		t.Fatalf("connection is not idle after %v", idleTimeout)
	}
}

// TestHalfOpenConnectionIsClosed guards against a half-open connection on which calls
// wait for longer than PingAfter and PingTimeout, whatever happened on it before, and
// against one that is detected only with the next call.
func TestHalfOpenConnectionIsClosed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newDetectorDriver((*halfOpenDetector).observeDialed)
		for range rapid.IntRange(0, 5).Draw(t, "phases") {
			w.sample.calls = rapid.IntRange(0, 2).Draw(t, "calls")
			w.sample.started += uint64(w.sample.calls)
			length := time.Duration(rapid.IntRange(1, 400).Draw(t, "looks")) * sampleInterval
			if _, closed := w.run(length, w.answerPing); closed != 0 {
				t.Fatalf("connection closed after %v although each ping was answered", closed)
			}
		}
		w.sample.calls, w.sample.started = 1, w.sample.started+1
		_, closed := w.run(time.Minute, nil)
		if bound := PingAfter + PingTimeout + 2*sampleInterval; closed == 0 || closed > bound {
			t.Fatalf("connection closed after %v, want above 0 and at most %v", closed, bound)
		}
	})
}

// TestCallAfterIdlePeriodGetsFullTimeout guards against a connection that is treated
// as half-open as soon as a call begins, because it was idle for long before.
func TestCallAfterIdlePeriodGetsFullTimeout(t *testing.T) {
	w := newDetectorDriver((*halfOpenDetector).observeDialed)
	w.run(5*time.Minute, w.answerPing)
	w.sample.calls, w.sample.started, w.sample.writes = 1, w.sample.started+1, w.sample.writes+1
	if pings, closed := w.run(PingAfter-sampleInterval, nil); pings != 0 || closed != 0 {
		t.Fatalf("%d pings, closed after %v; want no pings and an open connection", pings, closed)
	}
}

// TestProcessPauseClosesNoConnection guards against a process that closes working
// connections after a pause, because it has not read the bytes that arrived in it.
func TestProcessPauseClosesNoConnection(t *testing.T) {
	for name, look := range map[string]func(*halfOpenDetector, time.Time, sample) action{"client": (*halfOpenDetector).observeDialed, "server": (*halfOpenDetector).observeAccepted} {
		w := newDetectorDriver(look)
		w.sample.calls = 1
		// The pause begins while a ping is in flight.
		w.run(PingAfter+2*sampleInterval, nil)
		w.now = w.now.Add(time.Minute)
		if _, closed := w.run(PingTimeout-sampleInterval, nil); closed != 0 {
			t.Errorf("%s: connection closed %v after the pause, want it open", name, closed)
		}
	}
}

// TestServerKeepsPingedConnection guards against a server that closes the connection
// of a slow download, on which the client writes nothing but pings, and against one
// that keeps the connection of a lost client.
func TestServerKeepsPingedConnection(t *testing.T) {
	client, server := newDetectorDriver((*halfOpenDetector).observeDialed), newDetectorDriver((*halfOpenDetector).observeAccepted)
	client.sample.calls, server.sample.calls = 1, 1
	pings := 0
	_, closed := client.run(time.Minute, func(pinged bool) {
		client.sample.reads++
		if pinged {
			pings++
			client.sample.writes++
			server.sample.reads++
		}
		if _, silent := server.run(sampleInterval, nil); silent != 0 {
			t.Fatalf("server closed the connection after %d pings", pings)
		}
	})
	if closed != 0 || pings == 0 {
		t.Fatalf("client sent %d pings and closed after %v; want pings and an open connection", pings, closed)
	}
	if _, closed := server.run(time.Minute, nil); closed == 0 || closed > unresponsiveAfter+sampleInterval {
		t.Fatalf("server closed after %v, want above 0 and at most %v", closed, unresponsiveAfter+sampleInterval)
	}
}

// TestUnusedTargetsAreRemoved guards against targets that are removed while they have
// calls or connections, so that these are counted on two targets, and against targets
// that are never removed.
func TestUnusedTargetsAreRemoved(t *testing.T) {
	var s connectionSet
	first := s.beginCallTo("a:1")
	c := s.add(nil, "a:1", nil)
	s.endCall(first)
	if second := s.beginCallTo("a:1"); second != c.target {
		t.Fatal("the address has two targets, want one")
	}
	s.remove(c)
	if s.targets["a:1"] == nil {
		t.Fatal("target with a call in flight was removed")
	}
	s.endCall(c.target)
	if len(s.targets) != 0 || s.len() != 0 {
		t.Fatalf("%d targets and %d connections left, want none", len(s.targets), s.len())
	}
}

// TestMonitorReadsClockOnce guards against a system call for each connection in each
// round of the monitor. Among 281 nodes they were 11,200 a second at each node.
func TestMonitorReadsClockOnce(t *testing.T) {
	if n := ClockReadingsOfRound(281); n != 1 {
		t.Errorf("%d readings of the clock in one round, want 1", n)
	}
}
