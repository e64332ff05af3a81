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

// TestLinesAreWrittenInTime guards against lines that stay in the buffer. Each line
// must be written within 100 ms, also after a time without lines, and at the end.
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
				t.Errorf("got output %q, want %q", out.String(), want)
			}
		}
		_, _ = w.Write([]byte("b\n"))
		stop()
		<-ended
		if out.String() != "a\na\nb\n" {
			t.Errorf("got output %q at the end, want a, a and b", out.String())
		}
	})
}

// blockedWriter blocks all writes until it is released.
type blockedWriter struct {
	began, release chan struct{}
	once           sync.Once
	bytes.Buffer
}

// Write waits for the release.
func (b *blockedWriter) Write(p []byte) (int, error) {
	b.once.Do(func() { close(b.began) })
	<-b.release
	return b.Buffer.Write(p)
}

// TestSlowReaderDoesNotBlockWrites guards against requests that wait because the
// reader of the log has stopped, against memory that grows with the unread lines,
// and against lines that are dropped without a report.
func TestSlowReaderDoesNotBlockWrites(t *testing.T) {
	out := &blockedWriter{began: make(chan struct{}), release: make(chan struct{})}
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
		t.Errorf("got %d bytes and %d lines after the reader had stopped, want about 1 MiB", len(text), written)
	}
	if report := fmt.Sprintf(`"omitted":%d,`, lines+1-written); !strings.Contains(text, report) {
		t.Errorf("no line reports %s", report)
	}
}

// overlapping is the output of a Writer. It writes another line to the Writer during
// each write, and checks that the lines which it was given do not change meanwhile.
type overlapping struct {
	t     *testing.T
	w     *loglines.Writer
	lines int
}

// Write compares the lines before and after another line was buffered.
func (o *overlapping) Write(p []byte) (int, error) {
	before := string(p)
	o.lines++
	_, _ = fmt.Fprintf(o.w, "other %d\n", o.lines)
	if string(p) != before {
		o.t.Errorf("buffer changed while it was written: got %.20q", p)
	}
	return len(p), nil
}

// TestBuffersDoNotOverlap guards against lines that are overwritten by later ones
// while they are written. This could happen after a burst, whose buffer is too large
// to be used again.
func TestBuffersDoNotOverlap(t *testing.T) {
	out := &overlapping{t: t}
	w := loglines.New(out)
	out.w = w
	for _, size := range []int{10, 500 << 10, 10, 10, 10} {
		_, _ = w.Write([]byte(strings.Repeat("x", size) + "\n"))
		_ = w.Flush()
	}
}
