// Command standin plays the cases of the second review: it starts the project's programs
// as the platform does, on loopback addresses, with upstreams, clients and an operator of
// its own.
package main

import (
	"fmt"
	"os"
	"time"
)

// Exit codes.
const (
	held   = 0
	broken = 1
	failed = 2
)

// lab is the small deployment that a case is played on.
type lab struct {
	*platform
	*record
	trouble   bool
	upstreams []*upstream
	version   int
	routes    []route
	services  []service
}

const host = "ficu95.example"

// cases are by name.
var cases = map[string]func(*lab) (int, error){}

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE ROOT RECORD")
		return failed
	}
	rec, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	c := cases[os.Args[1]]
	if c == nil {
		fmt.Fprintln(os.Stderr, "no such case")
		return failed
	}
	l := &lab{record: rec, trouble: os.Getenv("TROUBLE") != "0"}
	services := []string{"huvo11a", "huvo11a", "huvo11a", "wuno96b", "wuno96b"}
	controls, losses := 3, 1
	if os.Args[1] == "firststart" {
		// As many as in rahma-grants.
		controls = 5
	}
	if os.Args[1] == "contacts" {
		// As many as in rahma-grants-grown.
		controls, losses = 11, 2
	}
	if l.platform, err = newPlatform(rec, os.Args[2], controls, losses, services); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer l.stopAll()
	defer time.AfterFunc(115*time.Second, func() {
		l.stopAll()
		os.Exit(failed)
	}).Stop()
	code, err := c(l)
	if err != nil {
		rec.add("case", "%v", err)
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	rec.add("case", "ends with %d", code)
	return code
}

// begin starts all processes and upstreams, puts the first configuration in force and waits
// until every node is ready and all keys are held.
func (l *lab) begin(work time.Duration) error {
	if err := l.startAll(); err != nil {
		return err
	}
	for i, m := range l.nodes() {
		u, err := startUpstream(l.record, m, fmt.Sprintf("i-%08x", 0x7f3a9100+i), m.service == "huvo11a", work)
		if err != nil {
			return err
		}
		l.upstreams = append(l.upstreams, u)
	}
	l.services = []service{
		{Name: "huvo11a", HealthPath: "/healthz", MaxConnections: 110, Protocol: "h1", ColdStartS: 3, ColdPerS: 21, Sharded: true, WarmS: 5, Grants: "heartbeat"},
		{Name: "wuno96b", HealthPath: "/healthz", MaxConnections: 110, Protocol: "h1", ColdStartS: 3, ColdPerS: 21},
	}
	l.routes = []route{
		{"r-read", host, "/lohu930/", "safe", 1200, 200, 2, "huvo11a", 2},
		{"r-submit", host, "/pufi791/", "unsafe", 1500, 250, 1, "huvo11a", 2},
		{"r-upload", host, "/pule252/", "upload", 2000, 300, 1, "wuno96b", 2},
	}
	l.version = 1
	if _, err := l.order(0, "POST", "/-/Config.Replace", configuration(l.version, l.routes, l.services), 20*time.Second); err != nil {
		return err
	}
	return l.await(30 * time.Second)
}

// await waits until every node is ready and all keys are held.
func (l *lab) await(limit time.Duration) error {
	for begun := time.Now(); ; time.Sleep(100 * time.Millisecond) {
		ready, keys := true, 0
		for _, m := range l.nodes() {
			ready = ready && m.ready()
		}
		for _, u := range l.upstreams {
			keys += u.heldKeys()
		}
		if ready && keys == 65536 {
			l.add("case", "all nodes are ready and all keys are held")
			return nil
		}
		if time.Since(begun) > limit {
			return fmt.Errorf("not ready after %v: ready %v, %d keys held", limit, ready, keys)
		}
	}
}

// owner returns the upstream that holds a key.
func (l *lab) owner(key string) *upstream {
	for _, u := range l.upstreams {
		if u.sharded && u.holdsKey(key, time.Now()) {
			return u
		}
	}
	return nil
}

// runsOf returns the runs of an attempt.
func (l *lab) runsOf(id string) []*run {
	var list []*run
	for _, u := range l.upstreams {
		for _, r := range u.allRuns() {
			if r.id == id {
				list = append(list, r)
			}
		}
	}
	return list
}
