package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["upload"] = playUpload }

// slowBody is a body that a client sends at a steady rate.
type slowBody struct {
	left, perSecond int
	last            time.Time
}

// Read returns the next part of the body when it is due.
func (s *slowBody) Read(p []byte) (int, error) {
	if s.left == 0 {
		return 0, io.EOF
	}
	const part = 20 * time.Millisecond
	time.Sleep(part)
	n := min(len(p), s.left, int(float64(s.perSecond)*part.Seconds()))
	s.left -= n
	return n, nil
}

// playUpload: a client sends an upload of 3 MB at 500 kB/s. With the
// disruption, the node beside the upstream that works on it is killed 1 s after
// the upstream began.
func playUpload(b *bench) (bool, error) {
	const size, perSecond = 3_000_000, 500_000
	const deadline = 12 * time.Second
	d, err := newDeployment(b, "huvo11a", "wuno96b", "wuno96b")
	if err != nil {
		return false, err
	}
	var mu sync.Mutex
	began := map[string]string{}
	beginning := make(chan *machine, 16)
	for i, m := range d.side {
		id := fmt.Sprintf("i-%08x", 0x7f3a91c2+i)
		u, err := newUpstream(b, m, id, false, func(w http.ResponseWriter, r *http.Request) {
			attempt := r.Header.Get("Jujubeknot-Attempt-Id")
			if r.Method == http.MethodPost {
				mu.Lock()
				began[attempt] = id
				mu.Unlock()
				b.note("upstream %s begins to work on %s %s of %s", id, r.Method, r.URL.RequestURI(), attempt)
				beginning <- m
			}
			n, err := io.Copy(io.Discard, r.Body)
			b.note("upstream %s has read %d bytes of the body of %s (%v)", id, n, attempt, err)
			if err == nil {
				_, _ = io.WriteString(w, "ok")
			}
		})
		if err != nil {
			return false, err
		}
		defer u.exit()
	}
	routes := []route{
		{Name: "r-lookup", Host: host, PathPrefix: "/pufi791/", Kind: "safe", TimeoutMs: 2000, TargetMs: 400, Priority: 2, Service: "wuno96b", MaxAttempts: 2},
		{Name: "r-upload", Host: host, PathPrefix: "/lohu930/", Kind: "upload", TimeoutMs: int(deadline.Milliseconds()), TargetMs: 8000, Priority: 1, Service: "wuno96b", MaxAttempts: 2},
	}
	if err := d.putConfiguration(1, routes, []service{newService("huvo11a", false), newService("wuno96b", false)}); err != nil {
		return false, err
	}
	entry := d.side[0]
	if !waitUntil(20*time.Second, func() bool {
		return send(entry, http.MethodGet, "/pufi791/1", fmt.Sprintf("w%d", time.Now().UnixNano()), -1, time.Second, nil, 0).status == http.StatusOK
	}) {
		return false, fmt.Errorf("no request is served through %s", entry.name)
	}
	time.Sleep(2 * time.Second)
	const attempt = "9c41d07be2a35f68"
	answered := make(chan answer, 1)
	go func() {
		answered <- send(entry, http.MethodPost, "/lohu930/2f", attempt, -1, deadline, &slowBody{left: size, perSecond: perSecond}, size)
	}()
	if b.trouble {
		select {
		case m := <-beginning:
			time.Sleep(time.Second)
			m.signal(syscall.SIGKILL)
		case <-time.After(deadline):
			return false, fmt.Errorf("the upload did not reach an upstream")
		}
	}
	a := <-answered
	b.note("client: POST /lohu930/2f %s through %s: %v", attempt, entry.name, a)
	mu.Lock()
	defer mu.Unlock()
	promise := a.err == nil && a.signature == "" && (a.status == 429 || a.status == 503 || a.status == 408 || a.status == 421)
	if promise && began[attempt] != "" {
		b.note("REFUSED: %s was answered %d, and upstream %s had begun to work on it", attempt, a.status, began[attempt])
		return true, nil
	}
	return false, nil
}
