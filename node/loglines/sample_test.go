package loglines_test

import (
	"fmt"
	"testing"

	"github.com/jujubeknot/jujubeknot/node/loglines"
)

// TestSample guards against a sample that has not the requested size, omits errors,
// selects other requests at one node than at another, or does not count the lines
// that it omits.
func TestSample(t *testing.T) {
	const requests = 100_000
	entry, owner := loglines.NewSample(100), loglines.NewSample(100)
	written := 0
	for i := range requests {
		id := fmt.Sprintf("5f0c1d2e3a4b5c6d-%x", i)
		omitted := entry.Omit(id, 200)
		if omitted != owner.Omit(id, 404) {
			t.Fatalf("%s: the line is written at one node only", id)
		}
		if entry.Omit(id, 500) || owner.Omit(id, 503) {
			t.Fatalf("%s: the line of an error is omitted", id)
		}
		if !omitted {
			written++
		}
	}
	if written < 900 || written > 1100 {
		t.Errorf("got %d lines of %d requests, want about 1 in 100", written, requests)
	}
	if entry.Omitted() != uint64(requests-written) {
		t.Errorf("got %d lines counted as omitted, want %d", entry.Omitted(), requests-written)
	}
	for _, interval := range []int{0, 1} {
		if s := loglines.NewSample(interval); s.Omit("a", 200) || s.Omit("b", 200) || s.Omitted() != 0 {
			t.Errorf("sample of 1 in %d omits a line", interval)
		}
	}
	var unset *loglines.Sample
	if unset.Omit("a", 200) || unset.Omitted() != 0 {
		t.Error("nil sample omits a line")
	}
}
