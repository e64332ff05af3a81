package backend

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/jujubeknot/jujubeknot/node/dialect"
)

// TestSuccession guards against a backend server that is replaced, and loses its
// lease, because of one message without other evidence.
func TestSuccession(t *testing.T) {
	now := time.Unix(1000, 0)
	before, after := now.Add(-time.Second), now.Add(time.Second)
	for _, c := range []struct {
		name       string
		succession succession
		want       bool
	}{
		{"one heartbeat, none announced", succession{claim: claim{heartbeats: 1}}, false},
		{"two heartbeats, none announced", succession{claim: claim{heartbeats: 2}}, true},
		{"the first heartbeat of a starting process", succession{claim: claim{heartbeats: 1}, starting: true}, true},
		{"confirmed at once", succession{evidence: evidenceConfirms, claim: claim{heartbeats: 1}, announced: true, holdsUntil: after}, true},
		{"refuted for good", succession{evidence: evidenceRefutes, claim: claim{heartbeats: 9}}, false},
		{"while keys are held", succession{claim: claim{heartbeats: 9, since: before}, announced: true, holdsUntil: after}, false},
		{"while the announced one reports", succession{claim: claim{heartbeats: 9, since: before}, announced: true, holdsUntil: before, lastHeartbeat: now}, false},
		{"the announced process has ended", succession{evidence: evidenceEnded, claim: claim{heartbeats: 2, since: before}, announced: true, holdsUntil: after, lastHeartbeat: before.Add(-time.Second), earlierStart: true, interval: time.Second}, true},
		{"a first heartbeat after the announced process has ended", succession{evidence: evidenceEnded, claim: claim{heartbeats: 1, since: now}, announced: true, holdsUntil: after, lastHeartbeat: before.Add(-time.Second), earlierStart: true, interval: time.Second}, false},
		{"heartbeats that arrive together after the announced process has ended", succession{evidence: evidenceEnded, claim: claim{heartbeats: 9, since: now}, announced: true, holdsUntil: after, lastHeartbeat: before.Add(-time.Second), earlierStart: true, interval: time.Second}, false},
		{"all connections have ended, but the announced one reports", succession{evidence: evidenceEnded, claim: claim{heartbeats: 9, since: before}, announced: true, holdsUntil: after, lastHeartbeat: before, earlierStart: true, interval: time.Second}, false},
		{"heartbeats of an earlier start that arrive together", succession{claim: claim{heartbeats: 9, since: now}, earlierStart: true, interval: time.Second}, false},
		{"heartbeats of an earlier start, one after the other", succession{claim: claim{heartbeats: 2, since: before}, earlierStart: true, interval: time.Second}, true},
		{"the announced one is silent without keys", succession{claim: claim{heartbeats: 2, since: before}, announced: true, holdsUntil: before, lastHeartbeat: before}, true},
	} {
		if got := c.succession.accepts(now); got != c.want {
			t.Errorf("%s: accepted %v, want %v", c.name, got, c.want)
		}
	}
	var held claim
	for _, b := range []struct {
		name     string
		sequence uint64
		want     int
	}{{"i-1", 4, 1}, {"i-1", 4, 1}, {"i-1", 3, 1}, {"i-1", 5, 2}, {"i-2", 6, 1}, {"i-1", 7, 1}} {
		if held = held.with(now, dialect.Heartbeat{Name: b.name, Sequence: b.sequence}); held.heartbeats != b.want {
			t.Errorf("%s %d: %d heartbeats, want %d", b.name, b.sequence, held.heartbeats, b.want)
		}
	}
}

// fixedClock is a clock that advances only when the test changes now.
type fixedClock struct{ now time.Time }

func (c *fixedClock) Now() time.Time { return c.now }

// named is a backend server protocol whose health path states a name.
type named struct{ dialect.Backend }

func (named) ServerName(h http.Header) string { return h.Get("Name") }

// TestLateHeartbeatsAfterLoss guards against late heartbeats of an earlier life that
// bring it back after the life that followed was lost. The heartbeats of the next life
// were then ignored, because it has the name of an announced one and another start.
func TestLateHeartbeatsAfterLoss(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Name", "i-1") }))
	defer server.Close()
	for _, healthPath := range []string{"", "/health"} {
		c := &fixedClock{time.Unix(2000, 0)}
		s := New(Config{
			Clock: c, Dialect: &dialect.Dialect{Backend: named{}, LostAfter: time.Second}, HeartbeatInterval: time.Second,
			HoldsUntil: func() time.Time { return time.Time{} },
		})
		send := func(started time.Time, sequence uint64) bool {
			t.Helper()
			current, err := s.Heartbeat(t.Context(), dialect.Heartbeat{
				Name: "i-1", Upstream: "desk", Address: server.Listener.Addr().String(), Started: started, Sequence: sequence, Slots: 4,
			}, healthPath)
			if err != nil {
				t.Fatal(err)
			}
			return current
		}
		started := c.now
		send(started, 1)
		if c.now = c.now.Add(time.Second); !send(started, 2) {
			t.Fatal("the announced server's heartbeat was not accepted")
		}
		s.loseReplaced("i-1")
		for i := range uint64(3) {
			if send(started.Add(-time.Hour), 70+i) {
				t.Errorf("health path %q: late heartbeat %d of the earlier life was accepted", healthPath, i+1)
			}
		}
		c.now = c.now.Add(time.Second)
		if current := send(started.Add(time.Minute), 1); current != (healthPath != "") {
			t.Errorf("health path %q: first heartbeat of the next life accepted %v", healthPath, current)
		}
		if c.now = c.now.Add(time.Second); !send(started.Add(time.Minute), 2) {
			t.Errorf("health path %q: second heartbeat of the next life was not accepted", healthPath)
		}
	}
}

// TestColdStartEndsWithItsLife guards against a backend server that gets its cold rate
// because an earlier life reported a cold start.
func TestColdStartEndsWithItsLife(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Name", "i-2") }))
	defer server.Close()
	c := &fixedClock{time.Unix(2000, 0)}
	s := New(Config{
		Clock: c, Dialect: &dialect.Dialect{Backend: named{}, LostAfter: time.Second}, HeartbeatInterval: time.Second,
		HoldsUntil: func() time.Time { return time.Time{} },
	})
	for i, life := range []struct {
		name      string
		remaining time.Duration
		cold      bool
	}{{"i-1", time.Hour, true}, {"i-1", 0, true}, {"i-2", 0, false}, {"i-2", time.Minute, true}} {
		current, err := s.Heartbeat(t.Context(), dialect.Heartbeat{
			Name: life.name, Upstream: "desk", Address: server.Listener.Addr().String(), Started: c.now, Sequence: uint64(i + 1), Slots: 4, ColdRemaining: life.remaining,
		}, map[bool]string{true: "/health"}[life.name == "i-2"])
		if !current || err != nil {
			t.Fatalf("heartbeat %d of %s: current %v, %v", i+1, life.name, current, err)
		}
		if s.Cold() != life.cold {
			t.Errorf("heartbeat %d of %s with %v left: cold %v, want %v", i+1, life.name, life.remaining, s.Cold(), life.cold)
		}
	}
}
