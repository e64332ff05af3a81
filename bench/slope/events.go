package slope

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/jujubeknot/jujubeknot/bench/procfs"
)

// zoneCount is the number of availability zones of the fleet. Each holds one in
// five nodes.
const zoneCount = 5

// command sends the fleet a command for the nodes from, from+step and so on, count
// in all.
func (r *run) command(ctx context.Context, name string, from, step, count int) error {
	url := fmt.Sprintf("http://%s/%s?from=%d&step=%d&count=%d", r.Orders, name, from, step, count)
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, url, nil)
	if err != nil {
		return fmt.Errorf("command %s: %w", name, err)
	}
	response, err := http.DefaultClient.Do(q)
	if err != nil {
		return fmt.Errorf("command %s: %w", name, err)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return fmt.Errorf("command %s: %w", name, err)
	}
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("command %s: %s: %s", name, response.Status, text)
	}
	return nil
}

// measure triggers an event and returns the time until the given number of nodes
// are settled, and what the leader used meanwhile.
func (r *run) measure(ctx context.Context, nodes int, trigger func() error) (time.Duration, rate, error) {
	_, pids, err := r.processes(ctx)
	if err != nil {
		return 0, rate{}, err
	}
	before, err := procfs.ReadUsage(pids[0])
	if err != nil {
		return 0, rate{}, err
	}
	if err := trigger(); err != nil {
		return 0, rate{}, err
	}
	if err := r.settle(ctx, nodes); err != nil {
		return 0, rate{}, err
	}
	after, err := procfs.ReadUsage(pids[0])
	if err != nil {
		return 0, rate{}, err
	}
	return after.At.Sub(before.At), usageRate(before, after), nil
}

// losses repeatedly kills and restarts one availability zone of the fleet, each
// time the next one.
func (r *run) losses(ctx context.Context) error {
	lost := r.Count / zoneCount
	var times []time.Duration
	for n := range r.Losses {
		zone := n % zoneCount
		duration, u, err := r.measure(ctx, r.totalNodes()-lost, func() error { return r.command(ctx, "kill", zone, zoneCount, lost) })
		if err != nil {
			return err
		}
		times = append(times, duration)
		r.printf("loss of %d nodes: %v until all partitions have owners, leader cpu %.0f ms, out %.1f KB", lost,
			duration.Round(time.Millisecond), 1000*u.cores*duration.Seconds(), float64(u.outBytes)/1000)
		duration, u, err = r.measure(ctx, r.totalNodes(), func() error { return r.command(ctx, "start", zone, zoneCount, lost) })
		if err != nil {
			return err
		}
		r.printf("return of %d nodes: registered after %v, leader cpu %.0f ms, out %.1f KB", lost, duration.Round(time.Millisecond),
			1000*u.cores*duration.Seconds(), float64(u.outBytes)/1000)
	}
	if len(times) > 0 {
		r.printSpread("loss of an availability zone", times)
	}
	return nil
}

// restarts stops and starts nodes gracefully, first one after another, then all
// at once.
func (r *run) restarts(ctx context.Context) error {
	if r.Restarts == 0 {
		return nil
	}
	var times []time.Duration
	duration, u, err := r.measure(ctx, r.totalNodes(), func() error {
		for i := range r.Restarts {
			from := time.Now()
			for _, name := range []string{"stop", "start"} {
				if err := r.command(ctx, name, i, 1, 1); err != nil {
					return err
				}
			}
			if err := r.settle(ctx, r.totalNodes()); err != nil {
				return err
			}
			times = append(times, time.Since(from))
		}
		return nil
	})
	if err != nil {
		return err
	}
	r.printSpread("graceful restart of one node", times)
	r.printf("restart of %d nodes one after another: %v, leader cpu %.0f ms, out %.1f KB", r.Restarts, duration.Round(time.Millisecond),
		1000*u.cores*duration.Seconds(), float64(u.outBytes)/1000)
	duration, u, err = r.measure(ctx, r.totalNodes(), func() error {
		for _, name := range []string{"stop", "start"} {
			if err := r.command(ctx, name, 0, 1, r.Restarts); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return err
	}
	r.printf("graceful restart of %d nodes at once: %v, leader cpu %.0f ms, out %.1f KB", r.Restarts, duration.Round(time.Millisecond),
		1000*u.cores*duration.Seconds(), float64(u.outBytes)/1000)
	return nil
}
