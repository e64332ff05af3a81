package main

import (
	"bytes"
	"io"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// lockedBuffer is what a program has written so far.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) await(t *testing.T, text string, times int) {
	t.Helper()
	for range 3000 {
		l.mu.Lock()
		found := strings.Count(l.b.String(), text)
		l.mu.Unlock()
		if found >= times {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("%q was not written %d times:\n%s", text, times, l.b.String())
}

// TestHangUpDoesNotEndTheNode guards against a SIGHUP, as service managers send it
// after a change of settings, that ends the node without a drain. Faulty settings
// must not end it either. The soak found it (seeds 501 and 508 of 8 s).
func TestHangUpDoesNotEndTheNode(t *testing.T) {
	file := filepath.Join(t.TempDir(), "node.ini")
	write := func(text string) {
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	const valid = `[node]
name = node-1
availabilityZone = zone-1
controlMembers = 127.0.0.1:1
nodeSecret = a secret of sixteen bytes
[listen]
callers = 127.0.0.1:0
peer = 127.0.0.1:0
backend = 127.0.0.1:0
operator = 127.0.0.1:0
[stop]
drainTimeout = 0s
`
	write(valid)
	var out lockedBuffer
	code := make(chan int, 1)
	go func() { code <- run([]string{"--config", file}, &out, io.Discard) }()
	out.await(t, `"message":"listening"`, 1)
	hangUp := func() {
		if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
	}
	hangUp()
	out.await(t, `"message":"settings read again"`, 1)
	write("[node\n")
	hangUp()
	out.await(t, `"message":"settings read again"`, 2)
	out.await(t, `"error":"`+file, 1)
	if err := syscall.Kill(os.Getpid(), syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if got := <-code; got != exitOK {
		t.Errorf("exit code %d:\n%s", got, out.b.String())
	}
}
