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

// lossShare is the share of nodes that an availability zone has: one of five.
const lossShare = 5

// order sends an order to the fleet.
func (r *run) order(ctx context.Context, what string, from, step, count int) error {
	url := fmt.Sprintf("http://%s/%s?from=%d&step=%d&count=%d", r.Orders, what, from, step, count)
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, url, nil)
	if err != nil {
		return fmt.Errorf("order %s: %w", what, err)
	}
	response, err := http.DefaultClient.Do(q)
	if err != nil {
		return fmt.Errorf("order %s: %w", what, err)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return fmt.Errorf("order %s: %w", what, err)
	}
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("order %s: %s: %s", what, response.Status, text)
	}
	return nil
}

// timed measures an event until a number of nodes are settled, and what the
// leader used meanwhile.
func (r *run) timed(ctx context.Context, nodes int, do func() error) (time.Duration, rate, error) {
	_, pids, err := r.processes(ctx)
	if err != nil {
		return 0, rate{}, err
	}
	before, err := procfs.ReadUsage(pids[0])
	if err != nil {
		return 0, rate{}, err
	}
	if err := do(); err != nil {
		return 0, rate{}, err
	}
	if err := r.settle(ctx, nodes); err != nil {
		return 0, rate{}, err
	}
	after, err := procfs.ReadUsage(pids[0])
	if err != nil {
		return 0, rate{}, err
	}
	return after.At.Sub(before.At), between(before, after), nil
}

// losses kills an availability zone of the fleet again and again.
func (r *run) losses(ctx context.Context) error {
	lost := r.Count / lossShare
	var times []time.Duration
	for n := range r.Losses {
		zone := n % lossShare
		took, u, err := r.timed(ctx, r.all()-lost, func() error { return r.order(ctx, "kill", zone, lossShare, lost) })
		if err != nil {
			return err
		}
		times = append(times, took)
		r.say("loss of %d nodes: %v until all partitions have owners, leader cpu %.0f ms, out %.1f KB", lost,
			took.Round(time.Millisecond), 1000*u.cores*took.Seconds(), float64(u.outByte)/1000)
		took, u, err = r.timed(ctx, r.all(), func() error { return r.order(ctx, "start", zone, lossShare, lost) })
		if err != nil {
			return err
		}
		r.say("return of %d nodes: registered after %v, leader cpu %.0f ms, out %.1f KB", lost, took.Round(time.Millisecond),
			1000*u.cores*took.Seconds(), float64(u.outByte)/1000)
	}
	if len(times) > 0 {
		r.spread("loss of an availability zone", times)
	}
	return nil
}

// restarts stops and starts nodes, first one after another, then all at once.
func (r *run) restarts(ctx context.Context) error {
	if r.Restarts == 0 {
		return nil
	}
	var times []time.Duration
	took, u, err := r.timed(ctx, r.all(), func() error {
		for i := range r.Restarts {
			from := time.Now()
			for _, what := range []string{"stop", "start"} {
				if err := r.order(ctx, what, i, 1, 1); err != nil {
					return err
				}
			}
			if err := r.settle(ctx, r.all()); err != nil {
				return err
			}
			times = append(times, time.Since(from))
		}
		return nil
	})
	if err != nil {
		return err
	}
	r.spread("graceful restart of one node", times)
	r.say("restart of %d nodes one after another: %v, leader cpu %.0f ms, out %.1f KB", r.Restarts, took.Round(time.Millisecond),
		1000*u.cores*took.Seconds(), float64(u.outByte)/1000)
	took, u, err = r.timed(ctx, r.all(), func() error {
		for _, what := range []string{"stop", "start"} {
			if err := r.order(ctx, what, 0, 1, r.Restarts); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return err
	}
	r.say("graceful restart of %d nodes at once: %v, leader cpu %.0f ms, out %.1f KB", r.Restarts, took.Round(time.Millisecond),
		1000*u.cores*took.Seconds(), float64(u.outByte)/1000)
	return nil
}
