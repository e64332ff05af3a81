package slope

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/jujubeknot/jujubeknot/bench/operator"
	"github.com/jujubeknot/jujubeknot/bench/procfs"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// settleTimeout bounds each wait for a settled group.
const settleTimeout = 2 * time.Minute

// quiet is the time between a settled group and a sample, in which connections
// and garbage collection come to rest.
const quiet = 5 * time.Second

// Config says which processes are measured. All fields are required but Node
// and the last four.
type Config struct {
	// Members are the process ids of the control members, and Operators their
	// operator addresses in the same order.
	Members   []int
	Operators []string
	// Folders are their data folders.
	Folders []string
	// Fleet is the process of the idle nodes, which takes orders at Orders.
	Fleet  int
	Orders string
	// Count is the number of nodes in the fleet.
	Count int
	// Node is the process id of one node that runs as it does in service, 0 for
	// none.
	Node int
	// Partitions and Lines are those of the rules.
	Partitions, Lines int
	// Sample is the length of the idle sample.
	Sample time.Duration
	// Repetitions of rule changes and of losses.
	Changes, Losses int
	// Restarts is the number of nodes of a restart wave, 0 for none.
	Restarts int
	Out      io.Writer
}

type run struct {
	Config
	group    *operator.Client
	revision uint64
	variant  int
}

