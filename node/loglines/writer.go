// Package loglines bounds the cost and the volume of log output. Lines are
// written in batches, because one write call per line would cost more than the
// routing decision that the line reports. A sample bounds the number of lines.
package loglines

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// flushBytes and flushInterval bound the lines that are lost in a crash.
	flushBytes    = 64 << 10
	flushInterval = 100 * time.Millisecond
	// maxBufferedBytes bounds the lines that are buffered for a slow reader. It
	// is enough for a few seconds of a busy node.
	maxBufferedBytes = 1 << 20
)

// Writer buffers log lines and writes them when 64 KiB are buffered, or 100 ms
// after the first of them. Write never waits for the reader of the log: further
// lines are dropped while 1 MiB is buffered, and a log line reports how many.
// It is safe for concurrent use.
type Writer struct {
	out io.Writer
	// nonEmpty receives a value with the first line after a flush, full when
	// flushBytes are buffered.
	nonEmpty, full chan struct{}

	mu     sync.Mutex
	buffer []byte
	// dropped is the number of lines that were dropped and not yet reported.
	dropped int
	err     error

	// writing is held while out is written to. spare is the buffer that was
	// written last and is used again.
	writing sync.Mutex
	spare   []byte
}

// New returns a Writer to out. Lines are written by Run and by Flush.
func New(out io.Writer) *Writer {
	return &Writer{out: out, nonEmpty: make(chan struct{}, 1), full: make(chan struct{}, 1), buffer: make([]byte, 0, 2*flushBytes)}
}

// Write buffers one line. The error is that of the latest write to the output.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.buffer)+len(line) > maxBufferedBytes {
		w.dropped++
		return len(line), w.err
	}
	if len(w.buffer) == 0 {
		notify(w.nonEmpty)
	}
	w.buffer = append(w.buffer, line...)
	if len(w.buffer) >= flushBytes {
		notify(w.full)
	}
	return len(line), w.err
}

func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Flush writes the buffered lines and waits until they are written.
func (w *Writer) Flush() error {
	w.writing.Lock()
	defer w.writing.Unlock()
	w.mu.Lock()
	lines, dropped := w.buffer, w.dropped
	w.buffer, w.spare, w.dropped = w.spare[:0], nil, 0
	w.mu.Unlock()
	if dropped > 0 {
		lines = fmt.Appendf(lines, `{"level":"warn","omitted":%d,"message":"log lines were left out: their reader was too slow"}`+"\n", dropped)
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

// Run flushes the buffer when 64 KiB are buffered, or 100 ms after the first
// line. Without lines it stays idle. It returns when the context ends, after a
// last flush.
func (w *Writer) Run(ctx context.Context) {
	// No logger is left to report an error to.
	defer func() { _ = w.Flush() }()
	timer := time.NewTimer(flushInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.nonEmpty:
		}
		timer.Reset(flushInterval)
		select {
		case <-ctx.Done():
			return
		case <-w.full:
		case <-timer.C:
		}
		// The next call of Write returns the error to the logger.
		_ = w.Flush()
	}
}
