package main

import (
	"net/http"
	"sync"
	"time"
)

func init() { cases["failback"] = failback }

const (
	// coldFor, coldPerS, coldOver and coldSlack are those of rahma-grants.
	coldFor   = 3 * time.Second
	coldPerS  = 21.0
	coldOver  = 1.5
	coldSlack = 5.0
	// returns is the number of times that the upstream starts again.
	returns = 14
	// firstBeat is the time from the start of the upstream to its first heartbeat.
	firstBeat = 250 * time.Millisecond
)

// failback is no case of the review, see REPORT-2.md: an upstream of a service without keys crashes
// and starts again under its id 5 ms later, cold. Its first heartbeat comes late.
func failback(l *lab) (int, error) {
	if err := l.begin(15 * time.Millisecond); err != nil {
		return failed, err
	}
	l.routes = append(l.routes, route{"r-check", host, "/duna555/", "safe", 1200, 200, 2, "wuno96b", 2})
	l.version++
	if _, err := l.order(0, "POST", "/-/Config.Replace", configuration(l.version, l.routes, l.services), 20*time.Second); err != nil {
		return failed, err
	}
	var clients sync.WaitGroup
	stop := make(chan struct{})
	for i := range 16 {
		clients.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(60 * time.Millisecond):
				}
				a := &attempt{id: newID(), method: http.MethodGet, path: "/duna555/x", host: host, deadline: 1200 * time.Millisecond}
				a.send(l.record, l.nodes()[i%5])
			}
		})
	}
	time.Sleep(3 * time.Second)
	over := 0
	for n := range returns {
		most := coldPerS
		if l.trouble {
			var err error
			if most, err = l.startAgain(3); err != nil {
				return failed, err
			}
		}
		if most > coldPerS*coldOver+coldSlack {
			over++
			l.add("case", "FAILBACK: return %d: %.0f requests in one second at a cold upstream, of %.1f that it bears", n+1, most, coldPerS*coldOver+coldSlack)
		}
		time.Sleep(1500 * time.Millisecond)
	}
	close(stop)
	clients.Wait()
	l.add("case", "%d of %d returns were over the bound", over, returns)
	if over > 0 {
		return broken, nil
	}
	return held, nil
}

// startAgain lets an upstream crash and start again, and returns the most requests that it gets in
// one second while it is cold.
func (l *lab) startAgain(i int) (float64, error) {
	old := l.upstreams[i]
	old.crash()
	time.Sleep(5 * time.Millisecond)
	begun := time.Now()
	u, err := startCold(l.record, old.m, old.id, old.sharded, old.work, coldFor, firstBeat)
	if err != nil {
		return 0, err
	}
	l.upstreams[i] = u
	time.Sleep(coldFor)
	runs, most := u.allRuns(), 0
	for first := range runs {
		n := first
		for n < len(runs) && runs[n].at.Sub(runs[first].at) < time.Second && runs[n].at.Sub(begun) < coldFor {
			n++
		}
		most = max(most, n-first)
	}
	return float64(most), nil
}
