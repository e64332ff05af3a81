package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

const host = "ficu95.example"

// answer is what a client got for one attempt.
type answer struct {
	status     int
	signature  string
	retryAfter string
	body       string
	err        error
}

// String describes the answer for the record.
func (a answer) String() string {
	if a.err != nil {
		return "no answer: " + a.err.Error()
	}
	text := fmt.Sprintf("status %d", a.status)
	if a.signature != "" {
		text += " with signature"
	}
	if a.retryAfter != "" {
		text += ", Retry-After " + a.retryAfter
	}
	return text
}

var clients = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16, IdleConnTimeout: 5 * time.Second}}

// send sends one attempt of a client to the node of a machine and waits for its
// answer until the deadline. key is the shard key, below 0 for none.
func send(m *machine, method, path, id string, key int, deadline time.Duration, body io.Reader, length int64) answer {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+m.at(portOutbound)+path, body)
	if err != nil {
		return answer{err: err}
	}
	r.Host, r.ContentLength = host, length
	r.Header.Set("Jujubeknot-Attempt-Id", id)
	r.Header.Set("Jujubeknot-Request-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	if key >= 0 {
		r.Header.Set("Jujubeknot-Shard-Key", strconv.Itoa(key))
	}
	response, err := clients.Do(r)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	return answer{
		status: response.StatusCode, signature: response.Header.Get("Jujubeknot-Response-Signature"), retryAfter: response.Header.Get("Retry-After"),
		body: string(content), err: err,
	}
}

// waitUntil waits until a condition holds, for at most limit.
func waitUntil(limit time.Duration, condition func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return condition()
}
