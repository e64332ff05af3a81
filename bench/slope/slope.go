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

// settleTimeout bounds each wait until the control members and nodes are settled.
const settleTimeout = 2 * time.Minute

// idleDelay is the time between a settled group and an idle sample. Connection
// set-up and garbage collection finish within it.
const idleDelay = 5 * time.Second

// Config selects the processes to measure. All fields are required except Node
// and the last four.
type Config struct {
	// Members are the process ids of the control members, and Operators their
	// operator addresses in the same order.
	Members   []int
	Operators []string
	// Folders are their data folders.
	Folders []string
	// Fleet is the process id of the idle nodes, which accept commands at the
	// address Orders.
	Fleet  int
	Orders string
	// Count is the number of nodes in the fleet.
	Count int
	// Node is the process id of one node that runs in a process of its own, as in
	// production. Zero means that there is none.
	Node int
	// Partitions and Lines are the number of partitions and of lines in the rules.
	Partitions, Lines int
	// Sample is the duration of the idle sample.
	Sample time.Duration
	// Changes and Losses are the numbers of repetitions of a rule change and of
	// the loss of an availability zone.
	Changes, Losses int
	// Restarts is the number of nodes in a rolling restart. Zero means none.
	Restarts int
	// Out receives the report.
	Out io.Writer
}

type run struct {
	Config
	group    *operator.Client
	revision uint64
	variant  int
}

// Run takes all measurements and writes one line for each result to Config.Out.
func Run(ctx context.Context, c Config) error {
	r := &run{Config: c, group: newOperatorClient(c.Operators)}
	r.printf("nodes %d, partitions %d, rule lines %d, members %d", c.Count, c.Partitions, c.Lines, len(c.Members))
	started := time.Now()
	// Partitions that are created while only one node is registered are all
	// assigned to it, and leave it only at the rate of rebalancing. So the rules
	// are applied once all nodes are registered.
	if err := r.settle(ctx, r.totalNodes()); err != nil {
		return err
	}
	if err := r.change(ctx); err != nil {
		return err
	}
	if err := r.settle(ctx, r.totalNodes()); err != nil {
		return err
	}
	r.printf("settled after %v", time.Since(started).Round(time.Millisecond))
	for _, step := range []func(context.Context) error{r.idle, r.changes, r.losses, r.restarts} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (r *run) printf(format string, a ...any) { fmt.Fprintf(r.Out, format+"\n", a...) }

// totalNodes returns the number of nodes while none is lost.
func (r *run) totalNodes() int {
	if r.Node != 0 {
		return r.Count + 1
	}
	return r.Count
}

// change applies the next variant of the rules.
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

// leader returns the index of the member that last answered as leader.
func (r *run) leader() int { return max(0, slices.Index(r.Operators, r.group.Leader())) }

// processes returns the roles and ids of the processes, the leader first.
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

func readUsages(pids []int) ([]procfs.Usage, error) {
	all := make([]procfs.Usage, len(pids))
	for i, pid := range pids {
		var err error
		if all[i], err = procfs.ReadUsage(pid); err != nil {
			return nil, err
		}
	}
	return all, nil
}

// idle samples all processes while the group is idle.
func (r *run) idle(ctx context.Context) error {
	names, pids, err := r.processes(ctx)
	if err != nil {
		return err
	}
	time.Sleep(idleDelay)
	before, err := readUsages(pids)
	if err != nil {
		return err
	}
	time.Sleep(r.Sample)
	after, err := readUsages(pids)
	if err != nil {
		return err
	}
	for i, name := range names {
		u := usageRate(before[i], after[i])
		r.printf("idle %-8s cpu %7.3f%% of a core, rss %6.1f MB, peak %6.1f MB, in %9.0f B/s, out %9.0f B/s",
			name, 100*u.cores, mebibytes(u.resident), mebibytes(u.peak), u.inBytesPerSecond, u.outBytesPerSecond)
		if name == "fleet" {
			n := float64(r.Count)
			r.printf("idle fleet per node: cpu %.3f%% of a core, rss %.2f MB", 100*u.cores/n, mebibytes(u.resident)/n)
		}
	}
	return nil
}

func mebibytes(bytes uint64) float64 { return float64(bytes) / (1 << 20) }

// changes measures the time from the apply call until control knows that the
// revision is in force at every node. Control learns of it with the next lease
// renewal, so the result is up to one renewal interval too long.
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
	sizeAfter, err := r.logSize()
	if err != nil {
		return err
	}
	u := usageRate(before, after)
	r.printSpread("apply to in force everywhere", times)
	r.printf("a change: rules text %d B, log and snapshots of the leader %+d B, leader cpu %.1f ms and out %d B (status questions included)",
		len(rulesText(r.Lines, r.Partitions, r.variant)), (sizeAfter-size)/int64(r.Changes),
		1000*u.cores*after.At.Sub(before.At).Seconds()/float64(r.Changes), u.outBytes/uint64(r.Changes))
	return nil
}

// spread summarizes the durations of a repeated event.
type spread struct {
	count                int
	least, median, worst time.Duration
}

// spreadOf summarizes durations, of which there must be at least one. For an even
// number of durations the median is the upper of the two middle ones.
func spreadOf(times []time.Duration) spread {
	sorted := slices.Sorted(slices.Values(times))
	return spread{count: len(sorted), least: sorted[0], median: sorted[len(sorted)/2], worst: sorted[len(sorted)-1]}
}

// printSpread writes a summary of the durations of a repeated event.
func (r *run) printSpread(what string, times []time.Duration) {
	q := spreadOf(times)
	r.printf("%s: %d times, least %v, median %v, worst %v", what, q.count, q.least.Round(time.Millisecond),
		q.median.Round(time.Millisecond), q.worst.Round(time.Millisecond))
}

// logSize returns the size of the leader's data folder in bytes.
func (r *run) logSize() (int64, error) {
	var size int64
	err := filepath.WalkDir(r.Folders[r.leader()], func(_ string, e os.DirEntry, err error) error {
		if err != nil || e.IsDir() {
			return err
		}
		info, err := e.Info()
		if err != nil {
			// The leader may have deleted this log segment since the folder was
			// listed, because a snapshot covers it.
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
