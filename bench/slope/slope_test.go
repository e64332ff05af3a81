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

// TestSpread guards against a wrong minimum, median or maximum, and against a
// summary that reorders the caller's durations.
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
			t.Errorf("%v: got %+v, want %+v and the times in their order", c.times, got, c.want)
		}
	}
	var out strings.Builder
	(&run{Config: Config{Out: &out}}).printSpread("loss", []time.Duration{30 * ms, 1500*time.Microsecond + 2*ms, 10 * ms})
	if want := "loss: 3 times, least 4ms, median 10ms, worst 30ms\n"; out.String() != want {
		t.Errorf("got %q, want %q", out.String(), want)
	}
}

// TestUsageRate guards against rates that are not per second, and against memory
// sizes taken from the first sample instead of the second.
func TestUsageRate(t *testing.T) {
	at := time.Unix(100, 0)
	got := usageRate(procfs.Usage{At: at, Processor: time.Second, Resident: 1, Peak: 2, In: 100, Out: 1000},
		procfs.Usage{At: at.Add(4 * time.Second), Processor: 3 * time.Second, Resident: 5, Peak: 6, In: 500, Out: 1200})
	if want := (rate{cores: 0.5, resident: 5, peak: 6, inBytesPerSecond: 100, outBytesPerSecond: 50, inBytes: 400, outBytes: 200}); got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

// TestTable guards against an event that is missing from the table of recovery
// times, or is shown with the times of another event.
func TestTable(t *testing.T) {
	var out strings.Builder
	r := NewRecovery(RecoveryConfig{Out: &out})
	r.eventNames = []string{"killNode", "zone"}
	r.durations["zone"], r.durations["killNode"] = []time.Duration{12 * ms}, []time.Duration{1700 * ms, 1500 * ms, 2500 * ms}
	r.table()
	const want = `| event | repetitions | least | median | worst |
|---|---|---|---|---|
| killNode | 3 | 1500 ms | 1700 ms | 2500 ms |
| zone | 1 | 12 ms | 12 ms | 12 ms |
`
	if out.String() != want {
		t.Errorf("got table:\n%s\nwant:\n%s", out.String(), want)
	}
}

// TestRulesText guards against generated rules that do not parse, have another
// number of lines or partitions than requested, or do not differ between variants.
func TestRulesText(t *testing.T) {
	for _, lines := range []int{3, 40} {
		text := rulesText(lines, 256, 1)
		set, faults := rules.Parse(text)
		if len(faults) > 0 || strings.Count(text, "\n") != lines || set.Upstreams[0].Partitions != 256 {
			t.Errorf("want %d lines, 256 partitions and no errors, got errors %v in\n%s", lines, faults, text)
		}
		if text == rulesText(lines, 256, 2) {
			t.Errorf("two variants have the same text")
		}
	}
}

// TestIsSettled guards against measurements that begin before the group is
// settled, because a node, an owner, a backend server or a revision is missing.
func TestIsSettled(t *testing.T) {
	node := func(server string, revision uint64) *wirev1.NodeStatus {
		return &wirev1.NodeStatus{Node: &wirev1.Node{Name: "n", BackendServer: &wirev1.BackendServer{Name: server}}, LeaseLeftMs: 1, RulesRevision: revision}
	}
	complete := &wirev1.StatusResponse{Nodes: []*wirev1.NodeStatus{node("a", 2), node("b", 2)}}
	if err := isSettled(complete, 2, 2); err != nil {
		t.Error(err)
	}
	for want, s := range map[string]*wirev1.StatusResponse{
		"1 nodes of 2":               {Nodes: complete.Nodes[:1]},
		"3 partitions without":       {Nodes: complete.Nodes, UnassignedPartitions: 3},
		"n has no backend server":    {Nodes: []*wirev1.NodeStatus{node("a", 2), node("", 2)}},
		"n is at revision 1, expect": {Nodes: []*wirev1.NodeStatus{node("a", 2), node("b", 1)}},
	} {
		if err := isSettled(s, 2, 2); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("got error %v, want %q", err, want)
		}
	}
}

// TestMostPartitions guards against a recovery measurement that kills a node
// without partitions.
func TestMostPartitions(t *testing.T) {
	s := &wirev1.StatusResponse{}
	if _, err := mostPartitions(s); err == nil {
		t.Error("no node registered: got no error")
	}
	for name, partitions := range map[string]uint32{"a": 3, "b": 9, "c": 1} {
		s.Nodes = append(s.Nodes, &wirev1.NodeStatus{Node: &wirev1.Node{Name: name}, Partitions: partitions})
	}
	if name, err := mostPartitions(s); name != "b" || err != nil {
		t.Errorf("got %q, %v, want \"b\"", name, err)
	}
}

// TestLogSize guards against a size that omits files of the leader or includes
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
	r := &run{Config: Config{Folders: []string{filepath.Join(dir, "a"), filepath.Join(dir, "b")}}, group: newOperatorClient(nil)}
	if size, err := r.logSize(); size != 123 || err != nil {
		t.Errorf("got %d bytes, %v, want 123", size, err)
	}
}

// TestCommand guards against a command to the fleet whose failure goes unnoticed,
// or that selects other nodes.
func TestCommand(t *testing.T) {
	got := make(chan string, 1)
	fleet := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got <- r.Method + " " + r.URL.String()
		if r.URL.Path == "/stop" {
			http.Error(w, "node 3 does not stop", http.StatusInternalServerError)
		}
	}))
	defer fleet.Close()
	r := &run{Config: Config{Orders: strings.TrimPrefix(fleet.URL, "http://"), Out: io.Discard}}
	if err := r.command(context.Background(), "kill", 1, 5, 12); err != nil {
		t.Error(err)
	}
	if q := <-got; q != "POST /kill?from=1&step=5&count=12" {
		t.Errorf("got request %q", q)
	}
	if err := r.command(context.Background(), "stop", 0, 1, 1); err == nil || !strings.Contains(err.Error(), "node 3 does not stop") {
		t.Errorf("failed command: got error %v, want the text of the response", err)
	}
}
