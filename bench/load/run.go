package load

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jujubeknot/jujubeknot/bench/backend"
	"github.com/jujubeknot/jujubeknot/wire/headers"
)

const (
	// maxRetryAfter is the maximum wait before a resend.
	maxRetryAfter = time.Second
	// minRetryAfter is the minimum wait before a resend. It prevents resends in
	// quick succession.
	minRetryAfter = 10 * time.Millisecond
	// maxResponseBytes is the maximum number of bytes that are read of a response.
	maxResponseBytes = 256 << 20
)

// generator sends the operations of one run.
type generator struct {
	config  Config
	client  *http.Client
	collect *collector
	// body is as long as the largest request body.
	body string
	// slots has one element for each operation in flight.
	slots chan struct{}
}

// Run sends the operations of a run and returns once all of them have ended. If
// ctx ends first, it returns what it has measured and the error of ctx.
func Run(ctx context.Context, config Config) (*Result, error) {
	config, err := config.withDefaults()
	if err != nil {
		return nil, err
	}
	largest := 0
	for _, c := range config.Classes {
		largest = max(largest, c.Bytes)
	}
	transport := &http.Transport{
		MaxIdleConns: config.MaxInFlight, MaxIdleConnsPerHost: config.MaxInFlight, DisableCompression: true,
	}
	defer transport.CloseIdleConnections()
	start := time.Now()
	g := &generator{
		config: config, client: &http.Client{Transport: transport}, collect: newCollector(start, config.WarmUp),
		body: strings.Repeat("0123456789abcdef", largest/16+1), slots: make(chan struct{}, config.MaxInFlight),
	}
	var running sync.WaitGroup
	p := newPlanner(config)
	for {
		planned, ok := p.plan()
		if !ok || !sleepUntil(ctx, start.Add(planned.At)) {
			break
		}
		select {
		case g.slots <- struct{}{}:
			running.Go(func() {
				g.runOperation(ctx, start, planned)
				<-g.slots
			})
		default:
			o := g.operation(start, planned)
			o.Outcome = OutcomeSkipped
			g.collect.add(o)
		}
	}
	running.Wait()
	return g.collect.finish(time.Now()), ctx.Err()
}

// sleepUntil waits until a time. It returns false if ctx ends first.
func sleepUntil(ctx context.Context, at time.Time) bool {
	wait := time.Until(at)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// operation returns a planned operation without attempts.
func (g *generator) operation(start time.Time, p Planned) Operation {
	c := g.config.Classes[p.Class]
	return Operation{
		ID: fmt.Sprintf("op%d-%d", g.config.Seed, p.Number), Class: c.Name, Key: p.Key,
		Idempotent: c.Idempotent(), IDFromCaller: p.IDFromCaller, Intended: start.Add(p.At),
	}
}

// runOperation sends an operation, and resends it as long as its outcome, its
// class and its deadline allow.
func (g *generator) runOperation(ctx context.Context, start time.Time, p Planned) {
	c := g.config.Classes[p.Class]
	o := g.operation(start, p)
	deadline := o.Intended.Add(c.Timeout)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	for n := 1; ; n++ {
		target := g.config.Targets[(p.Target+n-1)%len(g.config.Targets)]
		a, retryAfter := g.send(ctx, c, o, n, target, deadline)
		o.Attempts = append(o.Attempts, a)
		o.Outcome = a.Outcome
		if n > c.Resends || !mayResend(o) || !sleepUntil(ctx, time.Now().Add(retryAfter)) {
			break
		}
	}
	o.Latency = time.Since(o.Intended)
	g.collect.add(o)
}

// mayResend reports whether the caller may resend the operation after its
// latest outcome.
func mayResend(o Operation) bool {
	switch o.Outcome {
	case OutcomeNotRun, OutcomeUnreached:
		return true
	case OutcomeUnknown, OutcomeLost, OutcomeStatus, OutcomeWrong:
		return o.Idempotent || o.IDFromCaller
	default:
		return false
	}
}

// send sends an operation once. number is the number of the attempt, from 1.
func (g *generator) send(ctx context.Context, c Class, o Operation, number int, target string, deadline time.Time) (a Attempt, retryAfter time.Duration) {
	a = Attempt{At: time.Now(), Target: target, Outcome: OutcomeLost}
	q, err := g.request(ctx, c, o, number, target, deadline)
	if err != nil {
		a.Reason = err.Error()
		return a, 0
	}
	r, err := g.client.Do(q)
	if err == nil {
		defer func() { _ = r.Body.Close() }()
		var body []byte
		body, err = io.ReadAll(io.LimitReader(r.Body, maxResponseBytes))
		if err == nil {
			a.Latency = time.Since(a.At)
			retryAfter = a.classify(r, body, c, o, g.body[:c.Bytes])
			return a, retryAfter
		}
	}
	a.Latency = time.Since(a.At)
	a.Reason = err.Error()
	var dial *net.OpError
	if errors.As(err, &dial) && dial.Op == "dial" {
		a.Outcome = OutcomeUnreached
	}
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		a.Outcome = OutcomeTimeout
	}
	return a, minRetryAfter
}

