package main

import (
	"fmt"
	"math/rand"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["status"] = playStatus }

// playStatus: a service has three upstreams. In five spells of 5 s one of them
// fails 45 of 100 requests with a 500 of its own. With the disruption, it also
// spoils 2 of 100 answers: the first digit of the status becomes 0, so that the
// bytes are no response.
func playStatus(b *bench) (bool, error) {
	const failShare, spoilShare = 0.45, 0.02
	const spells, spell, rest, perSecond = 5, 5 * time.Second, time.Second, 150
	d, err := newDeployment(b, "wuno96b", "wuno96b", "wuno96b")
	if err != nil {
		return false, err
	}
	var mu sync.Mutex
	random := rand.New(rand.NewSource(28))
	fail, spoil := 0.0, 0.0
	failed, spoilt := map[string]bool{}, 0
	for i, m := range d.side {
		id := fmt.Sprintf("i-%08x", 0x7f3a91c2+i)
		u, err := newUpstream(b, m, id, false, func(w http.ResponseWriter, r *http.Request) {
			attempt := r.Header.Get("Jujubeknot-Attempt-Id")
			time.Sleep(5 * time.Millisecond)
			mu.Lock()
			fails := i == 0 && random.Float64() < fail
			spoils := i == 0 && random.Float64() < spoil
			if fails {
				failed[attempt] = true
			}
			if spoils {
				spoilt++
			}
			mu.Unlock()
			status, body := "200 OK", "the record of "+attempt
			if fails {
				status, body = "500 Internal Server Error", "the record cannot be read"
			}
			if spoils {
				status = "0" + status[1:]
			}
			b.note("upstream %s runs %s, fails: %v, answers with status line HTTP/1.1 %s", id, attempt, fails, status)
			c, _, err := w.(http.Hijacker).Hijack()
			if err != nil {
				return
			}
			defer c.Close()
			_, _ = fmt.Fprintf(c, "HTTP/1.1 %s\r\nJujubeknot-Attempt-Id: %s\r\nJujubeknot-Response-Signature: sig.%s\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", status, attempt, attempt, len(body), body)
		})
		if err != nil {
			return false, err
		}
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
	time.Sleep(2 * time.Second)
	wrong := 0
	stop := make(chan struct{})
	var load sync.WaitGroup
	load.Go(func() {
		ticker := time.NewTicker(time.Second / perSecond)
		defer ticker.Stop()
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
			load.Go(func() {
				id, m := fmt.Sprintf("c%06d", n), d.side[n%len(d.side)]
				a := send(m, http.MethodGet, "/lohu930/"+id, id, -1, time.Second, nil, 0)
				b.note("client: GET /lohu930/%s through %s: %v, body %q", id, m.name, a, a.body)
				mu.Lock()
				defer mu.Unlock()
				if a.err == nil && a.status/100 == 2 && !strings.HasPrefix(a.body, "the record of "+id) {
					wrong++
					b.note("MIXED: %s was answered %d with the body of a failure; the upstream had failed it: %v", id, a.status, failed[id])
				}
			})
		}
	})
	for range spells {
		time.Sleep(rest)
		mu.Lock()
		if fail = failShare; b.trouble {
			spoil = spoilShare
		}
		mu.Unlock()
		time.Sleep(spell)
		mu.Lock()
		fail, spoil = 0, 0
		mu.Unlock()
	}
	time.Sleep(rest)
	close(stop)
	load.Wait()
	mu.Lock()
	defer mu.Unlock()
	b.note("%d requests failed by the upstream, %d answers spoilt; %d failures reached clients as a success", len(failed), spoilt, wrong)
	return wrong > 0, nil
}
