package faults_test

import (
	"bytes"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jujubeknot/jujubeknot/bench/faults"
)

// newProxy returns a proxy whose listener is not used. It must be called
// outside of the synctest bubble, so that its goroutines do not belong to the
// bubble.
func newProxy(t *testing.T) *faults.Proxy {
	t.Helper()
	p, err := faults.New("127.0.0.1:1")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := p.Close(); err != nil {
			t.Error(err)
		}
	})
	return p
}

// connect forwards between two pipes and returns the ends that the client and
// the target use.
func connect(p *faults.Proxy) (client, target net.Conn) {
	client, inner := net.Pipe()
	target, outer := net.Pipe()
	go p.Forward(inner, outer)
	synctest.Wait()
	return client, target
}

// arrival reads n bytes and returns how long it took until the last one
// arrived.
func arrival(t *testing.T, c net.Conn, n int) time.Duration {
	t.Helper()
	start := time.Now()
	if _, err := io.ReadFull(c, make([]byte, n)); err != nil {
		t.Fatal(err)
	}
	return time.Since(start)
}

func write(t *testing.T, c net.Conn, n int) {
	t.Helper()
	if _, err := c.Write(bytes.Repeat([]byte{'x'}, n)); err != nil {
		t.Error(err)
	}
}

// TestShapes guards against delays and throughputs that differ from those of
// the shape, and against shapes that affect the other direction.
func TestShapes(t *testing.T) {
	p := newProxy(t)
	synctest.Test(t, func(t *testing.T) {
		client, target := connect(p)
		defer p.Cut()
		p.Set(faults.DirectionUp, faults.Shape{Delay: 30 * time.Millisecond})
		write(t, client, 10)
		if d := arrival(t, target, 10); d != 30*time.Millisecond {
			t.Errorf("bytes arrive after %v, want 30ms", d)
		}
		go write(t, target, 10)
		if d := arrival(t, client, 10); d != 0 {
			t.Errorf("bytes of the other direction arrive after %v, want at once", d)
		}
		p.Set(faults.DirectionUp, faults.Shape{BytesPerSecond: 1000})
		go write(t, client, 500)
		if d := arrival(t, target, 500); d != 500*time.Millisecond {
			t.Errorf("500 bytes at 1000 per second take %v, want 500ms", d)
		}
	})
}

// TestSilence guards against bytes that are forwarded in a silent direction,
// and against bytes that are lost when the silence ends.
func TestSilence(t *testing.T) {
	p := newProxy(t)
	synctest.Test(t, func(t *testing.T) {
		client, target := connect(p)
		defer p.Cut()
		p.Set(faults.DirectionUp, faults.Shape{Silent: true})
		write(t, client, 10)
		go func() {
			time.Sleep(time.Hour)
			p.Heal()
		}()
		if d := arrival(t, target, 10); d != time.Hour {
			t.Errorf("bytes arrive after %v, want 1h, the end of the silence", d)
		}
	})
}

// TestHalfOpen guards against a half-open connection that forwards bytes after
// Heal, and against new connections that are half-open too.
func TestHalfOpen(t *testing.T) {
	p := newProxy(t)
	synctest.Test(t, func(t *testing.T) {
		oldClient, oldTarget := connect(p)
		p.SilenceOpen(faults.DirectionDown)
		newClient, newTarget := connect(p)
		defer p.Cut()
		p.Heal()
		go write(t, oldTarget, 5)
		go write(t, newTarget, 5)
		arrival(t, newClient, 5)
		if err := oldClient.SetReadDeadline(time.Now().Add(time.Hour)); err != nil {
			t.Fatal(err)
		}
		if n, err := oldClient.Read(make([]byte, 5)); err == nil {
			t.Errorf("read %d bytes from the half-open connection, want an error", n)
		}
		// The other direction still works.
		go write(t, oldClient, 5)
		arrival(t, oldTarget, 5)
	})
}

// TestTruncate guards against connections that are cut before or after the
// number of bytes.
func TestTruncate(t *testing.T) {
	p := newProxy(t)
	synctest.Test(t, func(t *testing.T) {
		p.Truncate(faults.DirectionDown, 7)
		client, target := connect(p)
		go func() {
			// The proxy cuts the connection, so the write may fail.
			_, _ = target.Write(make([]byte, 20))
		}()
		got, err := io.ReadAll(client)
		if len(got) != 7 || err != nil {
			t.Errorf("read %d bytes and error %v, want 7 bytes and the end of file", len(got), err)
		}
	})
}

// TestCutAndRefuse guards against connections that stay open after Cut, and
// against a port that is not opened again after Refuse.
func TestCutAndRefuse(t *testing.T) {
	echo, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = echo.Close() }()
	go func() {
		for {
			c, err := echo.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(c, c)
				_ = c.Close()
			}()
		}
	}()
	p, err := faults.New(echo.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = p.Close() }()
	dial := func() net.Conn {
		c, err := net.Dial("tcp", p.Address())
		if err != nil {
			t.Fatal(err)
		}
		write(t, c, 3)
		arrival(t, c, 3)
		return c
	}
	c := dial()
	p.Cut()
	if _, err := c.Read(make([]byte, 1)); err == nil {
		t.Error("read from a connection after Cut: no error, want one")
	}
	if err := p.Refuse(true); err != nil {
		t.Fatal(err)
	}
	if c, err := net.Dial("tcp", p.Address()); err == nil {
		_ = c.Close()
		t.Error("a connection was accepted after Refuse(true), want it refused")
	}
	if err := p.Refuse(false); err != nil {
		t.Fatal(err)
	}
	_ = dial().Close()
	if _, total := p.Connections(); total != 2 {
		t.Errorf("%d connections so far, want 2", total)
	}
}
