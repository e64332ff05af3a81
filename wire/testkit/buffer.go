package testkit

import (
	"bytes"
	"sync"
)

// Buffer stores what is written to it. Unlike bytes.Buffer, it is safe for
// concurrent use. The zero value is ready to use.
type Buffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

// Write appends p to the buffer. It never fails.
func (b *Buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

// String returns everything that was written so far.
func (b *Buffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.String()
}
