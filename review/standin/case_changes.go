package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"
)

func init() { cases["changes"] = playChanges }

// resident returns the resident memory of a process in MiB.
func resident(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0
	}
	pages, err := strconv.Atoi(fields[1])
	if err != nil {
		return 0
	}
	return pages * os.Getpagesize() >> 20
}

// limitMemory kills the process of a machine whenever it uses more memory than
// the platform allows, until the deployment is stopped.
func (m *machine) limitMemory(megabytes int, killed func()) {
	for {
		select {
		case <-m.d.stopped:
			return
		case <-time.After(50 * time.Millisecond):
		}
		m.mu.Lock()
		pid := m.process.Pid
		m.mu.Unlock()
		if used := resident(pid); used > megabytes {
			m.d.b.note("%s: the process uses %d MiB, over its limit of %d", m.name, used, megabytes)
			m.signal(syscall.SIGKILL)
			killed()
			time.Sleep(200 * time.Millisecond)
		}
	}
}

// playChanges: the operator changes the configuration every 0.33 s, and reads it
// back at the end. With the disruption, the configuration has grown by ten times
// 350 routes before. The platform kills a process that uses more memory than
// its limit, and starts it again.
func playChanges(b *bench) (bool, error) {
	const memoryMb, changes, gap = 280, 260, 330 * time.Millisecond
	routes := 8
	if b.trouble {
		routes += 10 * 350
	}
	d, err := newDeployment(b, "wuno96b")
	if err != nil {
		return false, err
	}
	kills := make(chan string, 1000)
	for _, m := range d.core {
		go m.limitMemory(memoryMb, func() { kills <- m.name })
	}
	list := make([]route, routes)
	for i := range list {
		list[i] = route{Name: fmt.Sprintf("r-%06x", i), Host: host, PathPrefix: fmt.Sprintf("/p%05d/", i), Kind: "safe", TimeoutMs: 1000, TargetMs: 300, Priority: 2, Service: "wuno96b", MaxAttempts: 2}
	}
	services := []service{newService("wuno96b", false)}
	if err := d.putQuietly(1, list, services); err != nil {
		return false, err
	}
	sent := 1
	var failed error
	next := time.Now()
	for end := time.Now().Add(changes * gap); time.Now().Before(end); {
		next = next.Add(gap)
		if pause := time.Until(next); pause > 0 {
			time.Sleep(pause)
		} else {
			next = time.Now()
		}
		v := sent + 1
		list[v%len(list)].TimeoutMs = 1000 + v
		if failed = d.putQuietly(v, list, services); failed != nil {
			break
		}
		sent = v
		if v%20 == 0 {
			b.note("version %08x acknowledged; memory of the core in MiB: %v", v, d.memory())
		}
	}
	b.note("%d changes were acknowledged (%v); memory of the core in MiB: %v", sent, failed, d.memory())
	ends := map[string]int{}
	for len(kills) > 0 {
		ends[<-kills]++
	}
	b.note("ended for their memory: %v", ends)
	half := 0
	for _, n := range ends {
		if n >= 3 {
			half++
		}
	}
	return 2*half >= len(d.core), nil
}

// memory returns the memory of the processes of the core in MiB.
func (d *deployment) memory() (used []int) {
	for _, m := range d.core {
		m.mu.Lock()
		pid := m.process.Pid
		m.mu.Unlock()
		used = append(used, resident(pid))
	}
	return used
}

// putQuietly sends a configuration until it is acknowledged, without notes.
func (d *deployment) putQuietly(version int, routes []route, services []service) error {
	body, err := json.Marshal(map[string]any{
		"version": fmt.Sprintf("%08x", version), "routes": routes, "services": services,
		"limits": map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	if err != nil {
		return err
	}
	if version == 1 {
		d.b.note("operator: configuration with %d routes, %d bytes", len(routes), len(body))
	}
	_, err = d.order(http.MethodPost, "/-/Config.Replace", body)
	return err
}
