package pipeline_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/jujubeknot/jujubeknot/node/internal/pipeline"
)

// TestDeadlineAfterBodyIsNotALeaving guards against a deadline for a request body that
// is set after the body was read completely, ends the wait for the next request, and
// is taken for the end of the connection.
func TestDeadlineAfterBodyIsNotALeaving(t *testing.T) {
	connect := start(t, &pipeline.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		// The server waits for the next request meanwhile.
		time.Sleep(20 * time.Millisecond)
		if err := http.NewResponseController(w).SetReadDeadline(time.Unix(1, 0)); err != nil {
			t.Errorf("SetReadDeadline: %v", err)
		}
		select {
		case <-r.Context().Done():
			w.WriteHeader(http.StatusConflict)
		case <-time.After(50 * time.Millisecond):
		}
	})})
	c := connect()
	br := bufio.NewReader(c)
	for range 2 {
		send(t, c, post)
		if r, _ := read(t, br, "POST"); r.StatusCode != http.StatusOK || r.Close {
			t.Fatalf("got status %d, close %v; want 200 without close", r.StatusCode, r.Close)
		}
	}
}

// TestDeadlineAfterBodyKeepsHeaderTimeout guards against a deadline for a request body
// that is removed after the body was read completely, and with it the bound of the
// next header, also within its first line.
func TestDeadlineAfterBodyKeepsHeaderTimeout(t *testing.T) {
	for _, part := range []string{"GET / HT", "GET / HTTP/1.1\r\nHost: h\r\n"} {
		connect := start(t, &pipeline.Server{HeaderTimeout: 100 * time.Millisecond, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			time.Sleep(20 * time.Millisecond)
			_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
		})})
		c := connect()
		_ = c.SetDeadline(time.Now().Add(2 * time.Second))
		send(t, c, post+part)
		br := bufio.NewReader(c)
		read(t, br, "POST")
		if r, err := http.ReadResponse(br, nil); err != nil || r.StatusCode != http.StatusRequestTimeout || !r.Close {
			t.Errorf("%q: got %v, error %v; want 408 and close", part, r, err)
		}
	}
}

// TestDeadlineEndsBodyRead guards against a deadline that no longer ends the wait for
// the rest of a request body.
func TestDeadlineEndsBodyRead(t *testing.T) {
	connect := start(t, &pipeline.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(20 * time.Millisecond))
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			w.WriteHeader(http.StatusRequestTimeout)
		}
	})})
	c := connect()
	send(t, c, post[:len(post)-1])
	if r, _ := read(t, bufio.NewReader(c), "POST"); r.StatusCode != http.StatusRequestTimeout || !r.Close {
		t.Errorf("got status %d, close %v; want 408 and close", r.StatusCode, r.Close)
	}
}

// TestLeavingCancelsRequests guards against requests that keep running after their
// caller has ended its sending direction, also in the middle of a further header or
// behind a malformed request, or has reset the connection.
func TestLeavingCancelsRequests(t *testing.T) {
	halfClose := func(c *net.TCPConn) error { return c.CloseWrite() }
	reset := func(c *net.TCPConn) error {
		_ = c.SetLinger(0)
		return c.Close()
	}
	for _, tt := range []struct {
		name, further string
		leave         func(*net.TCPConn) error
	}{
		{"half-close", "", halfClose},
		{"half-close in a header", "GET / HT", halfClose},
		{"reset", "", reset},
		{"reset in a header", "GET / HT", reset},
		{"half-close behind a malformed request", "nonsense\r\n\r\n", halfClose},
		{"reset behind a malformed request", "nonsense\r\n\r\n", reset},
	} {
		t.Run(tt.name, func(t *testing.T) {
			began, ended := make(chan struct{}), make(chan error, 1)
			connect := start(t, &pipeline.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				close(began)
				select {
				case <-r.Context().Done():
				case <-time.After(time.Second):
				}
				ended <- r.Context().Err()
			})})
			c := connect()
			send(t, c, get("/"))
			<-began
			send(t, c, tt.further)
			time.Sleep(20 * time.Millisecond)
			if err := tt.leave(c.(*net.TCPConn)); err != nil {
				t.Fatal(err)
			}
			if err := <-ended; err != context.Canceled {
				t.Errorf("the context of the request ended with %v, want %v", err, context.Canceled)
			}
		})
	}
}
