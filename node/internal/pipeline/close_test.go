package pipeline_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/jujubeknot/jujubeknot/node/internal/pipeline"
)

// TestCloseOfHandlerSparesReadRequests guards against a response with "Connection:
// close" that ends the connection under a later request that already runs.
func TestCloseOfHandlerSparesReadRequests(t *testing.T) {
	began, release := make(chan string, 3), make(chan struct{})
	connect := start(t, &pipeline.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		began <- r.URL.Path
		if r.URL.Path == "/1" {
			<-release
			w.Header().Set("Connection", "close")
		} else {
			select {
			case <-release:
			case <-r.Context().Done():
			}
			time.Sleep(20 * time.Millisecond)
		}
		_, _ = fmt.Fprint(w, r.URL.Path)
	})})
	c := connect()
	send(t, c, get("/1")+get("/2"))
	<-began
	<-began
	close(release)
	br := bufio.NewReader(c)
	if r, body := read(t, br, "GET"); body != "/1" || r.Close {
		t.Errorf("got response %q, close %v; want /1 without close", body, r.Close)
	}
	send(t, c, get("/3"))
	if r, body := read(t, br, "GET"); body != "/2" || !r.Close {
		t.Errorf("got response %q, close %v; want /2 with close", body, r.Close)
	}
	if _, err := br.ReadByte(); err != io.EOF {
		t.Errorf("read after the last response: got %v, want EOF", err)
	}
	if len(began) > 0 {
		t.Errorf("request %s ran although it was sent after a response with close", <-began)
	}
}

// TestNothingRunsBehindCallersLastRequest guards against a request that runs and
// gets no response because it follows one after which the connection ends.
func TestNothingRunsBehindCallersLastRequest(t *testing.T) {
	for _, first := range []string{"GET /1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", "GET /1 HTTP/1.0\r\nHost: h\r\n\r\n"} {
		second := make(chan struct{}, 1)
		connect := start(t, &pipeline.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path != "/1" {
				second <- struct{}{}
				return
			}
			select {
			case <-second:
				w.WriteHeader(http.StatusConflict)
			case <-time.After(50 * time.Millisecond):
			}
		})})
		c := connect()
		send(t, c, first+get("/2"))
		br := bufio.NewReader(c)
		if r, _ := read(t, br, "GET"); r.StatusCode != http.StatusOK || !r.Close {
			t.Errorf("%.30q: got status %d, close %v; want 200 and close", first, r.StatusCode, r.Close)
		}
		if _, err := br.ReadByte(); err != io.EOF {
			t.Errorf("%.30q: read after the last response: got %v, want EOF", first, err)
		}
	}
}

// TestLeavingAfterLastRequestCancels guards against requests that keep running after
// their caller has left a connection on which no further request is read.
func TestLeavingAfterLastRequestCancels(t *testing.T) {
	for _, fields := range []string{"", "Connection: close\r\n"} {
		began, ended := make(chan struct{}, 1), make(chan struct{}, 1)
		connect := start(t, &pipeline.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/first" {
				<-began
				w.Header().Set("Connection", "close")
				return
			}
			began <- struct{}{}
			<-r.Context().Done()
			ended <- struct{}{}
		})})
		c := connect()
		if fields == "" {
			send(t, c, get("/first")+get("/last"))
			read(t, bufio.NewReader(c), "GET")
		} else {
			send(t, c, "GET /last HTTP/1.1\r\nHost: h\r\n"+fields+"\r\n")
			<-began
		}
		// Requests that are not read must not hide the end of the connection.
		send(t, c, strings.Repeat(get("/unread"), 500))
		_ = c.Close()
		select {
		case <-ended:
		case <-time.After(waitTimeout):
			t.Fatalf("fields %q: the request was not cancelled after its caller disconnected", fields)
		}
	}
}
