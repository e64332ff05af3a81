package choice_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/jujubeknot/jujubeknot/core/choice"
)

// oneSlowServer returns a simulation in which one of eight servers is slowed
// tenfold for 20 seconds.
func oneSlowServer(nodes int) simulation {
	return simulation{
		seed: 11, servers: 8, slots: 18, nodes: nodes, load: 0.5, service: 10 * time.Millisecond,
		slowdown: 10, slowFrom: 20 * time.Second, slowTo: 40 * time.Second, duration: 50 * time.Second,
	}
}

// policiesFor returns a policy for each node, with different seeds.
func policiesFor(nodes int, one func(seed uint64) choice.Policy) []choice.Policy {
	policies := make([]choice.Policy, nodes)
	for i := range policies {
		policies[i] = one(uint64(i + 1))
	}
	return policies
}

func twoChoices(seed uint64) choice.Policy {
	return choice.NewTwoChoices(choice.TwoChoicesConfig{Seed: seed})
}

// TestOneSlowServer guards against requests that are still sent to a server
// that has become ten times slower, and against a server that gets no requests
// after it has recovered. At low load only probes can detect the recovery.
func TestOneSlowServer(t *testing.T) {
	for _, c := range []struct {
		nodes int
		load  float64
	}{{1, 0.5}, {8, 0.5}, {1, 0.05}} {
		s := oneSlowServer(c.nodes)
		s.load = c.load
		samples := s.run(policiesFor(c.nodes, twoChoices))
		healthy := quantile(samples, 0.99, 5*time.Second, s.slowFrom)
		slow := quantile(samples, 0.99, s.slowFrom, s.slowTo)
		avoided := share(samples, s.slowFrom+time.Second, s.slowTo)
		returned := share(samples, s.slowTo+3*time.Second, s.duration)
		t.Logf("%d nodes, load %.2f: 99th percentile %v healthy, %v slow; share of the slow server %.2f%%, after it %.1f%%",
			c.nodes, c.load, healthy, slow, 100*avoided, 100*returned)
		if slow > 2*healthy {
			t.Errorf("%d nodes, load %.2f: 99th percentile %v with one slow server, want at most twice the %v without", c.nodes, c.load, slow, healthy)
		}
		if avoided > 0.01 {
			t.Errorf("%d nodes, load %.2f: the slow server gets %.2f%% of requests after a second, want at most 1%%", c.nodes, c.load, 100*avoided)
		}
		if returned < 0.05 {
			t.Errorf("%d nodes, load %.2f: the server gets %.2f%% of requests after its recovery, want at least 5%%", c.nodes, c.load, 100*returned)
		}
	}
}

// TestFrozenServer guards against requests that accumulate at a server that
// accepts them and does not answer, and against a server that is avoided after
// it resumes.
func TestFrozenServer(t *testing.T) {
	p := choice.NewTwoChoices(choice.TwoChoicesConfig{Seed: 3})
	candidates := []choice.Candidate{{Incarnation: 1}, {Incarnation: 2}, {Incarnation: 3}}
	start := time.Unix(0, 0)
	var stuck []time.Time
	after := 0
	for i := range 6000 {
		now := start.Add(time.Duration(i) * time.Millisecond)
		if i == 4000 {
			for _, sent := range stuck {
				p.Done(now, 1, now.Sub(sent), choice.ResultOK)
			}
		}
		c, _, _ := p.Pick(now, candidates, 0)
		p.Sent(now, c.Incarnation)
		if c.Incarnation == 1 && i >= 1000 && i < 4000 {
			stuck = append(stuck, now)
			continue
		}
		if c.Incarnation == 1 && i >= 5000 {
			after++
		}
		p.Done(now.Add(time.Millisecond), c.Incarnation, time.Millisecond, choice.ResultOK)
	}
	if len(stuck) > 10 {
		t.Errorf("%d of 3000 requests sent to a frozen server, want at most 10", len(stuck))
	}
	if after < 200 {
		t.Errorf("%d of 1000 requests sent to a server a second after it resumed, want at least 200", after)
	}
}

