package lab

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/jujubeknot/jujubeknot/core/keyspace"
)

// ProbeConfig configures a Prober. Path is required, and Targets for StartProbe
// without a Lab.
type ProbeConfig struct {
	// Targets returns the callers' addresses of the nodes to ask.
	Targets func() []string

	// Path has the placeholder {key}.
	Path string
	Keys []string
	// Interval between two probes of one key. Default 20 ms.
	Interval time.Duration
	// Timeout of one probe. Default 500 ms.
	Timeout time.Duration
}

// Prober reads each of a few keys again and again, each time at the next node,
// and learns from it how long a key was not served.
type Prober struct {
	config ProbeConfig
	stop   context.CancelFunc
	group  sync.WaitGroup
	mu     sync.Mutex
	seen   map[string][]probed
}

type probed struct {
	sent, ended time.Time
	ok          bool
}

// KeysOfPartitions returns count keys that belong to different partitions,
// spread over all partitions.
func KeysOfPartitions(count int, partitions uint32) []string {
	step := partitions / uint32(count)
	taken := map[uint32]bool{}
	var keys []string
	for i := 0; len(keys) < count; i++ {
		key := fmt.Sprintf("probe-%d", i)
		place := keyspace.Partition(keyspace.Hash(key), partitions) / step
		if !taken[place] {
			taken[place] = true
			keys = append(keys, key)
		}
	}
	return keys
}

// StartProbe starts a Prober that asks the nodes of the lab. Stop ends it.
func (l *Lab) StartProbe(p ProbeConfig) *Prober {
	p.Targets = l.Targets
	return StartProbe(p)
}

// StartProbe starts a Prober. Stop ends it.
func StartProbe(p ProbeConfig) *Prober {
	if p.Interval == 0 {
		p.Interval = 20 * time.Millisecond
	}
	if p.Timeout == 0 {
		p.Timeout = 500 * time.Millisecond
	}
	ctx, stop := context.WithCancel(context.Background())
	r := &Prober{config: p, stop: stop, seen: map[string][]probed{}}
	client := &http.Client{Timeout: p.Timeout, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	for i, key := range p.Keys {
		r.group.Go(func() {
			ticker := time.NewTicker(p.Interval)
			defer ticker.Stop()
			for turn := i; ; turn++ {
				select {
				case <-ctx.Done():
					return
				case <-ticker.C:
					r.group.Go(func() { r.probe(client, key, turn) })
				}
			}
		})
	}
	return r
}

// probe reads a key once. A node that refuses the connection is left out, as a
// caller would do: the next one is asked.
func (r *Prober) probe(client *http.Client, key string, turn int) {
	result := probed{sent: time.Now()}
	targets := r.config.Targets()
	for try := range targets {
		target := targets[(turn+try)%len(targets)]
		response, err := client.Get("http://" + target + strings.ReplaceAll(r.config.Path, "{key}", key))
		if err != nil && strings.Contains(err.Error(), "refused") {
			continue
		}
		if err == nil {
			_, err = io.Copy(io.Discard, response.Body)
			response.Body.Close()
			result.ok = err == nil && response.StatusCode == http.StatusOK
		}
		break
	}
	result.ended = time.Now()
	r.mu.Lock()
	r.seen[key] = append(r.seen[key], result)
	r.mu.Unlock()
}

// Stop ends the probes and waits for them.
func (r *Prober) Stop() {
	r.stop()
	r.group.Wait()
}

// Unavailable returns, for each key, the longest time for which a caller who
// began to ask between two times and kept asking had no answer, longest first.
func (r *Prober) Unavailable(from, to time.Time) []time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	var longest []time.Duration
	for _, seen := range r.seen {
		longest = append(longest, longestWait(slices.Clone(seen), from, to))
	}
	slices.SortFunc(longest, func(a, b time.Duration) int { return int(b - a) })
	return longest
}

// longestWait goes backwards in time and keeps the earliest answer to a probe
// that was sent at or after the one looked at.
func longestWait(seen []probed, from, to time.Time) time.Duration {
	slices.SortFunc(seen, func(a, b probed) int { return a.sent.Compare(b.sent) })
	var answered time.Time
	var longest time.Duration
	for _, p := range slices.Backward(seen) {
		if p.ok && (answered.IsZero() || p.ended.Before(answered)) {
			answered = p.ended
		}
		if p.sent.Before(from) || p.sent.After(to) {
			continue
		}
		if answered.IsZero() {
			longest = max(longest, to.Sub(p.sent))
			continue
		}
		longest = max(longest, answered.Sub(p.sent))
	}
	return longest
}
