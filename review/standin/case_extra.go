package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["extra"] = playExtra }

// extraUpstream is an upstream that reads requests itself, so that it can send a
// second answer. It rejects a part of the requests as an upstream that is full
// does.
type extraUpstream struct {
	*upstream
	rejectShare, extraShare float64

	mu      sync.Mutex
	random  *rand.Rand
	runs    map[string]int
	extras  int
	rejects int
}

// draw returns whether to reject a request, and whether to send its answer
// again later.
func (e *extraUpstream) draw() (reject, extra bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	reject, extra = e.random.Float64() < e.rejectShare, e.random.Float64() < e.extraShare
	return reject, extra
}

// serve serves one connection, one request at a time.
func (e *extraUpstream) serve(c net.Conn) {
	defer c.Close()
	br := bufio.NewReader(c)
	late := ""
	for {
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		attempt := r.Header.Get("Jujubeknot-Attempt-Id")
		if late != "" {
			// The second answer arrives at the point where the next answer is expected.
			e.b.note("upstream %s sends the second answer, while %s is next", e.id, attempt)
			if _, err := io.WriteString(c, late); err != nil {
				return
			}
			late = ""
		}
		reject, extra := e.draw()
		text := ""
		switch expected := r.Header.Get("Jujubeknot-Expected-Instance"); {
		case expected != "" && expected != e.id:
			text = e.answer(attempt, http.StatusMisdirectedRequest, "another instance", "")
			extra = false
		case reject:
			e.mu.Lock()
			e.rejects++
			e.mu.Unlock()
			e.b.note("upstream %s rejects %s (503, not executed), second answer follows: %v", e.id, attempt, extra && e.b.trouble)
			text = e.answer(attempt, http.StatusServiceUnavailable, "full", "")
		default:
			e.mu.Lock()
			e.runs[attempt]++
			n := e.runs[attempt]
			e.mu.Unlock()
			e.b.note("upstream %s runs %s %s of %s (run %d, %d bytes), second answer follows: %v", e.id, r.Method, r.URL.RequestURI(), attempt, n, len(body), extra && e.b.trouble)
			time.Sleep(3 * time.Millisecond)
			text = e.answer(attempt, http.StatusOK, "", "ok")
		}
		if _, err := io.WriteString(c, text); err != nil {
			return
		}
		if extra && e.b.trouble {
			e.mu.Lock()
			e.extras++
			e.mu.Unlock()
			late = text
		}
	}
}

func (e *extraUpstream) answer(attempt string, status int, notExecuted, body string) string {
	var s strings.Builder
	s.WriteString("HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\n")
	s.WriteString("Jujubeknot-Attempt-Id: " + attempt + "\r\nKeep-Alive: timeout=10\r\n")
	if notExecuted != "" {
		s.WriteString("Jujubeknot-Not-Executed: " + notExecuted + "\r\nJujubeknot-Instance-Id: " + e.id + "\r\n")
	} else {
		s.WriteString("Jujubeknot-Response-Signature: sig." + attempt + "\r\n")
	}
	s.WriteString("Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body)
	return s.String()
}

// playExtra: a service has one upstream, which rejects 8 of 100 requests.
// With the disruption, 3 in 100 of its answers are sent a second time, at the
// point where the next answer on the connection is expected.
func playExtra(b *bench) (bool, error) {
	const rejectShare, extraShare = 0.08, 0.03
	const requests, pause = 5000, 10 * time.Millisecond
	d, err := newDeployment(b, "huvo11a", "wuno96b")
	if err != nil {
		return false, err
	}
	m := d.side[1]
	e := &extraUpstream{rejectShare: rejectShare, extraShare: extraShare, random: rand.New(rand.NewSource(28)), runs: map[string]int{}}
	e.upstream = &upstream{b: b, m: m, id: "i-7f3a91c2", born: time.Now().UnixMilli(), slots: 6, state: "ready"}
	if err := e.listen(e.serve); err != nil {
		return false, err
	}
	defer e.exit()
	other, err := newUpstream(b, d.side[0], "i-7f3a91c3", false, func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, "ok") })
	if err != nil {
		return false, err
	}
	defer other.exit()
	routes := []route{
		{Name: "r-submit", Host: host, PathPrefix: "/lohu930/", Kind: "unsafe", TimeoutMs: 1500, TargetMs: 400, Priority: 1, Service: "wuno96b", MaxAttempts: 3},
		{Name: "r-lookup", Host: host, PathPrefix: "/pufi791/", Kind: "safe", TimeoutMs: 1000, TargetMs: 400, Priority: 2, Service: "wuno96b", MaxAttempts: 2},
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
	var mu sync.Mutex
	answers := map[string]answer{}
	var wait sync.WaitGroup
	for i := range requests {
		time.Sleep(pause)
		wait.Go(func() {
			id := fmt.Sprintf("c%06d", i)
			const text = "a submission"
			a := send(entry, http.MethodPost, "/lohu930/2f", id, -1, 1500*time.Millisecond, strings.NewReader(text), int64(len(text)))
			b.note("client: POST /lohu930/2f %s: %v", id, a)
			mu.Lock()
			defer mu.Unlock()
			answers[id] = a
		})
	}
	wait.Wait()
	mu.Lock()
	defer mu.Unlock()
	e.mu.Lock()
	defer e.mu.Unlock()
	twice, refused := 0, 0
	for id, a := range answers {
		n := e.runs[id]
		if n > 1 {
			twice++
			b.note("TWICE: %s ran %d times", id, n)
		}
		if n > 0 && a.err == nil && (a.status == 503 || a.status == 429) {
			refused++
			b.note("REFUSED: %s was answered %d and ran", id, a.status)
		}
	}
	b.note("%d unsafe requests, %d rejected by the upstream, %d second answers; %d ran more than once, %d ran and were answered as not run", requests, e.rejects, e.extras, twice, refused)
	return twice+refused > 0, nil
}