// Run measures and writes one line for each figure.
func Run(ctx context.Context, c Config) error {
	r := &run{Config: c, group: newOperators(c.Operators)}
	r.say("nodes %d, partitions %d, rule lines %d, members %d", c.Count, c.Partitions, c.Lines, len(c.Members))
	started := time.Now()
	// Partitions that are created while one node is registered all go to it,
	// and leave it at the speed of balancing.
	if err := r.settle(ctx, r.all()); err != nil {
		return err
	}
	if err := r.change(ctx); err != nil {
		return err
	}
	if err := r.settle(ctx, r.all()); err != nil {
		return err
	}
	r.say("settled after %v", time.Since(started).Round(time.Millisecond))
	for _, step := range []func(context.Context) error{r.idle, r.changes, r.losses, r.restarts} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (r *run) say(format string, a ...any) { fmt.Fprintf(r.Out, format+"\n", a...) }

// all is the number of nodes that the group has when nothing is lost.
func (r *run) all() int {
	if r.Node != 0 {
		return r.Count + 1
	}
	return r.Count
}

// change applies another variant of the rules.
func (r *run) change(ctx context.Context) error {
	limited, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	r.variant++
	text := rulesText(r.Lines, r.Partitions, r.variant)
	revision, err := r.group.Apply(limited, text)
	if err != nil {
		return err
	}
	r.revision = revision
	return nil
}

func (r *run) settle(ctx context.Context, nodes int) error {
	limited, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	return settled(limited, r.group, nodes, r.revision)
}

// leader returns the place of the member that answered as the leader last.
func (r *run) leader() int { return max(0, slices.Index(r.Operators, r.group.Leader())) }

// processes returns the names of the processes by their ids, leader first.
func (r *run) processes(ctx context.Context) (names []string, pids []int, err error) {
	if _, err := r.group.Status(ctx); err != nil {
		return nil, nil, err
	}
	leader := r.leader()
	names, pids = []string{"leader"}, []int{r.Members[leader]}
	for i, pid := range r.Members {
		if i != leader {
			names, pids = append(names, "follower"), append(pids, pid)
		}
	}
	names, pids = append(names, "fleet"), append(pids, r.Fleet)
	if r.Node != 0 {
		names, pids = append(names, "node"), append(pids, r.Node)
	}
	return names, pids, nil
}

func lookAll(pids []int) ([]procfs.Usage, error) {
	all := make([]procfs.Usage, len(pids))
	for i, pid := range pids {
		var err error
		if all[i], err = procfs.ReadUsage(pid); err != nil {
			return nil, err
		}
	}
	return all, nil
}

// idle samples all processes while nothing happens.
func (r *run) idle(ctx context.Context) error {
	names, pids, err := r.processes(ctx)
	if err != nil {
		return err
	}
	time.Sleep(quiet)
	before, err := lookAll(pids)
	if err != nil {
		return err
	}
	time.Sleep(r.Sample)
	after, err := lookAll(pids)
	if err != nil {
		return err
	}
	for i, name := range names {
		u := between(before[i], after[i])
		r.say("idle %-8s cpu %7.3f%% of a core, rss %6.1f MB, peak %6.1f MB, in %9.0f B/s, out %9.0f B/s",
			name, 100*u.cores, mega(u.resident), mega(u.peak), u.inPerS, u.outPerS)
		if name == "fleet" {
			n := float64(r.Count)
			r.say("idle fleet per node: cpu %.3f%% of a core, rss %.2f MB", 100*u.cores/n, mega(u.resident)/n)
		}
	}
	return nil
}

func mega(bytes uint64) float64 { return float64(bytes) / (1 << 20) }

// changes measures the time from the call of apply until control knows that the
// revision is in force at every node, which is up to one renewal interval later
// than it is.
func (r *run) changes(ctx context.Context) error {
	if r.Changes == 0 {
		return nil
	}
	_, pids, err := r.processes(ctx)
	if err != nil {
		return err
	}
	size, err := r.logSize()
	if err != nil {
		return err
	}
	before, err := procfs.ReadUsage(pids[0])
	if err != nil {
		return err
	}
	var times []time.Duration
	for range r.Changes {
		from := time.Now()
		if err := r.change(ctx); err != nil {
			return err
		}
		limited, cancel := context.WithTimeout(ctx, settleTimeout)
		err := r.group.Until(limited, "a revision in force", func(s *wirev1.StatusResponse) error {
			return operator.InForce(s, r.revision)
		})
		cancel()
		if err != nil {
			return err
		}
		times = append(times, time.Since(from))
	}
	after, err := procfs.ReadUsage(pids[0])
	if err != nil {
		return err
	}
	grown, err := r.logSize()
	if err != nil {
		return err
	}
	u := between(before, after)
	r.spread("apply to in force everywhere", times)
	r.say("a change: rules text %d B, log and snapshots of the leader %+d B, leader cpu %.1f ms and out %d B (status questions included)",
		len(rulesText(r.Lines, r.Partitions, r.variant)), (grown-size)/int64(r.Changes),
		1000*u.cores*after.At.Sub(before.At).Seconds()/float64(r.Changes), u.outByte/uint64(r.Changes))
	return nil
}

// spread is the range of repeated times.
type spread struct {
	count                int
	least, median, worst time.Duration
}

// spreadOf returns the range of at least one time. Of an even number of times
// the median is the upper of the two in the middle.
func spreadOf(times []time.Duration) spread {
	sorted := slices.Sorted(slices.Values(times))
	return spread{count: len(sorted), least: sorted[0], median: sorted[len(sorted)/2], worst: sorted[len(sorted)-1]}
}

// spread writes repeated times.
func (r *run) spread(what string, times []time.Duration) {
	q := spreadOf(times)
	r.say("%s: %d times, least %v, median %v, worst %v", what, q.count, q.least.Round(time.Millisecond),
		q.median.Round(time.Millisecond), q.worst.Round(time.Millisecond))
}

// logSize returns the bytes in the data folder of the leader.
func (r *run) logSize() (int64, error) {
	var size int64
	err := filepath.WalkDir(r.Folders[r.leader()], func(_ string, e os.DirEntry, err error) error {
		if err != nil || e.IsDir() {
			return err
		}
		info, err := e.Info()
		if err != nil {
			// A segment that a snapshot made superfluous.
			if errors.Is(err, os.ErrNotExist) {
				return nil
			}
			return err
		}
		size += info.Size()
		return nil
	})
	if err != nil {
		return 0, fmt.Errorf("size of the data folder: %w", err)
	}
	return size, nil
}
