package backend

import (
	"testing"
	"time"
)

// TestRefusal guards against a backend server that counts as lost because it refuses
// connections, although it runs and may hold keys, and against one that has ended and is
// waited for until its grants end.
func TestRefusal(t *testing.T) {
	const interval = time.Second
	now := time.Unix(1000, 0)
	ago := func(d time.Duration) time.Time { return now.Add(-d) }
	holds := now.Add(time.Second)
	recent := presence{refusedSince: ago(time.Millisecond), answered: ago(300 * time.Millisecond)}
	with := func(change func(*presence)) presence {
		p := recent
		change(&p)
		return p
	}
	for _, c := range []struct {
		name    string
		refusal refusal
		want    bool
	}{
		{"just refused", refusal{presence: recent, holdsUntil: holds}, false},
		{"holds no keys", refusal{presence: recent, open: true, holdsUntil: ago(time.Millisecond)}, true},
		{"a response was due", refusal{presence: with(func(p *presence) { p.brokenOff = ago(time.Millisecond) }), holdsUntil: holds}, true},
		{"a response was due, another connection is open", refusal{presence: with(func(p *presence) { p.brokenOff = ago(time.Millisecond) }), open: true, holdsUntil: holds}, false},
		{"a response was due, then there was contact", refusal{presence: with(func(p *presence) { p.brokenOff = ago(time.Second) }), lastContact: ago(time.Millisecond), holdsUntil: holds}, false},
		{"the next heartbeat is due", refusal{presence: with(func(p *presence) { p.answered = ago(interval) }), holdsUntil: holds}, false},
		{"refused for long, the next heartbeat is due", refusal{presence: presence{refusedSince: ago(interval), answered: ago(interval)}, holdsUntil: holds}, false},
		{"the next heartbeat is late", refusal{presence: presence{refusedSince: ago(interval), answered: ago(interval + heartbeatSlack)}, holdsUntil: holds}, true},
		{"heartbeats were late before", refusal{presence: with(func(p *presence) { p.answered = ago(3 * interval) }), holdsUntil: holds}, false},
		{"no heartbeat to this process", refusal{presence: presence{refusedSince: ago(heartbeatSlack)}, holdsUntil: holds}, true},
	} {
		c.refusal.heartbeatInterval = interval
		if why, got := c.refusal.ended(now); got != c.want {
			t.Errorf("%s: ended %v (%s), want %v", c.name, got, why, c.want)
		}
	}
}
