package slope

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/jujubeknot/jujubeknot/bench/backend"
	"github.com/jujubeknot/jujubeknot/bench/check"
	"github.com/jujubeknot/jujubeknot/bench/lab"
	"github.com/jujubeknot/jujubeknot/bench/load"
	"github.com/jujubeknot/jujubeknot/bench/operator"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

const (
	recoveryPartitions = 1024
	// probeGrace is the period before the end of an event that is left out of the
	// result, because probes sent in it may have no response yet.
	probeGrace = time.Second
	// runNumberBits is the number of low bits of a run number that count the runs
	// of one process. The bits above them number the record files, so runs of
	// different processes stay distinct.
	runNumberBits = 40
)

// RecoveryConfig configures a Recovery. All fields are required.
type RecoveryConfig struct {
	// Targets are the callers' addresses of the nodes.
	Targets   []string
	Operators []string
	// Records is the folder in which the stand-in backend servers record the
	// requests they ran, one file for each process.
	Records string
	// Keys is the number of probed keys.
	Keys int
	// Rate is the number of requests per second that must not run twice, in
	// addition to the probes.
	Rate float64
	Seed uint64
	Out  io.Writer
}

// Recovery probes keys through nodes while a script causes events, such as the
// loss of a node, and measures for how long keys are not served.
type Recovery struct {
	config     RecoveryConfig
	group      *operator.Client
	finish     chan struct{}
	finishOnce sync.Once

	mu         sync.Mutex
	probe      *lab.Prober
	name       string
	from       time.Time
	eventNames []string
	durations  map[string][]time.Duration
}

// NewRecovery returns a Recovery that has not been started.
func NewRecovery(config RecoveryConfig) *Recovery {
	return &Recovery{config: config, group: newOperatorClient(config.Operators), finish: make(chan struct{}), durations: map[string][]time.Duration{}}
}

// Run sends requests until the command /finish arrives, then writes a table and
// checks the records. It returns an error if a request ran twice or another
// guarantee was violated.
func (r *Recovery) Run(ctx context.Context) error {
	loading, stop := context.WithCancel(ctx)
	defer stop()
	go func() {
		select {
		case <-r.finish:
			stop()
		case <-ctx.Done():
		}
	}()
	result, err := load.Run(loading, load.Config{
		Seed: r.config.Seed, Targets: r.config.Targets, Rate: r.config.Rate, Duration: load.MaxDuration,
		Classes: []load.Class{{
			Name: "once", Weight: 1, Method: http.MethodPost, Path: "/applications/{key}/submit", Bytes: 1024,
			IdempotencyKey: 0.5, Resends: 3, Timeout: 4 * time.Second,
		}},
	})
	if err != nil && !errors.Is(err, context.Canceled) || ctx.Err() != nil {
		return fmt.Errorf("load: %w", err)
	}
	r.table()
	fmt.Fprintf(r.config.Out, "\n%s\n", result)
	return r.check(result)
}

func (r *Recovery) table() {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.config.Out, "| event | repetitions | least | median | worst |\n|---|---|---|---|---|\n")
	for _, name := range r.eventNames {
		q := spreadOf(r.durations[name])
		fmt.Fprintf(r.config.Out, "| %s | %d | %d ms | %d ms | %d ms |\n", name, q.count, q.least.Milliseconds(),
			q.median.Milliseconds(), q.worst.Milliseconds())
	}
}

func (r *Recovery) check(result *load.Result) error {
	files, err := filepath.Glob(filepath.Join(r.config.Records, "*"))
	if err != nil || len(files) == 0 {
		return errors.Errorf("no records in %s", r.config.Records)
	}
	var entries []backend.Entry
	for i, name := range files {
		file, err := os.Open(name)
		if err != nil {
			return fmt.Errorf("records: %w", err)
		}
		read, err := backend.ReadStream(file, uint64(i+1)<<runNumberBits)
		_ = file.Close()
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		entries = append(entries, read...)
	}
	violations := check.Check(check.Input{Entries: entries, Operations: result.Operations})
	fmt.Fprintf(r.config.Out, "%d entries of %d processes, %d operations, violations: %v\n", len(entries), len(files),
		len(result.Operations), check.Count(violations))
	for _, v := range violations[:min(len(violations), 10)] {
		fmt.Fprintf(r.config.Out, "  %s %s %s\n", v.Kind, v.At.Format(time.RFC3339Nano), v.Detail)
	}
	if len(violations) > 0 {
		return errors.Errorf("%d violations", len(violations))
	}
	return nil
}

