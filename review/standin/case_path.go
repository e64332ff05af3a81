package main

import (
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["path"] = playPath }

// playPath: an unsafe route has the prefix /lohu930/, a safe one the longer
// prefix /lohu930/receipts/. Clients send unsafe requests to /lohu930/receipts,
// which only the first prefix begins. With the disruption, one of the two
// upstreams loses the answers of some requests that it has run.
func playPath(b *bench) (bool, error) {
	const requests, perRequest = 300, 10 * time.Millisecond
	const loseShare = 0.06
	d, err := newDeployment(b, "wuno96b", "wuno96b")
	if err != nil {
		return false, err
	}
	var mu sync.Mutex
	runs := map[string]int{}
	lost := 0
	random := rand.New(rand.NewSource(28))
	var upstreams []*upstream
	for i, m := range d.side {
		id := fmt.Sprintf("i-%08x", 0x7f3a91c2+i)
		u, err := newUpstream(b, m, id, false, func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			attempt := r.Header.Get("Jujubeknot-Attempt-Id")
			time.Sleep(5 * time.Millisecond)
			mu.Lock()
			runs[attempt]++
			n := runs[attempt]
			lose := b.trouble && i == 0 && strings.HasPrefix(attempt, "c") && random.Float64() < loseShare
			if lose {
				lost++
			}
			mu.Unlock()
			b.note("upstream %s runs %s %s of %s (run %d, %d bytes), answer lost: %v", id, r.Method, r.URL.RequestURI(), attempt, n, len(body), lose)
			if lose {
				if c, _, err := w.(http.Hijacker).Hijack(); err == nil {
					_ = c.Close()
				}
				return
			}
			_, _ = io.WriteString(w, "ok")
		})
		if err != nil {
			return false, err
		}
		upstreams = append(upstreams, u)
		defer u.exit()
	}
	routes := []route{
		{Name: "r-submit", Host: host, PathPrefix: "/lohu930/", Kind: "unsafe", TimeoutMs: 1500, TargetMs: 400, Priority: 1, Service: "wuno96b", MaxAttempts: 2},
		{Name: "r-receipts", Host: host, PathPrefix: "/lohu930/receipts/", Kind: "safe", TimeoutMs: 1500, TargetMs: 400, Priority: 2, Service: "wuno96b", MaxAttempts: 2},
	}
	if err := d.putConfiguration(1, routes, []service{newService("wuno96b", false)}); err != nil {
		return false, err
	}
	for i, m := range d.side {
		if !waitUntil(20*time.Second, func() bool {
			return send(m, http.MethodGet, "/lohu930/receipts/1", fmt.Sprintf("w%d.%d", i, time.Now().UnixNano()), -1, time.Second, nil, 0).status == http.StatusOK
		}) {
			return false, fmt.Errorf("no request is served through %s", m.name)
		}
	}
	time.Sleep(2 * time.Second)
	var wait sync.WaitGroup
	for i := range requests {
		time.Sleep(perRequest)
		wait.Go(func() {
			id := fmt.Sprintf("c%06d", i)
			const text = "one receipt"
			a := send(d.side[i%2], http.MethodPost, "/lohu930/receipts", id, -1, 1500*time.Millisecond, strings.NewReader(text), int64(len(text)))
			b.note("client: POST /lohu930/receipts %s through %s: %v", id, d.side[i%2].name, a)
		})
	}
	wait.Wait()
	mu.Lock()
	defer mu.Unlock()
	twice := 0
	for id, n := range runs {
		if strings.HasPrefix(id, "c") && n > 1 {
			twice++
			b.note("TWICE: %s ran %d times", id, n)
		}
	}
	b.note("%d unsafe requests, %d answers lost, %d ran more than once", requests, lost, twice)
	return twice > 0, nil
}
