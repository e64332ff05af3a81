package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"
)

func init() { cases["firststart"] = firstStart }

const (
	// startSpread is the time within which all machines start.
	startSpread = 300 * time.Millisecond
	// lossAt and lossFor are when, after the first start, a machine loses power and its disk, and for
	// how long it is down.
	lossAt  = 200 * time.Millisecond
	lossFor = 3 * time.Second
	// trafficFor is the length of the traffic.
	trafficFor = 60 * time.Second
)

// firstStart: the system starts for the first time. One of the three machines that the seeds name
// loses power before the last of them has started. It comes back at its address, with an empty
// disk and without bootstrap. From then on nothing is disturbed.
func firstStart(l *lab) (int, error) {
	l.services = []service{
		{Name: "huvo11a", HealthPath: "/healthz", MaxConnections: 110, Protocol: "h1", ColdStartS: 3, ColdPerS: 21, Sharded: true, WarmS: 5, Grants: "heartbeat"},
		{Name: "wuno96b", HealthPath: "/healthz", MaxConnections: 110, Protocol: "h1", ColdStartS: 3, ColdPerS: 21},
	}
	l.routes = []route{{"r-read", host, "/lohu930/", "safe", 1200, 200, 2, "huvo11a", 2}}
	begun := time.Now()
	at := func(t time.Duration) { time.Sleep(time.Until(begun.Add(t))) }
	list := l.controls()
	lost, last := list[0], list[2]
	for _, m := range l.machines {
		if m == last {
			continue
		}
		if err := m.start(); err != nil {
			return failed, err
		}
	}
	if l.trouble {
		at(lossAt)
		lost.losePower()
		l.add("platform", "%s: disk lost", lost.name)
		if err := os.RemoveAll(lost.settings["dataDir"]); err != nil {
			return failed, err
		}
	}
	at(startSpread)
	if err := last.start(); err != nil {
		return failed, err
	}
	if l.trouble {
		at(lossAt + lossFor)
		if err := lost.start(); err != nil {
			return failed, err
		}
	}
	at(lead - time.Second)
	for i, m := range l.nodes() {
		u, err := startUpstream(l.record, m, fmt.Sprintf("i-%08x", 0x7f3a9100+i), m.service == "huvo11a", 50*time.Millisecond)
		if err != nil {
			return failed, err
		}
		l.upstreams = append(l.upstreams, u)
	}
	var work sync.WaitGroup
	var mu sync.Mutex
	counts := map[int]int{}
	accepted := false
	end := lead + trafficFor
	work.Go(func() {
		_, err := l.order(1, "POST", "/-/Config.Replace", configuration(1, l.routes, l.services), end-time.Since(begun))
		l.add("operator", "first configuration: %v", err)
		mu.Lock()
		defer mu.Unlock()
		accepted = err == nil
	})
	at(lead)
	for i := range 10 {
		work.Go(func() {
			m := l.nodes()[i%len(l.nodes())]
			for time.Since(begun) < end {
				a := &attempt{id: newID(), method: http.MethodGet, path: "/lohu930/2f", host: host, key: fmt.Sprint(6000 * i), deadline: 1200 * time.Millisecond}
				out := a.send(l.record, m)
				mu.Lock()
				counts[out.status]++
				mu.Unlock()
				time.Sleep(250 * time.Millisecond)
			}
		})
	}
	work.Wait()
	total := 0
	for _, n := range counts {
		total += n
	}
	l.add("case", "first configuration accepted: %v; answers by status: %v", accepted, counts)
	if counts[http.StatusOK] == 0 {
		l.add("case", "Fault: 0 of %d requests were served", total)
		return broken, nil
	}
	return held, nil
}

// losePower ends the process of the machine, which is not started again by itself.
func (m *machine) losePower() {
	m.mu.Lock()
	m.down = true
	ended := m.ended
	m.mu.Unlock()
	m.signal(syscall.SIGKILL)
	<-ended
}