// drawCandidates returns candidates and the number of those that are not cold.
func drawCandidates(t *rapid.T) (candidates []choice.Candidate, warm int) {
	candidates = make([]choice.Candidate, rapid.IntRange(0, 5).Draw(t, "candidates"))
	for i := range candidates {
		candidates[i] = choice.Candidate{
			Incarnation:      uint64(i + 1),
			AvailabilityZone: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone"),
			Cold:             rapid.IntRange(0, 3).Draw(t, "cold") == 0,
		}
		if !candidates[i].Cold {
			warm++
		}
	}
	return candidates, warm
}

// TestPickProperties guards against a choice that is not a candidate, against
// more requests in flight at a cold server than allowed while warm servers are
// available, and against runs that differ although seed and calls are the same.
func TestPickProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		config := choice.TwoChoicesConfig{Seed: seed, AvailabilityZone: "a"}
		a, b := choice.NewTwoChoices(config), choice.NewTwoChoices(config)
		now := time.Unix(0, 0)
		inFlight := map[uint64]int{}
		var sent []uint64
		t.Repeat(map[string]func(*rapid.T){
			"pick": func(t *rapid.T) {
				candidates, warm := drawCandidates(t)
				n := len(candidates)
				c, reason, ok := a.Pick(now, candidates, 0)
				c2, reason2, ok2 := b.Pick(now, candidates, 0)
				if c != c2 || reason != reason2 || ok != ok2 {
					t.Fatalf("picked %v %v and %v %v with the same seed", c, reason, c2, reason2)
				}
				if ok != (n > 0) {
					t.Fatalf("Pick reports %v with %d candidates", ok, n)
				}
				if !ok {
					return
				}
				if c != candidates[c.Incarnation-1] || reason == "" {
					t.Fatalf("%+v chosen with reason %q from %+v", c, reason, candidates)
				}
				if c.Cold && warm > 0 && inFlight[c.Incarnation] >= choice.DefaultColdInFlight {
					t.Fatalf("cold node with %d requests in flight chosen although there are %d warm nodes", inFlight[c.Incarnation], warm)
				}
				a.Sent(now, c.Incarnation)
				b.Sent(now, c.Incarnation)
				inFlight[c.Incarnation]++
				sent = append(sent, c.Incarnation)
			},
			"done": func(t *rapid.T) {
				if len(sent) == 0 {
					t.Skip("nothing sent")
				}
				i := rapid.IntRange(0, len(sent)-1).Draw(t, "sent")
				incarnation := sent[i]
				sent = append(sent[:i], sent[i+1:]...)
				inFlight[incarnation]--
				latency := time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond
				result := choice.Result(rapid.IntRange(0, 5).Draw(t, "result"))
				a.Done(now, incarnation, latency, result)
				b.Done(now, incarnation, latency, result)
			},
			"advance": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
			},
		})
	})
}

// TestShedBacksOff guards against a server that sheds requests fast and
// attracts more by its low latency.
func TestShedBacksOff(t *testing.T) {
	p := choice.NewTwoChoices(choice.TwoChoicesConfig{Seed: 3})
	candidates := []choice.Candidate{{Incarnation: 1}, {Incarnation: 2}, {Incarnation: 3}}
	now := time.Unix(0, 0)
	shed := 0
	for range 10_000 {
		now = now.Add(time.Millisecond)
		c, _, _ := p.Pick(now, candidates, 0)
		p.Sent(now, c.Incarnation)
		if c.Incarnation == 1 {
			shed++
			p.Done(now, c.Incarnation, 10*time.Microsecond, choice.ResultShed)
			continue
		}
		p.Done(now, c.Incarnation, 10*time.Millisecond, choice.ResultOK)
	}
	// One request per backoff of 100 ms makes 100 in 10 s.
	if shed > 110 {
		t.Errorf("%d of 10000 requests sent to a server that sheds all of them, want at most 110", shed)
	}
}

