package main

import (
	"bufio"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

// record is the file with what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	begun time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, begun: time.Now()}, nil
}

// add writes one line.
func (r *record) add(who, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f %-14s %s\n", time.Since(r.begun).Seconds(), who, fmt.Sprintf(format, args...))
}

// attempt is a request of a client with its own id.
type attempt struct {
	id, method, path, host, key string
	deadline                    time.Duration
	header                      map[string]string
	body                        []byte
}

// result is what a client saw.
type result struct {
	status          int
	signature, id   string
	body            string
	err             error
	took            time.Duration
	connectionClose bool
}

func newID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

func (a *attempt) bytes() []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nJujubeknot-Attempt-Id: %s\r\nJujubeknot-Request-Deadline-Ms: %d\r\n", a.method, a.path, a.host, a.id, a.deadline.Milliseconds())
	if a.key != "" {
		fmt.Fprintf(&b, "Jujubeknot-Shard-Key: %s\r\n", a.key)
	}
	for name, value := range a.header {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	if a.method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(a.body))
	}
	b.WriteString("\r\n")
	return append([]byte(b.String()), a.body...)
}

// send sends an attempt to a node on a new connection and waits for the answer.
func (a *attempt) send(rec *record, m *machine) result {
	return a.sendAndLeave(rec, m, 0)
}

// sendAndLeave is send, but the client closes the connection after the given time. 0 means
// that it waits until the deadline.
func (a *attempt) sendAndLeave(rec *record, m *machine, leave time.Duration) result {
	begun := time.Now()
	rec.add("client", "sends %s %s %s to %s %v", a.id, a.method, a.path, m.name, a.header)
	nc, err := net.DialTimeout("tcp", m.address(portOutbound), time.Second)
	if err != nil {
		return result{err: err}
	}
	defer func() { _ = nc.Close() }()
	if _, err := nc.Write(a.bytes()); err != nil {
		return result{err: err}
	}
	wait := a.deadline + 500*time.Millisecond
	if leave > 0 {
		wait = leave
	}
	_ = nc.SetReadDeadline(time.Now().Add(wait))
	r, err := http.ReadResponse(bufio.NewReader(nc), &http.Request{Method: a.method})
	if err != nil {
		rec.add("client", "%s ends without an answer: %v", a.id, err)
		return result{err: err, took: time.Since(begun)}
	}
	body, err := io.ReadAll(r.Body)
	out := result{
		status: r.StatusCode, signature: r.Header.Get("Jujubeknot-Response-Signature"), id: r.Header.Get("Jujubeknot-Attempt-Id"),
		body: string(body), err: err, took: time.Since(begun), connectionClose: r.Close,
	}
	rec.add("client", "%s is answered %d, signature %q, body %q, %v", a.id, out.status, out.signature, out.body, err)
	return out
}
