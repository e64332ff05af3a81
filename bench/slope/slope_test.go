package slope

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/jujubeknot/jujubeknot/bench/procfs"
	"github.com/jujubeknot/jujubeknot/core/rules"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

const ms = time.Millisecond

// TestSpread guards against a range or a median that is not that of the times,
// and against a report that changes the times.
func TestSpread(t *testing.T) {
	for _, c := range []struct {
		times []time.Duration
		want  spread
	}{
		{[]time.Duration{5 * ms}, spread{1, 5 * ms, 5 * ms, 5 * ms}},
		{[]time.Duration{9 * ms, 1 * ms, 4 * ms}, spread{3, 1 * ms, 4 * ms, 9 * ms}},
		{[]time.Duration{8 * ms, 2 * ms, 4 * ms, 6 * ms}, spread{4, 2 * ms, 6 * ms, 8 * ms}},
	} {
		first := c.times[0]
		if got := spreadOf(c.times); got != c.want || c.times[0] != first {
			t.Errorf("%v: %+v", c.times, got)
		}
	}
	var out strings.Builder
	(&run{Config: Config{Out: &out}}).spread("loss", []time.Duration{30 * ms, 1500*time.Microsecond + 2*ms, 10 * ms})
	if want := "loss: 3 times, least 4ms, median 10ms, worst 30ms\n"; out.String() != want {
		t.Errorf("%q, want %q", out.String(), want)
	}
}

// TestBetween guards against rates that are not per second, or of the wrong
// look.
func TestBetween(t *testing.T) {
	at := time.Unix(100, 0)
	got := between(procfs.Usage{At: at, Processor: time.Second, Resident: 1, Peak: 2, In: 100, Out: 1000},
		procfs.Usage{At: at.Add(4 * time.Second), Processor: 3 * time.Second, Resident: 5, Peak: 6, In: 500, Out: 1200})
	if want := (rate{cores: 0.5, resident: 5, peak: 6, inPerS: 100, outPerS: 50, inBytes: 400, outByte: 200}); got != want {
		t.Errorf("%+v, want %+v", got, want)
	}
}

// TestTable guards against an event that is missing in the table of recovery
// times, or that has the times of another one.
func TestTable(t *testing.T) {
	var out strings.Builder
	r := NewRecovery(RecoveryConfig{Out: &out})
	r.order = []string{"killNode", "zone"}
	r.times["zone"], r.times["killNode"] = []time.Duration{12 * ms}, []time.Duration{1700 * ms, 1500 * ms, 2500 * ms}
	r.table()
	const want = `| event | repetitions | least | median | worst |
|---|---|---|---|---|
| killNode | 3 | 1500 ms | 1700 ms | 2500 ms |
| zone | 1 | 12 ms | 12 ms | 12 ms |
`
	if out.String() != want {
		t.Errorf("table:\n%s", out.String())
	}
}

// TestRulesText guards against rules of a measurement that the programs refuse,
// have another size than asked for, or do not differ from the ones before.
func TestRulesText(t *testing.T) {
	for _, lines := range []int{3, 40} {
		text := rulesText(lines, 256, 1)
		set, faults := rules.Parse(text)
		if len(faults) > 0 || strings.Count(text, "\n") != lines || set.Upstreams[0].Partitions != 256 {
			t.Errorf("%d lines: %v\n%s", lines, faults, text)
		}
		if text == rulesText(lines, 256, 2) {
			t.Errorf("two variants are the same")
		}
	}
}

// TestIsSettled guards against measurements that begin before the group is at
// rest.
func TestIsSettled(t *testing.T) {
	node := func(server string, revision uint64) *wirev1.NodeStatus {
		return &wirev1.NodeStatus{Node: &wirev1.Node{Name: "n", BackendServer: &wirev1.BackendServer{Name: server}}, LeaseLeftMs: 1, RulesRevision: revision}
	}
	whole := &wirev1.StatusResponse{Nodes: []*wirev1.NodeStatus{node("a", 2), node("b", 2)}}
	if err := isSettled(whole, 2, 2); err != nil {
		t.Error(err)
	}
	for want, s := range map[string]*wirev1.StatusResponse{
		"1 nodes of 2":               {Nodes: whole.Nodes[:1]},
		"3 partitions without":       {Nodes: whole.Nodes, UnassignedPartitions: 3},
		"n has no backend server":    {Nodes: []*wirev1.NodeStatus{node("a", 2), node("", 2)}},
		"n is at revision 1, expect": {Nodes: []*wirev1.NodeStatus{node("a", 2), node("b", 1)}},
	} {
		if err := isSettled(s, 2, 2); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v, want %q", err, want)
		}
	}
}

// TestMostPartitions guards against an experiment that loses a node without
// work.
func TestMostPartitions(t *testing.T) {
	s := &wirev1.StatusResponse{}
	if _, err := mostPartitions(s); err == nil {
		t.Error("no node, no error")
	}
	for name, partitions := range map[string]uint32{"a": 3, "b": 9, "c": 1} {
		s.Nodes = append(s.Nodes, &wirev1.NodeStatus{Node: &wirev1.Node{Name: name}, Partitions: partitions})
	}
	if name, err := mostPartitions(s); name != "b" || err != nil {
		t.Errorf("%q, %v", name, err)
	}
}

// TestLogSize guards against a size of the log that leaves out files or counts
// those of another member.
func TestLogSize(t *testing.T) {
	dir := t.TempDir()
	for name, size := range map[string]int{"a/log-1": 100, "a/sub/snapshot": 23, "b/log-1": 7} {
		path := filepath.Join(dir, name)
		if err := os.MkdirAll(filepath.Dir(path), 0o750); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, make([]byte, size), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	r := &run{Config: Config{Folders: []string{filepath.Join(dir, "a"), filepath.Join(dir, "b")}}, group: newOperators(nil)}
	if size, err := r.logSize(); size != 123 || err != nil {
		t.Errorf("%d bytes, %v", size, err)
	}
}

// TestOrder guards against an order to the fleet that fails without being
// noticed, or that names other nodes.
func TestOrder(t *testing.T) {
	got := make(chan string, 1)
	fleet := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got <- r.Method + " " + r.URL.String()
		if r.URL.Path == "/stop" {
			http.Error(w, "node 3 does not stop", http.StatusInternalServerError)
		}
	}))
	defer fleet.Close()
	r := &run{Config: Config{Orders: strings.TrimPrefix(fleet.URL, "http://"), Out: io.Discard}}
	if err := r.order(context.Background(), "kill", 1, 5, 12); err != nil {
		t.Error(err)
	}
	if q := <-got; q != "POST /kill?from=1&step=5&count=12" {
		t.Errorf("order %q", q)
	}
	if err := r.order(context.Background(), "stop", 0, 1, 1); err == nil || !strings.Contains(err.Error(), "node 3 does not stop") {
		t.Errorf("a failed order: %v", err)
	}
}
