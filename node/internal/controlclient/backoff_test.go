package controlclient_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jujubeknot/jujubeknot/node/internal/controlclient"
)

// TestSpread guards against nodes that lost their leases together and go on to
// register together, or so late that keys wait for them.
func TestSpread(t *testing.T) {
	const first, limit, tries = 100 * time.Millisecond, 2 * time.Second, 2000
	for failures, longest := range []time.Duration{first, 2 * first, 4 * first, 8 * first, 16 * first, limit, limit} {
		var sum time.Duration
		for range tries {
			pause := controlclient.Spread(first, failures, limit)
			if pause <= 0 || pause > longest {
				t.Fatalf("pause of %v after %d failures, want up to %v", pause, failures, longest)
			}
			sum += pause
		}
		if mean := sum / tries; mean < longest*2/5 || mean > longest*3/5 {
			t.Errorf("pauses after %d failures have a mean of %v, want about half of %v", failures, mean, longest)
		}
	}
	if pause := controlclient.Spread(first, 1000, limit); pause <= 0 || pause > limit {
		t.Errorf("pause of %v after 1000 failures, want up to %v", pause, limit)
	}
}

// TestRetriesOfManyNodes guards against a leader that is kept from leading by
// the nodes that look for it: with pauses of 50 ms, 300 nodes make 6,000 tries a
// second. It replays nodes that lose the leader at the same moment, with 4 s left
// of their leases, and each try fails at once.
func TestRetriesOfManyNodes(t *testing.T) {
	const (
		lease = 4 * time.Second
		lost  = 2 * time.Second
	)
	random := rand.New(rand.NewPCG(1, 1))
	for _, c := range []struct {
		nodes, mostPerSecond int
		latest               time.Duration
	}{
		{nodes: 3, mostPerSecond: 3 * 20, latest: 50 * time.Millisecond},
		{nodes: 16, mostPerSecond: 16 * 20, latest: 100 * time.Millisecond},
		{nodes: 80, mostPerSecond: 800, latest: 350 * time.Millisecond},
		{nodes: 300, mostPerSecond: 800, latest: time.Second},
	} {
		tries, latest := 0, time.Duration(0)
		for range c.nodes {
			now := time.Duration(0)
			for {
				limit := controlclient.RetryLimit(c.nodes, lease-now)
				now += controlclient.FirstRetry + time.Duration(random.Int64N(int64(limit-controlclient.FirstRetry)+1))
				if now >= lost {
					latest = max(latest, now-lost)
					break
				}
				tries++
			}
		}
		if perSecond := tries / int(lost/time.Second); perSecond > c.mostPerSecond {
			t.Errorf("%d nodes make %d tries a second, want at most %d", c.nodes, perSecond, c.mostPerSecond)
		}
		if latest > c.latest {
			t.Errorf("the last of %d nodes finds the next leader %v after it leads, want %v", c.nodes, latest, c.latest)
		}
	}
	if limit := controlclient.RetryLimit(300, 100*time.Millisecond); limit != controlclient.FirstRetry {
		t.Errorf("a node whose lease is nearly over waits up to %v", limit)
	}
}

// TestReportsOfNewRulesAreSpread guards against renewals of all nodes within the
// few milliseconds in which they get new rules, and against reports so late that
// an operator who waits for them sees rules not in force.
func TestReportsOfNewRulesAreSpread(t *testing.T) {
	for nodes, want := range map[int]time.Duration{
		0: 4 * time.Millisecond, 16: 64 * time.Millisecond, 100: 400 * time.Millisecond, 250: time.Second, 610: time.Second,
	} {
		if got := controlclient.TogetherLimit(nodes); got != want {
			t.Errorf("%d nodes report within %v, want %v", nodes, got, want)
		}
	}
}