// TestOwnZone guards against a preference for the own availability zone that
// has no effect, and against one that overloads the servers of the zone.
func TestOwnZone(t *testing.T) {
	p := choice.NewTwoChoices(choice.TwoChoicesConfig{Seed: 3, AvailabilityZone: "a"})
	var candidates []choice.Candidate
	for i := range uint64(8) {
		candidates = append(candidates, choice.Candidate{Incarnation: i + 1, AvailabilityZone: string(rune('a' + i/2))})
	}
	now := time.Unix(0, 0)
	own := 0
	for range 1000 {
		c, _, _ := p.Pick(now, candidates, 0)
		if c.AvailabilityZone == "a" {
			own++
		}
	}
	// Two of the eight candidates are in the zone. 13 of 28 pairs contain at least
	// one of them.
	if own < 400 || own > 530 {
		t.Errorf("%d of 1000 requests stay in the zone, want about 464", own)
	}
	own = 0
	for range 1000 {
		c, _, _ := p.Pick(now, candidates, 0)
		p.Sent(now, c.Incarnation)
		if c.AvailabilityZone == "a" {
			own++
		}
	}
	if own > 320 {
		t.Errorf("%d of 1000 requests in flight are in the zone, want about a quarter", own)
	}
}

// BenchmarkSlowServer compares the policies while one of eight servers is
// slowed tenfold. It reports percentiles of the latency in milliseconds, and
// the share of requests to the slow server.
func BenchmarkSlowServer(b *testing.B) {
	policies := []struct {
		name string
		make func(seed uint64) choice.Policy
	}{
		{"twoChoices", twoChoices},
		{"leastInFlight", func(seed uint64) choice.Policy { return choice.NewLeastInFlight(seed) }},
		{"roundRobin", func(uint64) choice.Policy { return &choice.RoundRobin{} }},
		{"random", func(seed uint64) choice.Policy { return choice.NewRandom(seed) }},
	}
	for _, nodes := range []int{1, 8} {
		for _, p := range policies {
			b.Run(fmt.Sprintf("nodes=%d/%s", nodes, p.name), func(b *testing.B) {
				for range b.N {
					s := oneSlowServer(nodes)
					samples := s.run(policiesFor(nodes, p.make))
					b.ReportMetric(quantile(samples, 0.99, 5*time.Second, s.slowFrom).Seconds()*1e3, "healthy_p99ms")
					b.ReportMetric(quantile(samples, 0.99, s.slowFrom, s.slowTo).Seconds()*1e3, "slow_p99ms")
					b.ReportMetric(quantile(samples, 0.999, s.slowFrom, s.slowTo).Seconds()*1e3, "slow_p999ms")
					b.ReportMetric(100*share(samples, s.slowFrom, s.slowTo), "slowshare%")
				}
			})
		}
	}
}

// BenchmarkPick measures a call of Pick together with Sent and Done.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{3, 8, 30, 300} {
		b.Run(fmt.Sprintf("candidates=%d", n), func(b *testing.B) {
			candidates := make([]choice.Candidate, n)
			for i := range candidates {
				candidates[i] = choice.Candidate{Incarnation: uint64(i + 1)}
			}
			p := choice.NewTwoChoices(choice.TwoChoicesConfig{Seed: 1})
			now := time.Unix(0, 0)
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Microsecond)
				c, _, _ := p.Pick(now, candidates, 0)
				p.Sent(now, c.Incarnation)
				p.Done(now, c.Incarnation, time.Millisecond, choice.ResultOK)
			}
		})
	}
}

// TestRefusingServersTakeTurns guards against one server that gets nearly all
// requests while every server refuses them. Refusals leave no request in
// flight, so a server that was slightly faster before would always have the
// lowest cost.
func TestRefusingServersTakeTurns(t *testing.T) {
	p := choice.NewTwoChoices(choice.TwoChoicesConfig{Seed: 1})
	var candidates []choice.Candidate
	now := time.Unix(0, 0)
	for i := range 7 {
		incarnation := uint64(i + 1)
		candidates = append(candidates, choice.Candidate{Incarnation: incarnation})
		for range 20 {
			p.Sent(now, incarnation)
			p.Done(now, incarnation, time.Duration(10+i)*time.Millisecond, choice.ResultOK)
		}
	}
	counts := map[uint64]int{}
	const requests = 1400
	for range requests {
		now = now.Add(time.Millisecond)
		c, _, ok := p.Pick(now, candidates, 0)
		if !ok {
			t.Fatal("no candidate was picked")
		}
		counts[c.Incarnation]++
		p.Sent(now, c.Incarnation)
		p.Done(now, c.Incarnation, time.Millisecond, choice.ResultShed)
	}
	for incarnation, n := range counts {
		if n > requests*2/7 {
			t.Errorf("server %d got %d of %d requests, want at most two sevenths", incarnation, n, requests)
		}
	}
}
