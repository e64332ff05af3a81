package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"hash/crc32"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// holding is a range of keys that an upstream holds.
type holding struct {
	from, to int
	fence    uint64
	handover string
}

// run is one request at which an upstream began to work.
type run struct {
	id, instance, service, caller, method, uri string
	body                                       []byte
	at                                         time.Time
	signature                                  string
}

// upstream is an application server beside a node, as the pages describe it.
type upstream struct {
	m        *machine
	id       string
	born     int64
	sharded  bool
	slots    int
	work     time.Duration
	record   *record
	listener net.Listener
	// behave, if set, handles a request in place of the usual answer. It returns false for the usual one.
	behave func(u *upstream, w http.ResponseWriter, r *http.Request, one *run) bool

	mu       sync.Mutex
	seq      int
	holds    []holding
	expires  time.Time
	freed    []holding
	runs     []*run
	running  int
	state    string
	stopped  chan struct{}
	fences   map[int]uint64
	server   *http.Server
	coldTill time.Time
}

func startUpstream(rec *record, m *machine, id string, sharded bool, work time.Duration) (*upstream, error) {
	return startCold(rec, m, id, sharded, work, 0, 0)
}

// startCold starts an upstream that is cold for some time and sends its first heartbeat late.
func startCold(rec *record, m *machine, id string, sharded bool, work, cold, late time.Duration) (*upstream, error) {
	l, err := net.Listen("tcp", m.address(portServer))
	if err != nil {
		return nil, err
	}
	u := &upstream{
		m: m, id: id, born: time.Now().UnixMilli(), sharded: sharded, slots: 6, work: work, record: rec, listener: l,
		state: "ready", stopped: make(chan struct{}), fences: map[int]uint64{},
	}
	if cold > 0 {
		u.coldTill = time.Now().Add(cold)
	}
	u.server = &http.Server{Handler: u, IdleTimeout: 10 * time.Second}
	go func() { _ = u.server.Serve(l) }()
	time.AfterFunc(late, u.beats)
	return u, nil
}

// crash ends the upstream at once.
func (u *upstream) crash() {
	u.record.add(u.id, "crashes")
	close(u.stopped)
	_ = u.server.Close()
}

// beats sends the heartbeats.
func (u *upstream) beats() {
	client := http.Client{Timeout: time.Second}
	wait := time.Duration(0)
	for {
		select {
		case <-u.stopped:
			return
		case <-time.After(wait):
		}
		wait = 870 * time.Millisecond
		sent := time.Now()
		body := u.beat(sent)
		r, err := client.Post("http://"+u.m.address(portControl)+"/-/Instances.Heartbeat/"+u.id, "application/json", bytes.NewReader(body))
		if err != nil {
			continue
		}
		answer, err := io.ReadAll(r.Body)
		_ = r.Body.Close()
		if err != nil || r.StatusCode/100 != 2 || time.Since(sent) > time.Second || len(answer) > 4096 {
			continue
		}
		if u.apply(sent, answer) {
			wait = 50 * time.Millisecond
		}
	}
}

func rows(list []holding, row func(holding) []any) [][]any {
	out := [][]any{}
	for _, h := range list {
		out = append(out, row(h))
	}
	return out
}

func (u *upstream) beat(now time.Time) []byte {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.expire(now)
	u.seq++
	cold := max(0, u.coldTill.Sub(now).Milliseconds())
	m := map[string]any{
		"service": u.m.service, "address": u.m.address(portServer), "zone": u.m.zone, "version": "v1", "slots": u.slots, "state": u.state,
		"coldRemainingMs": cold, "seq": u.seq, "born": u.born,
	}
	if u.sharded {
		m["holds"] = rows(u.holds, func(h holding) []any { return []any{h.from, h.to, h.fence} })
		m["freed"] = rows(u.freed, func(h holding) []any { return []any{h.from, h.to, h.handover} })
	}
	b, err := json.Marshal(m)
	if err != nil {
		panic(err)
	}
	return b
}

func (u *upstream) expire(now time.Time) {
	if len(u.holds) > 0 && !now.Before(u.expires) {
		u.record.add(u.id, "its hold of %d rows expires", len(u.holds))
		u.holds = nil
	}
}

