package backend_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/jujubeknot/jujubeknot/bench/backend"
)

// A run that a killed process never ended must not count as running for ever,
// and runs of two processes must not be taken for each other.
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
		t.Fatalf("kept %d entries, error %v; expected all in the stream", len(kept), r.Err())
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
		t.Fatalf("kinds %q", got)
	}
	last := entries[len(entries)-1]
	if last.Run != 102 || !last.At.Equal(time.Date(2026, 12, 4, 10, 0, 2, 0, time.UTC)) {
		t.Fatalf("run %d stopped at %v, expected 102 at the last entry", last.Run, last.At)
	}
}

// A damaged line must not pass for the end of the records.
func TestReadStreamRefusesDamage(t *testing.T) {
	for _, text := range []string{`{"At":`, `{"Kind":"start"}`, "{}\nnonsense\n"} {
		if _, err := backend.ReadStream(strings.NewReader(text), 0); err == nil {
			t.Errorf("records %q were accepted", text)
		}
	}
}
