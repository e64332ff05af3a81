package loglines_test

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jujubeknot/jujubeknot/node/loglines"
)

// TestLinesAreWrittenInTime guards against lines that stay in memory: each is
// written within 100 ms, also after a time without lines, and at the end.
func TestLinesAreWrittenInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		w := loglines.New(&out)
		ctx, stop := context.WithCancel(context.Background())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			w.Run(ctx)
		}()
		for _, want := range []string{"a\n", "a\na\n"} {
			time.Sleep(time.Minute)
			_, _ = w.Write([]byte("a\n"))
			time.Sleep(101 * time.Millisecond)
			synctest.Wait()
			if out.String() != want {
				t.Errorf("written: %q, want %q", out.String(), want)
			}
		}
		_, _ = w.Write([]byte("b\n"))
		stop()
		<-ended
		if out.String() != "a\na\nb\n" {
			t.Errorf("written at the end: %q", out.String())
		}
	})
}

// stuckReader reads nothing until it is released.
type stuckReader struct {
	began, release chan struct{}
	once           sync.Once
	bytes.Buffer
}

// Write waits for the release.
func (s *stuckReader) Write(p []byte) (int, error) {
	s.once.Do(func() { close(s.began) })
	<-s.release
	return s.Buffer.Write(p)
}

// TestSlowReaderBlocksNobody guards against requests that wait because the
// reader of the log has stopped, against memory that grows with what it has not
// read, and against lines that are left out without a word.
func TestSlowReaderBlocksNobody(t *testing.T) {
	out := &stuckReader{began: make(chan struct{}), release: make(chan struct{})}
	w := loglines.New(out)
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		w.Run(ctx)
	}()
	const lines = 5000
	line := []byte(strings.Repeat("x", 999) + "\n")
	_, _ = w.Write(line)
	<-out.began
	for range lines {
		_, _ = w.Write(line)
	}
	close(out.release)
	stop()
	<-ended
	text := out.String()
	written := strings.Count(text, string(line))
	if len(text) > 2<<20 || written < 500 {
		t.Errorf("%d bytes and %d lines of a reader that stopped, want about 1 MiB", len(text), written)
	}
	if told := fmt.Sprintf(`"omitted":%d,`, lines+1-written); !strings.Contains(text, told) {
		t.Errorf("no line tells %s", told)
	}
}

// overlapping writes a line to a writer while it is written to, and checks that
// what it was given does not change meanwhile.
type overlapping struct {
	t     *testing.T
	w     *loglines.Writer
	lines int
}

// Write compares the lines before and after another one was taken.
func (o *overlapping) Write(p []byte) (int, error) {
	before := string(p)
	o.lines++
	_, _ = fmt.Fprintf(o.w, "other %d\n", o.lines)
	if string(p) != before {
		o.t.Errorf("lines changed while they were written: %.20q", p)
	}
	return len(p), nil
}

// TestLinesDoNotOverlap guards against lines that are overwritten by later ones
// while they are written, after a burst whose buffer is too large to keep.
func TestLinesDoNotOverlap(t *testing.T) {
	out := &overlapping{t: t}
	w := loglines.New(out)
	out.w = w
	for _, size := range []int{10, 500 << 10, 10, 10, 10} {
		_, _ = w.Write([]byte(strings.Repeat("x", size) + "\n"))
		_ = w.Flush()
	}
}
