package peer

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// watched drives a pulse with looks at the watcher's interval.
type detectorDriver struct {
	detector halfOpenDetector
	now      time.Time
	sample   sample
	observe  func(*halfOpenDetector, time.Time, sample) action
	pinged   bool
	// idle is whether the last look found the connection idle.
	idle bool
}

func newDetectorDriver(look func(*halfOpenDetector, time.Time, sample) action) *detectorDriver {
	return &detectorDriver{now: time.Unix(1000, 0), observe: look}
}

// run looks for a time or until the connection is closed, counts the pings and
// calls between, if given, before each look.
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

// answered reads and writes once for each ping.
func (w *detectorDriver) answerPing(pinged bool) {
	if pinged {
		w.sample.reads++
		w.sample.writes++
	}
}

// Guards against pings that cost more than the requests of a large deployment:
// a connection that carried a call gets few, and then none so that it can be
// closed as idle.
func TestQuietConnectionGetsFewPings(t *testing.T) {
	w := newDetectorDriver((*halfOpenDetector).observeDialed)
	w.sample.started++
	pings, closed := w.run(5*time.Minute, w.answerPing)
	if pings != maxIdlePings || closed != 0 {
		t.Fatalf("%d pings, closed after %v", pings, closed)
	}
	w.sample.started++
	if pings, _ = w.run(5*time.Minute, w.answerPing); pings != maxIdlePings {
		t.Fatalf("%d pings after another call", pings)
	}
}

// Guards against connections to nodes that nobody calls any more and that stay
// open for ever, and against one that is closed while it has calls.
func TestIdleConnectionIsGivenUp(t *testing.T) {
	w := newDetectorDriver((*halfOpenDetector).observeDialed)
	w.sample.started, w.sample.calls = 1, 1
	w.run(2*idleTimeout, func(pinged bool) {
		w.answerPing(pinged)
		if w.idle {
			t.Fatal("idle with a call under way")
		}
	})
	w.sample.calls = 0
	w.run(idleTimeout-sampleInterval, w.answerPing)
	if w.idle {
		t.Fatalf("idle before %v", idleTimeout)
	}
	if w.run(2*sampleInterval, w.answerPing); !w.idle {
		t.Fatalf("not idle after %v", idleTimeout)
	}
}

// Guards against a half-open connection that keeps calls waiting, whatever
// happened on it before, and against one that is found only by the next call.
func TestSilentConnectionIsClosed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newDetectorDriver((*halfOpenDetector).observeDialed)
		for range rapid.IntRange(0, 5).Draw(t, "phases") {
			w.sample.calls = rapid.IntRange(0, 2).Draw(t, "calls")
			w.sample.started += uint64(w.sample.calls)
			length := time.Duration(rapid.IntRange(1, 400).Draw(t, "looks")) * sampleInterval
			if _, closed := w.run(length, w.answerPing); closed != 0 {
				t.Fatalf("closed after %v although each ping was answered", closed)
			}
		}
		w.sample.calls, w.sample.started = 1, w.sample.started+1
		_, closed := w.run(time.Minute, nil)
		if bound := PingAfter + PingTimeout + 2*sampleInterval; closed == 0 || closed > bound {
			t.Fatalf("closed after %v, bound %v", closed, bound)
		}
	})
}

// Guards against a new call on a connection that was quiet for long and that
// is taken for silent at once.
func TestCallOnQuietConnectionIsGivenTime(t *testing.T) {
	w := newDetectorDriver((*halfOpenDetector).observeDialed)
	w.run(5*time.Minute, w.answerPing)
	w.sample.calls, w.sample.started, w.sample.writes = 1, w.sample.started+1, w.sample.writes+1
	if pings, closed := w.run(PingAfter-sampleInterval, nil); pings != 0 || closed != 0 {
		t.Fatalf("%d pings, closed after %v", pings, closed)
	}
}

// Guards against a process that was paused and closes connections whose bytes
// it has not read yet.
func TestPauseIsNoSilence(t *testing.T) {
	for name, look := range map[string]func(*halfOpenDetector, time.Time, sample) action{"client": (*halfOpenDetector).observeDialed, "server": (*halfOpenDetector).observeAccepted} {
		w := newDetectorDriver(look)
		w.sample.calls = 1
		// The pause begins when a ping is under way.
		w.run(PingAfter+2*sampleInterval, nil)
		w.now = w.now.Add(time.Minute)
		if _, closed := w.run(PingTimeout-sampleInterval, nil); closed != 0 {
			t.Errorf("%s: closed %v after the pause", name, closed)
		}
	}
}

// Guards against a server that closes the connection of a slow download, on
// which its client reads and writes nothing but pings, and against one that
// keeps the connection of a client that is gone.
func TestServerReliesOnPings(t *testing.T) {
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
			t.Fatalf("server closed after %d pings", pings)
		}
	})
	if closed != 0 || pings == 0 {
		t.Fatalf("%d pings, closed after %v", pings, closed)
	}
	if _, closed := server.run(time.Minute, nil); closed == 0 || closed > unresponsiveAfter+sampleInterval {
		t.Fatalf("server closed after %v", closed)
	}
}

// Guards against calls and connections that are counted for a target which is
// forgotten meanwhile, and against targets that are never forgotten.
func TestTargetsAreForgotten(t *testing.T) {
	var s connectionSet
	first := s.beginCallTo("a:1")
	c := s.add(nil, "a:1", nil)
	s.endCall(first)
	if second := s.beginCallTo("a:1"); second != c.target {
		t.Fatal("a second target for the same address")
	}
	s.remove(c)
	if s.targets["a:1"] == nil {
		t.Fatal("target with a call under way is forgotten")
	}
	s.endCall(c.target)
	if len(s.targets) != 0 || s.len() != 0 {
		t.Fatalf("%d targets and %d connections left", len(s.targets), s.len())
	}
}
