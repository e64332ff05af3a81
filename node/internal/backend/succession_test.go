package backend

import (
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
