package main

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const allKeys = 65536

// upstream is a stand-in of an application upstream beside a node.
type upstream struct {
	b     *bench
	m     *machine
	id    string
	born  int64
	slots int
	// sharded upstreams run only requests whose keys they hold.
	sharded bool
	// run handles a request that was accepted. It returns when the upstream has
	// written its answer.
	run func(w http.ResponseWriter, r *http.Request)

	server *http.Server
	ctx    context.Context
	cancel context.CancelFunc
	done   sync.WaitGroup

	mu    sync.Mutex
	seq   int
	state string
	// silent stops the beats.
	silent bool
	// fence is the fencing token of each key that is held, 0 for none. highest
	// has the highest token seen.
	fence, highest [allKeys]uint64
	until          time.Time
	freed          [][3]any
	// acknowledged is the time of the last response to a heartbeat.
	acknowledged time.Time
	// onHold is called with the lock after each change of what is held.
	onHold func()
}

// newUpstream starts an upstream beside a node.
func newUpstream(b *bench, m *machine, id string, sharded bool, run func(http.ResponseWriter, *http.Request)) (*upstream, error) {
	u := &upstream{b: b, m: m, id: id, born: time.Now().UnixMilli(), slots: 6, sharded: sharded, run: run, state: "ready"}
	return u, u.listen(nil)
}

// listen starts the upstream. serveConn serves its connections, nil means that
// ServeHTTP serves the requests.
func (u *upstream) listen(serveConn func(net.Conn)) error {
	u.ctx, u.cancel = context.WithCancel(context.Background())
	l, err := net.Listen("tcp", u.m.at(portApp))
	if err != nil {
		return err
	}
	u.server = &http.Server{Handler: u, IdleTimeout: 10 * time.Second}
	if serveConn == nil {
		u.done.Go(func() { _ = u.server.Serve(l) })
	} else {
		u.done.Go(func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				go serveConn(c)
			}
		})
		context.AfterFunc(u.ctx, func() { _ = l.Close() })
	}
	u.done.Go(u.beats)
	u.b.note("upstream %s of %s started at %s", u.id, u.m.service, u.m.at(portApp))
	return nil
}

// exit ends the upstream.
func (u *upstream) exit() {
	u.b.note("upstream %s exits", u.id)
	u.cancel()
	_ = u.server.Close()
	u.done.Wait()
	u.mu.Lock()
	defer u.mu.Unlock()
	clear(u.fence[:])
}

// ServeHTTP rejects what the upstream must not run, as the pages say, and runs
// the rest.
func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get("Jujubeknot-Attempt-Id")
	h := w.Header()
	h.Set("Jujubeknot-Attempt-Id", attempt)
	h.Set("Keep-Alive", "timeout=10")
	reject := func(status int, why string) {
		h.Set("Jujubeknot-Not-Executed", why)
		h.Set("Jujubeknot-Instance-Id", u.id)
		h.Set("Content-Length", "0")
		w.WriteHeader(status)
	}
	switch {
	case r.URL.Path == "/healthz":
		h.Set("Jujubeknot-Instance-Id", u.id)
		w.WriteHeader(http.StatusOK)
		return
	case attempt == "":
		reject(http.StatusBadRequest, "no id")
		return
	}
	if expected := r.Header.Get("Jujubeknot-Expected-Instance"); expected != "" && expected != u.id {
		reject(http.StatusMisdirectedRequest, "another instance")
		return
	}
	if u.sharded && !u.holds(r.Header.Get("Jujubeknot-Shard-Key")) {
		reject(http.StatusMisdirectedRequest, "key not held")
		return
	}
	h.Set("Jujubeknot-Response-Signature", "sig."+attempt)
	u.run(w, r)
}

func (u *upstream) holds(text string) bool {
	key, err := strconv.ParseUint(text, 10, 16)
	if err != nil {
		return false
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.expire(time.Now())
	return u.fence[key] > 0
}

// expire drops all keys at the end of the lease. The caller holds the lock.
func (u *upstream) expire(now time.Time) {
	if u.until.IsZero() || now.Before(u.until) {
		return
	}
	clear(u.fence[:])
	u.until = time.Time{}
	if u.onHold != nil {
		u.onHold()
	}
}

// count returns the number of keys that are held.
func (u *upstream) count() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.expire(time.Now())
	n := 0
	for _, f := range u.fence {
		if f > 0 {
			n++
		}
	}
	return n
}