// Handler serves the commands of the script, all with POST:
//
//   - /settled?nodes=N waits until the group is settled.
//   - /victim returns the name of the node with the most partitions.
//   - /leader returns the id of the leader.
//   - /begin?event=NAME starts probing.
//   - /end stops probing and returns the longest time for which a key was not
//     served.
//   - /finish ends Run.
func (r *Recovery) Handler() http.Handler {
	mux := http.NewServeMux()
	handle := func(path string, do func(*http.Request) (string, error)) {
		mux.HandleFunc("POST "+path, func(w http.ResponseWriter, q *http.Request) {
			text, err := do(q)
			if err != nil {
				http.Error(w, err.Error(), http.StatusInternalServerError)
				return
			}
			fmt.Fprintln(w, text)
		})
	}
	handle("/settled", r.settled)
	handle("/victim", r.victim)
	handle("/leader", func(q *http.Request) (string, error) {
		s, err := r.group.Status(q.Context())
		return fmt.Sprint(s.GetLeader()), err
	})
	handle("/begin", r.begin)
	handle("/end", r.end)
	handle("/finish", func(*http.Request) (string, error) {
		r.finishOnce.Do(func() { close(r.finish) })
		return "", nil
	})
	return mux
}

func (r *Recovery) settled(q *http.Request) (string, error) {
	var nodes int
	if _, err := fmt.Sscan(q.FormValue("nodes"), &nodes); err != nil {
		return "", fmt.Errorf("parameter nodes: %w", err)
	}
	ctx, cancel := context.WithTimeout(q.Context(), settleTimeout)
	defer cancel()
	return "", settled(ctx, r.group, nodes, 1)
}

func (r *Recovery) victim(q *http.Request) (string, error) {
	s, err := r.group.Status(q.Context())
	if err != nil {
		return "", err
	}
	return mostPartitions(s)
}

// mostPartitions returns the name of the node with the most partitions.
func mostPartitions(s *wirev1.StatusResponse) (string, error) {
	if len(s.GetNodes()) == 0 {
		return "", errors.New("no node is registered")
	}
	most := slices.MaxFunc(s.GetNodes(), func(a, b *wirev1.NodeStatus) int { return int(a.GetPartitions()) - int(b.GetPartitions()) })
	return most.GetNode().GetName(), nil
}

func (r *Recovery) begin(q *http.Request) (string, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.probe != nil {
		return "", errors.Errorf("event %s has not ended", r.name)
	}
	r.probe = lab.StartProbe(lab.ProbeConfig{
		Targets: func() []string { return r.config.Targets }, Path: "/applications/{key}/status",
		Keys: lab.KeysOfPartitions(r.config.Keys, recoveryPartitions),
	})
	time.Sleep(200 * time.Millisecond)
	r.name, r.from = q.FormValue("event"), time.Now()
	return "", nil
}

func (r *Recovery) end(*http.Request) (string, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.probe == nil {
		return "", errors.New("no event has started")
	}
	to := time.Now().Add(-probeGrace)
	r.probe.Stop()
	longest := r.probe.Unavailable(r.from, to)[0]
	r.probe = nil
	if r.durations[r.name] == nil {
		r.eventNames = append(r.eventNames, r.name)
	}
	r.durations[r.name] = append(r.durations[r.name], longest)
	return fmt.Sprintf("%s: %d ms", r.name, longest.Milliseconds()), nil
}
