package backend_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/jujubeknot/jujubeknot/bench/backend"
)

// TestReadStreamEndsRunsOfKilledProcesses guards against runs that count as
// running for ever, because their process was killed before it wrote their end,
// and against runs of two processes that have the same number.
func TestReadStreamEndsRunsOfKilledProcesses(t *testing.T) {
	var stream bytes.Buffer
	r := backend.NewRecorder(0)
	r.Stream(&stream)
	s := backend.New(backend.Config{Name: "app-1", Upstream: "applications", Records: r, ConnectionCost: -1})
	if err := s.Start(); err != nil {
		t.Fatal(err)
	}
	s.Close()
	if kept, _ := r.Entries(); len(kept) != 0 || r.Err() != nil {
		t.Fatalf("recorder kept %d entries, error %v; want 0 entries and no error, all in the stream", len(kept), r.Err())
	}
	stream.WriteString(`{"At":"2026-12-04T10:00:00Z","Kind":0,"Server":"app-1","Run":1}
{"At":"2026-12-04T10:00:01Z","Kind":0,"Server":"app-1","Run":2}
{"At":"2026-12-04T10:00:02Z","Kind":1,"Server":"app-1","Run":1}
`)
	entries, err := backend.ReadStream(&stream, 100)
	if err != nil {
		t.Fatal(err)
	}
	var kinds []string
	for _, e := range entries {
		kinds = append(kinds, e.Kind.String())
	}
	if got := strings.Join(kinds, " "); got != "boot crash start start end stopped" {
		t.Fatalf("kinds %q, want \"boot crash start start end stopped\"", got)
	}
	last := entries[len(entries)-1]
	if last.Run != 102 || !last.At.Equal(time.Date(2026, 12, 4, 10, 0, 2, 0, time.UTC)) {
		t.Fatalf("run %d stopped at %v, want run 102 at the time of the last entry, 10:00:02", last.Run, last.At)
	}
}

// TestReadStreamRefusesDamage guards against a damaged line that is taken for
// the end of the records, so that the entries after it are lost without an
// error.
func TestReadStreamRefusesDamage(t *testing.T) {
	for _, text := range []string{`{"At":`, `{"Kind":"start"}`, "{}\nnonsense\n"} {
		if _, err := backend.ReadStream(strings.NewReader(text), 0); err == nil {
			t.Errorf("records %q: no error, want one for the damaged line", text)
		}
	}
}
