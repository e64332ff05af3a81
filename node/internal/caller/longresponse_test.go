package caller_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/jujubeknot/jujubeknot/core/outcome"
	"github.com/jujubeknot/jujubeknot/core/routing"
	"github.com/jujubeknot/jujubeknot/node/internal/caller"
	"github.com/jujubeknot/jujubeknot/node/internal/metrics"
	"github.com/jujubeknot/jujubeknot/node/internal/relay"
	"github.com/jujubeknot/jujubeknot/node/internal/view"
	"github.com/jujubeknot/jujubeknot/wire/boottime"
	"github.com/jujubeknot/jujubeknot/wire/headers"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// streamRemote is a Remote whose responses have the parts that it sends, with the
// length of all parts or, if that is -1, without a length.
type streamRemote struct {
	length int64
	parts  func(io.Writer)
	// closed gets a value when a response is closed.
	closed chan struct{}
}

func (s streamRemote) Do(context.Context, *wirev1.Node, *relay.Call) (*relay.Response, *outcome.Refusal) {
	r, w := io.Pipe()
	go func() {
		s.parts(w)
		_ = w.Close()
	}()
	return &relay.Response{Status: http.StatusOK, Header: http.Header{}, Length: s.length, Body: closeReporter{r, s.closed}}, nil
}

// closeReporter is a body that reports when it is closed.
type closeReporter struct {
	*io.PipeReader
	closed chan struct{}
}

func (c closeReporter) Close() error {
	select {
	case c.closed <- struct{}{}:
	default:
	}
	return c.PipeReader.Close()
}

// writeTimeout is that of the handlers of these tests.
const writeTimeout = 100 * time.Millisecond

// startCallers serves requests for /v/ and returns the address. It uses the server
// for pipelined requests, or that of net/http.
func startCallers(t *testing.T, remote caller.Remote, pipelined bool) string {
	t.Helper()
	table, err := routing.New().With(&wirev1.Update{
		Index: 1, Rules: &wirev1.RulesRevision{Revision: 1, Text: "upstream v unkeyed # a: b\nroute /v/ to v timeout=60s # a: b\n"},
		Nodes: []*wirev1.Node{{Incarnation: 7, Name: "vm-7", PeerAddress: "127.0.0.1:7", BackendServer: &wirev1.BackendServer{Name: "s7", Upstream: "v", Address: "127.0.0.1:70"}}},
	})
	if err != nil {
		t.Fatal(err)
	}
	h := caller.New(caller.Config{
		Log: zerolog.Nop(), Clock: boottime.Clock{}, View: view.New(table), Owner: rejectingOwner{t}, Remote: remote, Metrics: metrics.New(),
		WithoutLease: true, WriteTimeout: writeTimeout,
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := h.Server()
	serve, stop := server.Serve, server.Close
	if pipelined {
		p := h.PipelineServer(server)
		serve, stop = p.Serve, p.Close
	}
	ended := make(chan error, 1)
	go func() { ended <- serve(l) }()
	t.Cleanup(func() {
		_ = stop()
		if err := <-ended; err != http.ErrServerClosed {
			t.Errorf("the server ended with %v, want %v", err, http.ErrServerClosed)
		}
	})
	return l.Addr().String()
}

// TestLongResponseIsComplete guards against a response that is cut although its
// request has time left: its parts arrive over a longer time than one write may take.
func TestLongResponseIsComplete(t *testing.T) {
	const part, parts = 40_000, 6
	for _, length := range []int64{part * parts, -1} {
		remote := streamRemote{length: length, closed: make(chan struct{}, 1), parts: func(w io.Writer) {
			for range parts {
				time.Sleep(writeTimeout * 3 / 4)
				_, _ = io.WriteString(w, strings.Repeat("p", part))
			}
		}}
		for _, pipelined := range []bool{true, false} {
			address := startCallers(t, remote, pipelined)
			for _, http2 := range []bool{false, true} {
				protocols := new(http.Protocols)
				protocols.SetHTTP1(!http2)
				protocols.SetUnencryptedHTTP2(http2)
				client := &http.Client{Transport: &http.Transport{Protocols: protocols}}
				q, err := http.NewRequest(http.MethodGet, "http://"+address+"/v/x", nil)
				if err != nil {
					t.Fatal(err)
				}
				q.Header.Set(headers.Deadline, strconv.Itoa(60_000))
				r, err := client.Do(q)
				if err != nil {
					t.Errorf("pipelined %t, HTTP/2 %t, length %d: %v", pipelined, http2, length, err)
					continue
				}
				n, err := io.Copy(io.Discard, r.Body)
				_ = r.Body.Close()
				if err != nil || n != part*parts {
					t.Errorf("pipelined %t, HTTP/2 %t, length %d: got %d bytes and error %v, want %d and none", pipelined, http2, length, n, err, part*parts)
				}
				client.CloseIdleConnections()
			}
		}
	}
}

// TestStalledCallerIsCut guards against a caller that does not read its response and
// keeps connection and backend server for good.
func TestStalledCallerIsCut(t *testing.T) {
	for _, pipelined := range []bool{true, false} {
		remote := streamRemote{length: -1, closed: make(chan struct{}, 1), parts: func(w io.Writer) {
			for {
				if _, err := io.WriteString(w, strings.Repeat("p", 1<<20)); err != nil {
					return
				}
			}
		}}
		c, err := net.Dial("tcp", startCallers(t, remote, pipelined))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.WriteString(c, "GET /v/x HTTP/1.1\r\nHost: h\r\n"+headers.Deadline+": 200\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		select {
		case <-remote.closed:
		case <-time.After(20 * time.Second):
			t.Errorf("pipelined %t: the response was still being sent after 20s, want an end after its deadline of 200ms and the write timeout", pipelined)
		}
		_ = c.Close()
	}
}
