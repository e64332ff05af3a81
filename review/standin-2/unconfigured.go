package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["unconfigured"] = unconfigured }

const (
	// lead is the time from the start of the machines to the start of the traffic.
	lead = 8 * time.Second
	// frozen is the time for which a machine of the core stands still.
	frozen = 4 * time.Second
	// maxDenied is the number of 404 from machines out of touch that the rule allows.
	maxDenied = 10
)

// unconfigured: one machine of the core that does not lead freezes. The operator sends the first
// configuration to it, before the traffic starts, and moves on after a second without a response.
// Meanwhile it takes a zone out, which another machine acknowledges. Clients ask for a route that all
// configurations of the day have.
func unconfigured(l *lab) (int, error) {
	l.services = []service{
		{Name: "huvo11a", HealthPath: "/healthz", MaxConnections: 110, Protocol: "h1", ColdStartS: 3, ColdPerS: 21, Sharded: true, WarmS: 5, Grants: "heartbeat"},
		{Name: "wuno96b", HealthPath: "/healthz", MaxConnections: 110, Protocol: "h1", ColdStartS: 3, ColdPerS: 21},
	}
	l.routes = []route{{"r-read", host, "/lohu930/", "safe", 1200, 200, 2, "huvo11a", 2}}
	begun := time.Now()
	at := func(t time.Duration) { time.Sleep(time.Until(begun.Add(t))) }
	if err := l.startAll(); err != nil {
		return failed, err
	}
	for i, m := range l.nodes() {
		u, err := startUpstream(l.record, m, fmt.Sprintf("i-%08x", 0x7f3a9100+i), m.service == "huvo11a", 50*time.Millisecond)
		if err != nil {
			return failed, err
		}
		l.upstreams = append(l.upstreams, u)
	}
	at(lead - 500*time.Millisecond)
	first, others, err := l.follower()
	if err != nil {
		return failed, err
	}
	if l.trouble {
		first.signal(syscall.SIGSTOP)
		defer time.AfterFunc(frozen, func() { first.signal(syscall.SIGCONT) }).Stop()
	}
	var operators, clients sync.WaitGroup
	var mu sync.Mutex
	counts := map[int]int{}
	var errs []error
	order := func(after time.Duration, path string, body []byte, list ...*machine) {
		operators.Go(func() {
			at(after)
			if err := l.backedOff(path, body, list); err != nil {
				mu.Lock()
				errs = append(errs, err)
				mu.Unlock()
			}
		})
	}
	order(lead-200*time.Millisecond, "/-/Config.Replace", configuration(1, l.routes, l.services), first, others[0], others[1])
	order(lead+100*time.Millisecond, "/-/Evacuations.Start/amman-b", nil, others[0], others[1], first)
	at(lead)
	end := lead + 8*time.Second
	for i := range 20 {
		clients.Go(func() {
			m := l.nodes()[i%len(l.nodes())]
			for time.Since(begun) < end {
				a := &attempt{id: newID(), method: http.MethodGet, path: "/lohu930/2f", host: host, key: fmt.Sprint(3000 * i), deadline: 1200 * time.Millisecond}
				out := a.send(l.record, m)
				mu.Lock()
				counts[out.status]++
				mu.Unlock()
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	clients.Wait()
	operators.Wait()
	l.add("case", "answers by status: %v; errors of the operator: %v", counts, errs)
	switch {
	case len(errs) > 0:
		return failed, errs[0]
	case counts[http.StatusOK] == 0:
		return failed, fmt.Errorf("no request was served: %v", counts)
	case counts[http.StatusNotFound] > maxDenied:
		l.add("case", "DENIED: %d requests for a route of all configurations got a 404", counts[http.StatusNotFound])
		return broken, nil
	}
	return held, nil
}

// backedOff sends an operator's order until it is acknowledged, to one control machine after the
// other, with a pause that doubles from 100 ms to 2 s.
func (l *lab) backedOff(path string, body []byte, list []*machine) error {
	pause := 100 * time.Millisecond
	for i := range 20 {
		_, status, err := l.call(list[i%len(list)], http.MethodPost, path, body)
		l.add("operator", "%s to %s: status %d, %v", path, list[i%len(list)].name, status, err)
		if err == nil && status == http.StatusOK {
			return nil
		}
		time.Sleep(pause)
		pause = min(2*pause, 2*time.Second)
	}
	return fmt.Errorf("%s was not acknowledged", path)
}

// follower returns a machine of the core that refers operators to another one, and the others.
func (l *lab) follower() (*machine, []*machine, error) {
	var first *machine
	var others []*machine
	for _, m := range l.controls() {
		c := http.Client{Timeout: time.Second, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
		r, err := c.Get("http://" + m.address(portControl) + "/-/Config.Get")
		if err != nil {
			return nil, nil, err
		}
		_ = r.Body.Close()
		if first == nil && r.StatusCode == http.StatusTemporaryRedirect {
			first = m
			continue
		}
		others = append(others, m)
	}
	if first == nil {
		return nil, nil, fmt.Errorf("no machine of the core refers to a leader")
	}
	return first, others, nil
}
