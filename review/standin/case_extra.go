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
// second answer.
type extraUpstream struct {
	*upstream

	mu     sync.Mutex
	random *rand.Rand
	// rejectShare is the part of the requests that it rejects as full. extraShare
	// is the part of the answers of which a second copy follows late.
	rejectShare, extraShare float64
	runs                    map[string]int
	extras, rejects         int
}

// set changes what the upstream does wrong.
func (e *extraUpstream) set(rejectShare, extraShare float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.rejectShare, e.extraShare = rejectShare, extraShare
}

// draw returns whether to reject a request, and whether to send its answer
// again later.
func (e *extraUpstream) draw() (reject, extra bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	reject, extra = e.random.Float64() < e.rejectShare, e.random.Float64() < e.extraShare
	if reject {
		e.rejects++
	}
	if extra {
		e.extras++
	}
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
		text, extra := "", false
		switch expected := r.Header.Get("Jujubeknot-Expected-Instance"); {
		case expected != "" && expected != e.id:
			text = e.answer(attempt, http.StatusMisdirectedRequest, "another instance", "")
		case !e.holds(r.Header.Get("Jujubeknot-Shard-Key")):
			text = e.answer(attempt, http.StatusMisdirectedRequest, "key not held", "")
		default:
			var reject bool
			if reject, extra = e.draw(); reject {
				e.b.note("upstream %s rejects %s (503, not executed), second answer follows: %v", e.id, attempt, extra)
				text = e.answer(attempt, http.StatusServiceUnavailable, "full", "")
				break
			}
			e.mu.Lock()
			e.runs[attempt]++
			n := e.runs[attempt]
			e.mu.Unlock()
			e.b.note("upstream %s runs %s %s of %s (run %d, %d bytes), second answer follows: %v", e.id, r.Method, r.URL.RequestURI(), attempt, n, len(body), extra)
			time.Sleep(10 * time.Millisecond)
			text = e.answer(attempt, http.StatusOK, "", "ok")
		}
		if _, err := io.WriteString(c, text); err != nil {
			return
		}
		if extra {
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

// playExtra: seven upstreams share the keys of a service. In five spells of 5 s
// one of them rejects 45 of 100 requests as full. With the disruption, it also
// sends 3 of 100 answers a second time, at the point where the next answer on
// the connection is expected.
func playExtra(b *bench) (bool, error) {
	const rejectShare, extraShare = 0.45, 0.03
	const spells, spell, rest = 5, 5 * time.Second, time.Second
	const perSecond = 300
	d, err := newDeployment(b, "huvo11a", "huvo11a", "huvo11a", "huvo11a", "huvo11a", "huvo11a", "huvo11a")
	if err != nil {
		return false, err
	}
	var upstreams []*upstream
	var e *extraUpstream
	var mu sync.Mutex
	others := map[string]int{}
	for i, m := range d.side {
		id := fmt.Sprintf("i-%08x", 0x7f3a91c2+i)
		if i == 0 {
			e = &extraUpstream{random: rand.New(rand.NewSource(28)), runs: map[string]int{}}
			e.upstream = &upstream{b: b, m: m, id: id, born: time.Now().UnixMilli(), slots: 6, sharded: true, state: "ready"}
			if err := e.listen(e.serve); err != nil {
				return false, err
			}
			upstreams = append(upstreams, e.upstream)
			defer e.exit()
			continue
		}
		u, err := newUpstream(b, m, id, true, func(w http.ResponseWriter, r *http.Request) {
			attempt := r.Header.Get("Jujubeknot-Attempt-Id")
			_, _ = io.Copy(io.Discard, r.Body)
			mu.Lock()
			others[attempt]++
			mu.Unlock()
			b.note("upstream %s runs %s", id, attempt)
			time.Sleep(10 * time.Millisecond)
			_, _ = io.WriteString(w, "ok")
		})
		if err != nil {
			return false, err
		}
		upstreams = append(upstreams, u)
		defer u.exit()
	}
	routes := []route{{Name: "r-submit", Host: host, PathPrefix: "/lohu930/", Kind: "unsafe", TimeoutMs: 1500, TargetMs: 400, Priority: 1, Service: "huvo11a", MaxAttempts: 3}}
	if err := d.putConfiguration(1, routes, []service{newService("huvo11a", true)}); err != nil {
		return false, err
	}
	if !waitUntil(50*time.Second, func() bool {
		sum, least := 0, allKeys
		for _, u := range upstreams {
			n := u.count()
			sum, least = sum+n, min(least, n)
		}
		return sum == allKeys && least > allKeys/28
	}) {
		return false, fmt.Errorf("the keys are not shared out")
	}
	time.Sleep(3 * time.Second)
	answers := map[string]answer{}
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
				const text = "a submission"
				id, m := fmt.Sprintf("c%06d", n), d.side[n%len(d.side)]
				a := send(m, http.MethodPost, "/lohu930/2f", id, (n*7919)%allKeys, 1500*time.Millisecond, strings.NewReader(text), int64(len(text)))
				b.note("client: POST /lohu930/2f %s, key %d, through %s: %v", id, (n*7919)%allKeys, m.name, a)
				mu.Lock()
				defer mu.Unlock()
				answers[id] = a
			})
		}
	})
	for range spells {
		time.Sleep(rest)
		extra := 0.0
		if b.trouble {
			extra = extraShare
		}
		b.note("upstream %s rejects %v of its requests, and answers %v twice", e.id, rejectShare, extra)
		e.set(rejectShare, extra)
		time.Sleep(spell)
		e.set(0, 0)
		b.note("upstream %s is sound", e.id)
	}
	time.Sleep(rest)
	close(stop)
	load.Wait()
	mu.Lock()
	defer mu.Unlock()
	e.mu.Lock()
	defer e.mu.Unlock()
	twice, refused := 0, 0
	for id, a := range answers {
		n := e.runs[id] + others[id]
		if n > 1 {
			twice++
			b.note("TWICE: %s ran %d times", id, n)
		}
		if n > 0 && a.err == nil && (a.status == 503 || a.status == 429) {
			refused++
			b.note("REFUSED: %s was answered %d and ran", id, a.status)
		}
	}
	b.note("%d unsafe requests, %d rejected by the upstream, %d second answers; %d ran more than once, %d ran and were answered as not run", len(answers), e.rejects, e.extras, twice, refused)
	return twice > 0, nil
}