// emptyBody is an empty request body. The transport does not recognise it as
// empty and so treats it as a body that cannot be read again.
type emptyBody struct{}

// Read implements io.Reader.
func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }

// request returns the HTTP request of an attempt.
func (g *generator) request(ctx context.Context, c Class, o Operation, number int, target string, deadline time.Time) (*http.Request, error) {
	var body io.Reader = emptyBody{}
	if c.Bytes > 0 {
		body = strings.NewReader(g.body[:c.Bytes])
	}
	url := "http://" + target + strings.ReplaceAll(c.Path, "{key}", o.Key)
	q, err := http.NewRequestWithContext(ctx, c.Method, url, body)
	if err != nil {
		return nil, fmt.Errorf("build request of class %s: %w", c.Name, err)
	}
	// Without GetBody the transport does not resend an idempotent request by
	// itself when its connection is reset. Each sending must be an attempt with an
	// outcome of its own.
	q.GetBody = nil
	q.Header.Set(backend.HeaderOperation, o.ID)
	q.Header.Set(backend.HeaderAttempt, strconv.Itoa(number))
	q.Header.Set(backend.HeaderKey, o.Key)
	q.Header.Set(backend.HeaderIdempotent, strconv.FormatBool(o.Idempotent))
	if c.KeyHeader != "" {
		q.Header.Set(c.KeyHeader, o.Key)
	}
	if o.IDFromCaller {
		q.Header.Set(headers.IdempotencyKey, o.ID)
		q.Header.Set(headers.Attempt, strconv.Itoa(number))
	}
	if c.SendDeadline {
		q.Header.Set(headers.Deadline, strconv.FormatInt(max(time.Until(deadline).Milliseconds(), 1), 10))
	}
	return q, nil
}

// classify sets the outcome of an attempt from a complete response. sent is the
// request body. It returns the wait before a resend.
func (a *Attempt) classify(r *http.Response, body []byte, c Class, o Operation, sent string) (retryAfter time.Duration) {
	a.Status = r.StatusCode
	a.RequestID = r.Header.Get(headers.RequestID)
	if outcome := r.Header.Get(headers.Outcome); outcome == "notRun" || outcome == "unknown" {
		a.Outcome = Outcome(outcome)
		var refusal struct {
			Reason       string `json:"reason"`
			RetryAfterMs int64  `json:"retryAfterMs"`
		}
		if err := json.Unmarshal(body, &refusal); err != nil {
			a.Reason = "refusal body: " + err.Error()
		} else {
			a.Reason = refusal.Reason
		}
		return min(max(time.Duration(refusal.RetryAfterMs)*time.Millisecond, minRetryAfter), maxRetryAfter)
	}
	if r.StatusCode/100 != 2 {
		a.Outcome, a.Reason = OutcomeStatus, strconv.Itoa(r.StatusCode)
		return minRetryAfter
	}
	a.Outcome = OutcomeOK
	sum := strconv.FormatUint(xxhash.Sum64String(sent), 16)
	switch {
	case c.Method != http.MethodHead && !strings.HasPrefix(string(body), backend.ResponsePrefix(o.ID, o.Key)):
		a.Outcome, a.Reason = OutcomeWrong, "response to another operation"
	case r.Header.Get(backend.HeaderBodySum) != sum:
		a.Outcome, a.Reason = OutcomeWrong, "request body changed on the way"
	}
	return minRetryAfter
}
