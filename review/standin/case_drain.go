package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["drain"] = playDrain }

// playDrain: one of three upstreams never reports that it drains. It sends
// Deregister, which its node acknowledges, and continues to serve and to send
// heartbeats for 12 s. With the disruption, its node is killed right after the
// acknowledgement and started again by the platform.
func playDrain(b *bench) (bool, error) {
	const serves = 12 * time.Second
	d, err := newDeployment(b, "wuno96b", "wuno96b", "wuno96b")
	if err != nil {
		return false, err
	}
	type arrival struct {
		at time.Time
		id string
	}
	var mu sync.Mutex
	var arrivals []arrival
	var upstreams []*upstream
	for i, m := range d.side {
		id := fmt.Sprintf("i-%08x", 0x7f3a91c2+i)
		u, err := newUpstream(b, m, id, false, func(w http.ResponseWriter, r *http.Request) {
			attempt := r.Header.Get("Jujubeknot-Attempt-Id")
			if i == 0 {
				mu.Lock()
				arrivals = append(arrivals, arrival{time.Now(), attempt})
				mu.Unlock()
				b.note("upstream %s runs %s", id, attempt)
			}
			time.Sleep(20 * time.Millisecond)
			_, _ = io.WriteString(w, "ok")
		})
		if err != nil {
			return false, err
		}
		upstreams = append(upstreams, u)
		defer u.exit()
	}
	routes := []route{{Name: "r-lookup", Host: host, PathPrefix: "/lohu930/", Kind: "safe", TimeoutMs: 1000, TargetMs: 300, Priority: 2, Service: "wuno96b", MaxAttempts: 2}}
	if err := d.putConfiguration(1, routes, []service{newService("wuno96b", false)}); err != nil {
		return false, err
	}
	for i, m := range d.side {
		if !waitUntil(20*time.Second, func() bool {
			return send(m, http.MethodGet, "/lohu930/1", fmt.Sprintf("w%d.%d", i, time.Now().UnixNano()), -1, time.Second, nil, 0).status == http.StatusOK
		}) {
			return false, fmt.Errorf("no request is served through %s", m.name)
		}
	}
	stop := make(chan struct{})
	var load sync.WaitGroup
	var failed int
	for c, m := range d.side {
		for k := range 4 {
			load.Go(func() {
				for n := 0; ; n++ {
					select {
					case <-stop:
						return
					case <-time.After(20 * time.Millisecond):
					}
					id := fmt.Sprintf("c%d.%d.%06d", c, k, n)
					if a := send(m, http.MethodGet, "/lohu930/"+id, id, -1, time.Second, nil, 0); a.status != http.StatusOK {
						mu.Lock()
						failed++
						mu.Unlock()
						b.note("client: %s through %s: %v", id, m.name, a)
					}
				}
			})
		}
	}
	time.Sleep(4 * time.Second)
	leaving := d.side[0]
	if err := upstreams[0].deregister(); err != nil {
		return false, err
	}
	acknowledged := time.Now()
	if b.trouble {
		leaving.signal(syscall.SIGKILL)
	}
	time.Sleep(serves)
	up := leaving.upSince()
	upstreams[0].exit()
	exited := time.Now()
	time.Sleep(time.Second)
	close(stop)
	load.Wait()
	mu.Lock()
	defer mu.Unlock()
	// All machines that take requests from clients and send them on are in touch
	// from contactMs after the restart on, and so is the node beside the upstream.
	from := acknowledged.Add(drainMs * time.Millisecond)
	if inTouch := up.Add(contactMs * time.Millisecond); inTouch.After(from) {
		from = inTouch
	}
	late := 0
	for _, a := range arrivals {
		if a.at.After(from) && a.at.Before(exited) {
			late++
		}
	}
	b.note("%d requests reached the upstream later than %d ms after the acknowledgement, with all machines in touch; %d tries of clients failed", late, drainMs, failed)
	return late > 0, nil
}
