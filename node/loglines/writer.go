// Package loglines writes log lines in batches: one write call for each line
// would cost more than the routing decision that the line reports.
package loglines

import (
	"context"
	"io"
	"sync"
	"time"
)

const (
	// flushBytes and flushInterval bound the lines that a crash loses.
	flushBytes    = 64 << 10
	flushInterval = 100 * time.Millisecond
)

// Writer collects lines and writes them when 64 KiB have come together, 100 ms
// after the first of them, and on Flush. It is safe for concurrent use.
type Writer struct {
	out io.Writer
	// collected gets a value with the first line after a flush.
	collected chan struct{}

	mu     sync.Mutex
	buffer []byte
	err    error
}

// New returns a writer to out.
func New(out io.Writer) *Writer {
	return &Writer{out: out, collected: make(chan struct{}, 1), buffer: make([]byte, 0, 2*flushBytes)}
}

// Write takes one line. The error is that of an earlier write.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.buffer) == 0 {
		select {
		case w.collected <- struct{}{}:
		default:
		}
	}
	w.buffer = append(w.buffer, line...)
	if len(w.buffer) >= flushBytes {
		w.flush()
	}
	return len(line), w.err
}

// Flush writes what was collected.
func (w *Writer) Flush() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.flush()
	return w.err
}

func (w *Writer) flush() {
	if len(w.buffer) == 0 {
		return
	}
	_, w.err = w.out.Write(w.buffer)
	w.buffer = w.buffer[:0]
}

// Run flushes 100 ms after the first line that was collected, until the context
// ends, and once more then. Without lines it does nothing.
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
		case <-timer.C:
			_ = w.Flush()
		}
	}
}
