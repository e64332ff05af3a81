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

// ProbeConfig configures a Prober. Path and Keys are required. Targets is required
// for the function StartProbe; Lab.StartProbe sets it.
type ProbeConfig struct {
	// Targets returns the callers' addresses of the nodes to probe.
	Targets func() []string

	// Path is the request path. It contains the placeholder {key}.
	Path string
	Keys []string
	// Interval is the time between two probes of one key. Default 20 ms.
	Interval time.Duration
	// Timeout is the timeout of one probe. Default 500 ms.
	Timeout time.Duration
}

// Prober reads each of a few keys at a fixed interval, each time through the next
// node, and measures for how long a key was not served. Its methods are safe for
// concurrent use.
type Prober struct {
	config  ProbeConfig
	stop    context.CancelFunc
	running sync.WaitGroup
	mu      sync.Mutex
	results map[string][]probeResult
}

// probeResult is the result of one probe.
type probeResult struct {
	sent, ended time.Time
	ok          bool
}

// KeysOfPartitions returns count keys of different partitions. The partitions
// are divided into sections of partitions/count each, and no two keys belong to
// the same section. partitions must be at least count.
func KeysOfPartitions(count int, partitions uint32) []string {
	step := partitions / uint32(count)
	covered := map[uint32]bool{}
	var keys []string
	for i := 0; len(keys) < count; i++ {
		key := fmt.Sprintf("probe-%d", i)
		section := keyspace.Partition(keyspace.Hash(key), partitions) / step
		if !covered[section] {
			covered[section] = true
			keys = append(keys, key)
		}
	}
	return keys
}

// StartProbe starts a Prober that probes the running nodes of the Lab. Stop it with
// Prober.Stop.
func (l *Lab) StartProbe(p ProbeConfig) *Prober {
	p.Targets = l.Targets
	return StartProbe(p)
}

// StartProbe starts a Prober. Stop it with Prober.Stop.
func StartProbe(p ProbeConfig) *Prober {
	if p.Interval == 0 {
		p.Interval = 20 * time.Millisecond
	}
	if p.Timeout == 0 {
		p.Timeout = 500 * time.Millisecond
	}
	ctx, stop := context.WithCancel(context.Background())
	r := &Prober{config: p, stop: stop, results: map[string][]probeResult{}}
	client := &http.Client{Timeout: p.Timeout, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	for i, key := range p.Keys {
		r.running.Go(func() {
			ticker := time.NewTicker(p.Interval)
			defer ticker.Stop()
			for round := i; ; round++ {
				select {
				case <-ctx.Done():
					return
				case <-ticker.C:
					r.running.Go(func() { r.probe(client, key, round) })
				}
			}
		})
	}
	return r
}

// probe reads a key once. If a node refuses the connection, it tries the next one,
// as a caller would.
func (r *Prober) probe(client *http.Client, key string, round int) {
	result := probeResult{sent: time.Now()}
	targets := r.config.Targets()
	for skipped := range targets {
		target := targets[(round+skipped)%len(targets)]
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
	r.results[key] = append(r.results[key], result)
	r.mu.Unlock()
}

// Stop stops probing and waits until the running probes have ended.
func (r *Prober) Stop() {
	r.stop()
	r.running.Wait()
}

// Unavailable returns one duration for each key, longest first. It is the longest
// time that a caller who sent its first request between from and to, and then
// retried, waited for a successful response.
func (r *Prober) Unavailable(from, to time.Time) []time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	var longest []time.Duration
	for _, results := range r.results {
		longest = append(longest, longestWait(slices.Clone(results), from, to))
	}
	slices.SortFunc(longest, func(a, b time.Duration) int { return int(b - a) })
	return longest
}

// longestWait returns the longest wait for a successful response among the probes
// sent between from and to. It visits the probes from the latest to the earliest
// and keeps the earliest end of a successful probe sent at or after the current
// one. A probe without such a response counts as waiting until to.
func longestWait(results []probeResult, from, to time.Time) time.Duration {
	slices.SortFunc(results, func(a, b probeResult) int { return a.sent.Compare(b.sent) })
	var earliestResponse time.Time
	var longest time.Duration
	for _, p := range slices.Backward(results) {
		if p.ok && (earliestResponse.IsZero() || p.ended.Before(earliestResponse)) {
			earliestResponse = p.ended
		}
		if p.sent.Before(from) || p.sent.After(to) {
			continue
		}
		if earliestResponse.IsZero() {
			longest = max(longest, to.Sub(p.sent))
			continue
		}
		longest = max(longest, earliestResponse.Sub(p.sent))
	}
	return longest
}
