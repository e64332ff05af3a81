// Package loglines writes log lines in batches: one write call for each line
// would cost more than the routing decision that the line reports.
package loglines

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// flushBytes and flushInterval bound the lines that a crash loses.
	flushBytes    = 64 << 10
	flushInterval = 100 * time.Millisecond
	// maxBytes bounds the lines that wait for a slow reader, a few seconds of a
	// busy node.
	maxBytes = 1 << 20
)

// Writer collects lines and writes them when 64 KiB have come together and 100
// ms after the first of them. Write never waits for the reader: while 1 MiB
// waits, lines are left out, and a line tells how many. It is safe for
// concurrent use.
type Writer struct {
	out io.Writer
	// collected gets a value with the first line after a flush, full when
	// flushBytes have come together.
	collected, full chan struct{}

	mu     sync.Mutex
	buffer []byte
	// omitted lines have not been told yet.
	omitted int
	err     error

	// writing is held while out is written to; spare is the buffer written last.
	writing sync.Mutex
	spare   []byte
}

// New returns a writer to out. Lines are written while Run runs, and by Flush.
func New(out io.Writer) *Writer {
	return &Writer{out: out, collected: make(chan struct{}, 1), full: make(chan struct{}, 1), buffer: make([]byte, 0, 2*flushBytes)}
}

// Write takes one line. The error is that of an earlier write.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.buffer)+len(line) > maxBytes {
		w.omitted++
		return len(line), w.err
	}
	if len(w.buffer) == 0 {
		wake(w.collected)
	}
	w.buffer = append(w.buffer, line...)
	if len(w.buffer) >= flushBytes {
		wake(w.full)
	}
	return len(line), w.err
}

func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Flush writes what was collected, and waits for the reader.
func (w *Writer) Flush() error {
	w.writing.Lock()
	defer w.writing.Unlock()
	w.mu.Lock()
	lines, omitted := w.buffer, w.omitted
	w.buffer, w.spare, w.omitted = w.spare[:0], nil, 0
	w.mu.Unlock()
	if omitted > 0 {
		lines = fmt.Appendf(lines, `{"level":"warn","omitted":%d,"message":"log lines were left out: their reader was too slow"}`+"\n", omitted)
	}
	if cap(lines) <= 2*flushBytes {
		w.spare = lines
	}
	if len(lines) == 0 {
		return nil
	}
	_, err := w.out.Write(lines)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.err = err
	return err
}

// Run flushes 100 ms after the first line that was collected and whenever 64 KiB
// have come together, until the context ends, and once more then. Without lines
// it does nothing.
func (w *Writer) Run(ctx context.Context) {
	// There is nobody left to tell of an error at the end.
	defer func() { _ = w.Flush() }()
	timer := time.NewTimer(flushInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.collected:
		}
		timer.Reset(flushInterval)
		select {
		case <-ctx.Done():
			return
		case <-w.full:
		case <-timer.C:
		}
		// Write reports the error to the logger.
		_ = w.Flush()
	}
}
