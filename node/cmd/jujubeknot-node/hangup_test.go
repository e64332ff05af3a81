package main

import (
	"io"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/jujubeknot/jujubeknot/wire/testkit"
)

// await waits until a program has written a text a number of times.
func await(t *testing.T, out *testkit.Buffer, text string, times int) {
	t.Helper()
	for range 3000 {
		if strings.Count(out.String(), text) >= times {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("%q was not written %d times:\n%s", text, times, out)
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
	out := &testkit.Buffer{}
	code := make(chan int, 1)
	go func() { code <- run([]string{"--config", file}, out, io.Discard) }()
	await(t, out, `"message":"listening"`, 1)
	hangUp := func() {
		if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
	}
	hangUp()
	await(t, out, `"message":"settings read again"`, 1)
	write("[node\n")
	hangUp()
	await(t, out, `"message":"settings read again"`, 2)
	await(t, out, `"error":"`+file, 1)
	if err := syscall.Kill(os.Getpid(), syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if got := <-code; got != exitOK {
		t.Errorf("exit code %d:\n%s", got, out)
	}
}