// beats sends heartbeats until the upstream exits.
func (u *upstream) beats() {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: 5 * time.Second}}
	defer client.CloseIdleConnections()
	for u.ctx.Err() == nil {
		pause := heartbeat
		u.mu.Lock()
		silent := u.silent
		u.mu.Unlock()
		if !silent && u.beat(client) {
			pause = 50 * time.Millisecond
		}
		select {
		case <-u.ctx.Done():
		case <-time.After(pause):
		}
	}
}

type beatMessage struct {
	Service         string   `json:"service"`
	Address         string   `json:"address"`
	Zone            string   `json:"zone"`
	Version         string   `json:"version"`
	Slots           int      `json:"slots"`
	State           string   `json:"state"`
	ColdRemainingMs int      `json:"coldRemainingMs"`
	Seq             int      `json:"seq"`
	Born            *int64   `json:"born,omitempty"`
	Holds           [][3]any `json:"holds"`
	Freed           [][3]any `json:"freed"`
}

// message returns the next heartbeat. The caller holds the lock.
func (u *upstream) message() beatMessage {
	u.seq++
	m := beatMessage{
		Service: u.m.service, Address: u.m.at(portApp), Zone: u.m.zone, Version: "v1", Slots: u.slots, State: u.state, Seq: u.seq, Born: &u.born,
		Holds: [][3]any{}, Freed: append([][3]any{}, u.freed...),
	}
	for from := 0; from < allKeys; {
		to := from
		for to+1 < allKeys && u.fence[to+1] == u.fence[from] {
			to++
		}
		if u.fence[from] > 0 {
			m.Holds = append(m.Holds, [3]any{from, to, u.fence[from]})
		}
		from = to + 1
	}
	return m
}

// beat sends one heartbeat and applies the response. It reports whether another
// one has to follow at once, because keys were released.
func (u *upstream) beat(client *http.Client) bool {
	u.mu.Lock()
	u.expire(time.Now())
	message := u.message()
	freed := len(u.freed)
	u.mu.Unlock()
	body, err := json.Marshal(message)
	if err != nil {
		panic(err)
	}
	sent := time.Now()
	response, err := client.Post("http://"+u.m.at(portControl)+"/-/Instances.Heartbeat/"+u.id, "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode/100 != 2 || len(content) > 4096 || time.Since(sent) > time.Second {
		return false
	}
	var answer struct {
		Holds  *[][4]any `json:"holds"`
		HoldMs float64   `json:"holdMs"`
	}
	if err := json.Unmarshal(content, &answer); err != nil {
		return false
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.freed, u.acknowledged = u.freed[freed:], time.Now()
	if answer.Holds == nil {
		return false
	}
	return u.apply(*answer.Holds, sent.Add(time.Duration(answer.HoldMs)*time.Millisecond))
}

// apply makes the rows of a response the keys that are held, and reports whether
// keys were released. The caller holds the lock.
func (u *upstream) apply(rows [][4]any, until time.Time) bool {
	if !time.Now().Before(until) {
		return false
	}
	var next [allKeys]uint64
	for _, row := range rows {
		from, to, fence := int(row[0].(float64)), int(row[1].(float64)), uint64(row[2].(float64))
		accepted := true
		for k := from; k <= to; k++ {
			accepted = accepted && fence >= u.highest[k]
		}
		for k := from; k <= to && accepted; k++ {
			next[k], u.highest[k] = fence, fence
		}
	}
	released := false
	for from := 0; from < allKeys; {
		to := from
		if u.fence[from] == 0 || next[from] > 0 {
			from++
			continue
		}
		for to+1 < allKeys && u.fence[to+1] > 0 && next[to+1] == 0 {
			to++
		}
		u.freed = append(u.freed, [3]any{from, to, token()})
		released = true
		from = to + 1
	}
	u.fence, u.until = next, until
	if u.onHold != nil {
		u.onHold()
	}
	return released
}

func token() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// deregister sends Instances.Deregister until it is acknowledged.
func (u *upstream) deregister() error {
	body, err := json.Marshal(map[string]int64{"born": u.born})
	if err != nil {
		return err
	}
	var last error
	for range 10 {
		response, err := operator.Post("http://"+u.m.at(portControl)+"/-/Instances.Deregister/"+u.id, "application/json", bytes.NewReader(body))
		if err == nil {
			response.Body.Close()
			if response.StatusCode/100 == 2 {
				u.b.note("upstream %s: Deregister acknowledged", u.id)
				return nil
			}
			err = fmt.Errorf("status %d", response.StatusCode)
		}
		last = err
		time.Sleep(100 * time.Millisecond)
	}
	return last
}

// setState sets the state in the next heartbeats.
func (u *upstream) setState(state string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.state = state
}

// lastAcknowledged returns the time of the last response to a heartbeat.
func (u *upstream) lastAcknowledged() time.Time {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.acknowledged
}
