package testkit

import (
	"bytes"
	"sync"
)

// Buffer keeps what is written to it. Unlike a bytes.Buffer it is safe for
// concurrent use.
type Buffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

// Write keeps the bytes.
func (b *Buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

// String returns what has been written so far.
func (b *Buffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.String()
}