// apply applies the answer to a heartbeat. It reports whether another one is to be sent soon.
func (u *upstream) apply(sent time.Time, answer []byte) bool {
	var m struct {
		Holds  [][]any `json:"holds"`
		HoldMs float64 `json:"holdMs"`
	}
	d := json.NewDecoder(bytes.NewReader(answer))
	d.UseNumber()
	u.mu.Lock()
	defer u.mu.Unlock()
	had := len(u.freed) > 0
	u.freed = nil
	if err := d.Decode(&m); err != nil || m.Holds == nil {
		return false
	}
	var next []holding
	for _, row := range m.Holds {
		from, _ := strconv.Atoi(fmt.Sprint(row[0]))
		to, _ := strconv.Atoi(fmt.Sprint(row[1]))
		fence, _ := strconv.ParseUint(fmt.Sprint(row[2]), 10, 64)
		h := holding{from: from, to: to, fence: fence, handover: fmt.Sprint(row[3])}
		accepted := true
		for key := from; key <= to; key++ {
			accepted = accepted && fence >= u.fences[key]
		}
		if !accepted {
			continue
		}
		for key := from; key <= to; key++ {
			u.fences[key] = fence
		}
		next = append(next, h)
	}
	held := func(list []holding, key int) bool {
		for _, h := range list {
			if h.from <= key && key <= h.to {
				return true
			}
		}
		return false
	}
	freed := false
	for _, h := range u.holds {
		from := -1
		for key := h.from; key <= h.to+1; key++ {
			gone := key <= h.to && !held(next, key)
			switch {
			case gone && from < 0:
				from = key
			case !gone && from >= 0:
				u.freed = append(u.freed, holding{from: from, to: key - 1, handover: fmt.Sprintf("%s-%d-%d", u.id, u.seq, from)})
				from, freed = -1, true
			}
		}
	}
	u.holds = next
	u.expires = sent.Add(time.Duration(m.HoldMs) * time.Millisecond)
	return freed || had
}

func (u *upstream) holdsKey(text string, now time.Time) bool {
	key, err := strconv.Atoi(text)
	u.mu.Lock()
	defer u.mu.Unlock()
	u.expire(now)
	if err != nil {
		return false
	}
	for _, h := range u.holds {
		if h.from <= key && key <= h.to {
			return true
		}
	}
	return false
}

func (u *upstream) heldKeys() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	n := 0
	for _, h := range u.holds {
		n += h.to - h.from + 1
	}
	return n
}

// ServeHTTP answers one request of the node.
func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	u.mu.Lock()
	load := fmt.Sprintf("%d,0,%d", u.running, u.slots)
	u.mu.Unlock()
	h.Set("Jujubeknot-Server-Load", load)
	if r.URL.Path == "/healthz" {
		h.Set("Jujubeknot-Instance-Id", u.id)
		if left := time.Until(u.coldTill).Milliseconds(); left > 0 {
			h.Set("Jujubeknot-Cold-Remaining-Ms", strconv.FormatInt(left, 10))
		}
		return
	}
	id := r.Header.Get("Jujubeknot-Attempt-Id")
	h.Set("Jujubeknot-Attempt-Id", id)
	reject := func(status int, why string) {
		u.record.add(u.id, "rejects %s: %d %s", id, status, why)
		h.Set("Jujubeknot-Not-Executed", "1")
		h.Set("Jujubeknot-Instance-Id", u.id)
		w.WriteHeader(status)
	}
	now := time.Now()
	switch expected := r.Header.Get("Jujubeknot-Expected-Instance"); {
	case id == "":
		reject(http.StatusBadRequest, "no id")
		return
	case expected != "" && expected != u.id:
		reject(http.StatusMisdirectedRequest, "expects "+expected)
		return
	case u.sharded && !u.holdsKey(r.Header.Get("Jujubeknot-Shard-Key"), now):
		reject(http.StatusMisdirectedRequest, "key not held")
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		u.record.add(u.id, "body of %s broken off: %v", id, err)
		panic(http.ErrAbortHandler)
	}
	one := &run{
		id: id, instance: u.id, service: u.m.service, caller: r.Header.Get("Jujubeknot-Caller-Service"), method: r.Method, uri: r.RequestURI, body: body, at: now,
		signature: signature(id, body, u.id),
	}
	u.mu.Lock()
	if u.running >= u.slots {
		u.mu.Unlock()
		reject(http.StatusServiceUnavailable, "full")
		return
	}
	u.running++
	u.runs = append(u.runs, one)
	u.mu.Unlock()
	defer func() {
		u.mu.Lock()
		defer u.mu.Unlock()
		u.running--
	}()
	u.record.add(u.id, "runs %s %s %s (%d bytes, key %s, deadline %s ms)", id, r.Method, r.RequestURI, len(body), r.Header.Get("Jujubeknot-Shard-Key"), r.Header.Get("Jujubeknot-Request-Deadline-Ms"))
	if u.behave != nil && u.behave(u, w, r, one) {
		return
	}
	select {
	case <-time.After(u.work):
	case <-u.stopped:
		panic(http.ErrAbortHandler)
	}
	u.answer(w, one)
}

// answer sends the answer to a run.
func (u *upstream) answer(w http.ResponseWriter, one *run) {
	w.Header().Set("Jujubeknot-Response-Signature", one.signature)
	text := answerBody(one.id, u.id)
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = io.WriteString(w, text)
	u.record.add(u.id, "answers %s with signature %s", one.id, one.signature)
}

func answerBody(id, instance string) string {
	return "done " + id + " at " + instance + "\n"
}

func signature(id string, body []byte, instance string) string {
	return fmt.Sprintf("%08x.%08x", crc32.ChecksumIEEE([]byte(strings.Join([]string{id, instance}, "|"))), crc32.ChecksumIEEE(body))
}

func (u *upstream) allRuns() []*run {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]*run(nil), u.runs...)
}
