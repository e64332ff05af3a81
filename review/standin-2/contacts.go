package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["contacts"] = contacts }

const (
	// recoverS is the bound of the site, and watched the time after it in which requests count.
	recoverS = 15 * time.Second
	watched  = 15 * time.Second
	// allDown is the time for which all processes are down.
	allDown = time.Second
)

// contacts: the seeds in the settings are exchanged for other machines that serve control. Later
// all processes are killed at the same moment and start again with their disks.
func contacts(l *lab) (int, error) {
	l.restartDelay = allDown
	if err := l.begin(50 * time.Millisecond); err != nil {
		return failed, err
	}
	// The group has taken in all that it takes in.
	time.Sleep(5 * time.Second)
	served, asked := l.ask(5*time.Second, nil)
	if 2*served < asked {
		return failed, fmt.Errorf("%d of %d requests served before", served, asked)
	}
	l.add("case", "before: %d of %d requests served", served, asked)
	if l.trouble {
		seeds, err := l.turnOver()
		if err != nil {
			return failed, err
		}
		l.add("platform", "the seeds are now %s", seeds)
		time.Sleep(6 * time.Second)
		for _, m := range l.machines {
			m.signal(syscall.SIGKILL)
		}
	}
	time.Sleep(allDown + recoverS)
	statuses := map[int]int{}
	served, asked = l.ask(watched, statuses)
	l.add("case", "later than %v after the machines are back: %d of %d requests served; answers by status %v", recoverS, served, asked, statuses)
	if 4*served < asked {
		l.add("case", "RECOVER: less than a quarter is served")
		return broken, nil
	}
	return held, nil
}

var memberAddress = regexp.MustCompile(`"address":"([0-9.]+):`)

// turnOver exchanges the seeds for three machines that serve control. The platform may name any
// but the present ones; these are such that are not in the group by the logs, if there are three.
func (l *lab) turnOver() (string, error) {
	inGroup := map[string]bool{}
	for _, m := range l.controls() {
		log, err := os.ReadFile(filepath.Join(l.folder, m.name+".log"))
		if err != nil {
			return "", err
		}
		for line := range strings.Lines(string(log)) {
			if strings.Contains(line, "membership committed") {
				for _, found := range memberAddress.FindAllStringSubmatch(line, -1) {
					inGroup[found[1]] = true
				}
			}
		}
	}
	var seeds []string
	for _, m := range l.controls() {
		if !inGroup[m.ip] && len(seeds) < 3 {
			seeds = append(seeds, m.address(portControl))
		}
	}
	if len(seeds) < 3 {
		return "", fmt.Errorf("only %d machines are outside the group", len(seeds))
	}
	text := strings.Join(seeds, ",")
	for _, m := range l.machines {
		m.mu.Lock()
		m.settings["seeds"] = text
		m.mu.Unlock()
		_, settings, err := m.command()
		if err != nil {
			return "", err
		}
		if err := os.WriteFile(filepath.Join(l.folder, m.name+".ini"), []byte(settings), 0o600); err != nil {
			return "", err
		}
	}
	return text, nil
}

// ask sends reads for a time and returns how many were served. Statuses, if not nil, gets the
// answers by status.
func (l *lab) ask(limit time.Duration, statuses map[int]int) (served, asked int) {
	end := time.Now().Add(limit)
	var clients sync.WaitGroup
	var mu sync.Mutex
	for i := range 10 {
		clients.Go(func() {
			for time.Now().Before(end) {
				a := &attempt{id: newID(), method: http.MethodGet, path: "/lohu930/2f", host: host, key: fmt.Sprint(6000 * i), deadline: 1200 * time.Millisecond}
				out := a.send(l.record, l.nodes()[i%len(l.nodes())])
				mu.Lock()
				asked++
				if out.status == http.StatusOK {
					served++
				}
				if statuses != nil {
					statuses[out.status]++
				}
				mu.Unlock()
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	clients.Wait()
	return served, asked
}
