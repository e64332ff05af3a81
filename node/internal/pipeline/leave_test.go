package pipeline_test

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/jujubeknot/jujubeknot/node/internal/pipeline"
)

// TestLeavingCancelsRequests guards against requests that keep running after their
// caller has ended its sending direction, also in the middle of a further header, or
// has reset the connection.
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
