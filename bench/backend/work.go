package backend

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jujubeknot/jujubeknot/wire/headers"
)

// job is one request from its arrival to its response.
type job struct {
	entry    Entry
	boot     *boot
	random   *rand.Rand
	ctx      context.Context
	cancel   context.CancelFunc
	sum      uint64
	write    bool
	deadline time.Time
	// ignoresCancel is true for work that continues when it is cancelled. It is
	// guarded by the server's mu.
	ignoresCancel bool
	// ended is closed when the job has released its slot.
	ended chan struct{}
}

// response has what a caller checks. The first line of the body begins with
// ResponsePrefix, which identifies the operation.
type response struct {
	requestID string
	body      string
	sum       uint64
}

// newJob returns the job of a request, from the request's headers.
func (s *Server) newJob(r *http.Request, b *boot) *job {
	e := s.entry(EntryStart, b)
	e.Operation = r.Header.Get(HeaderOperation)
	e.Attempt = r.Header.Get(HeaderAttempt)
	e.Key = r.Header.Get(HeaderKey)
	e.Idempotent = r.Header.Get(HeaderIdempotent) == "true"
	e.RequestID = r.Header.Get(headers.RequestID)
	number := func(name string, bits int) (n uint64, ok bool) {
		n, err := strconv.ParseUint(r.Header.Get(name), 10, bits)
		return n, err == nil
	}
	partition, _ := number(headers.Partition, 32)
	e.Partition = uint32(partition)
	e.Fence, e.Keyed = number(headers.Fence, 64)
	depth, _ := number(headers.Depth, 8)
	e.Depth = int(depth)
	j := &job{
		entry: e, boot: b, ended: make(chan struct{}), random: randomFor(s.config.Seed, e.Operation, e.Attempt),
		write: r.Method != http.MethodGet && r.Method != http.MethodHead,
	}
	left, ok := number(headers.Deadline, 31)
	if !ok {
		j.ctx, j.cancel = context.WithCancel(r.Context())
		return j
	}
	j.deadline = time.Now().Add(time.Duration(left) * time.Millisecond)
	j.ctx, j.cancel = context.WithDeadline(r.Context(), j.deadline)
	return j
}

// work handles one request.
func (s *Server) work(w http.ResponseWriter, r *http.Request, b *boot) {
	j := s.newJob(r, b)
	defer j.cancel()
	if status, reason := s.enter(j); status != 0 {
		w.Header().Set(headers.Outcome, "notRun")
		w.Header().Set(headers.RequestID, j.entry.RequestID)
		reply(w, status, map[string]string{"outcome": "notRun", "reason": reason, "requestId": j.entry.RequestID})
		return
	}
	kind := EntryStopped
	defer func() { s.leave(j, kind) }()
	digest := xxhash.New()
	if _, err := io.Copy(digest, r.Body); err != nil {
		return
	}
	j.sum = digest.Sum64()
	s.mu.Lock()
	faults, slowdown := s.faults, s.slowdown
	s.mu.Unlock()
	late := j.random.Float64() < faults.Late
	s.mu.Lock()
	j.ignoresCancel = late
	s.mu.Unlock()
	s.sleep(j, time.Duration(float64(s.config.Service.draw(j.random, j.write))*slowdown), late)
	if late {
		s.sleep(j, faults.LateBy, late)
	}
	if j.ctx.Err() != nil && !late {
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	if !s.makeNestedCalls(j) {
		reply(w, http.StatusBadGateway, map[string]string{"error": "a nested call failed"})
		kind = EntryEnd
		return
	}
	// The end is recorded before the response is written, so that a caller who
	// has the response finds the end in the records.
	kind = EntryEnd
	s.writeResponse(w, j, faults)
}

// enter takes a slot and records the start of the run. The status is 0 if the
// request may run. Refusals are recorded too, except those of cancelled
// requests.
func (s *Server) enter(j *job) (status int, reason string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, b := &j.entry, j.boot
	e.At = time.Now()
	if e.Keyed && s.config.ChecksFences && !s.grants.Holds(e.At, e.Partition, e.Fence) {
		e.Kind = EntryFenced
		s.config.Records.add(*e)
		return http.StatusConflict, "fence"
	}
	if e.Keyed {
		s.grants.ObserveToken(e.Partition, e.Fence)
	}
	if _, cancelled := b.cancelled[e.RequestID]; cancelled && e.Idempotent {
		// Only idempotent requests get a new id for each sending. A non-idempotent
		// request that is sent again has the same id and must run, so that its
		// second run shows in the records.
		delete(b.cancelled, e.RequestID)
		return http.StatusServiceUnavailable, "cancelled"
	}
	e.Capacity, e.Cold = s.capacity(b), b.capacity > 0
	e.InFlight = b.inFlight + 1
	if b.inFlight >= e.Capacity || s.faults.Shed > 0 && j.random.Float64() < s.faults.Shed {
		e.Kind = EntryShed
		s.config.Records.add(*e)
		if e.Cold && b.inFlight >= e.Capacity {
			s.countOverload(b, e.At)
		}
		return http.StatusServiceUnavailable, "shed"
	}
	b.inFlight++
	e.Run = s.config.Records.nextRun()
	if e.RequestID != "" {
		b.running[e.RequestID] = j
	}
	s.config.Records.add(*e)
	return 0, ""
}

// countOverload counts a request above the capacity of a cold server, which
// fails over at Cold.FailAt such requests within a second. The caller must hold
// s.mu.
func (s *Server) countOverload(b *boot, now time.Time) {
	if now.Sub(b.overloadFrom) > time.Second {
		b.overload, b.overloadFrom = 0, now
	}
	b.overload++
	if b.overload == s.config.Cold.FailAt {
		s.failOver(b)
	}
}

// leave releases the slot, records the end of the run and warms up a cold
// server.
func (s *Server) leave(j *job, kind EntryKind) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := j.boot
	b.inFlight--
	if b.running[j.entry.RequestID] == j {
		delete(b.running, j.entry.RequestID)
	}
	if kind == EntryEnd && b.capacity > 0 {
		b.finished++
		if b.finished%s.config.Cold.Work == 0 {
			b.capacity++
		}
		if b.capacity >= s.config.Slots {
			b.capacity = 0
		}
	}
	e := j.entry
	e.Kind, e.At = kind, time.Now()
	s.config.Records.add(e)
	close(j.ended)
}

// sleep simulates work of a duration. It returns early at the deadline or
// cancellation of the request, unless ignoresCancel is set, and at the end of
// the boot. While the server is frozen it does not return.
func (s *Server) sleep(j *job, d time.Duration, ignoresCancel bool) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	done := j.ctx.Done()
	if ignoresCancel {
		done = nil
	}
	select {
	case <-timer.C:
	case <-done:
	case <-j.boot.ctx.Done():
	}
	s.gate.wait(j.boot.ctx)
}

// makeNestedCalls makes the nested calls of a request. It reports whether all
// of them succeeded.
func (s *Server) makeNestedCalls(j *job) bool {
	for i, c := range s.config.Calls {
		if j.entry.Depth > c.MaxDepth || j.random.Float64() >= c.Share {
			continue
		}
		if err := s.call(j, c, i); err != nil {
			return false
		}
	}
	return true
}

func (s *Server) call(j *job, c Call, number int) error {
	method := c.Method
	if method == "" {
		method = http.MethodGet
	}
	url := "http://" + s.config.Node + strings.ReplaceAll(c.Path, "{key}", j.entry.Key)
	q, err := http.NewRequestWithContext(j.ctx, method, url, nil)
	if err != nil {
		return fmt.Errorf("nested call: %w", err)
	}
	q.Header.Set(HeaderOperation, fmt.Sprintf("%s.%d.%d", j.entry.Operation, j.entry.Depth+1, number))
	q.Header.Set(HeaderAttempt, j.entry.Attempt)
	q.Header.Set(HeaderKey, j.entry.Key)
	q.Header.Set(HeaderIdempotent, strconv.FormatBool(method == http.MethodGet))
	q.Header.Set(headers.Depth, strconv.Itoa(j.entry.Depth+1))
	if !j.deadline.IsZero() {
		q.Header.Set(headers.Deadline, strconv.FormatInt(max(time.Until(j.deadline).Milliseconds(), 1), 10))
	}
	if c.KeyHeader != "" {
		q.Header.Set(c.KeyHeader, j.entry.Key)
	}
	r, err := s.client.Do(q)
	if err != nil {
		return fmt.Errorf("nested call: %w", err)
	}
	defer func() { _ = r.Body.Close() }()
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return fmt.Errorf("nested call: %w", err)
	}
	if r.StatusCode != http.StatusOK {
		return fmt.Errorf("nested call: status %d", r.StatusCode)
	}
	return nil
}

// writeResponse writes the response, subject to the faults Crossed and Short.
func (s *Server) writeResponse(w http.ResponseWriter, j *job, faults Faults) {
	own := s.newResponse(j)
	s.mu.Lock()
	other := s.previous
	s.previous = own
	s.mu.Unlock()
	sent := own
	if other != nil && j.random.Float64() < faults.Crossed {
		sent = other
	}
	w.Header().Set("Content-Type", "text/plain")
	w.Header().Set("Content-Length", strconv.Itoa(len(sent.body)))
	w.Header().Set(headers.RequestID, sent.requestID)
	w.Header().Set(HeaderBodySum, strconv.FormatUint(sent.sum, 16))
	body := sent.body
	short := j.random.Float64() < faults.Short
	if short {
		body = body[:len(body)/2]
	}
	// A failed write means that the node has closed the connection.
	_, _ = io.WriteString(w, body)
	if short {
		// The panic closes the connection before the Content-Length is reached.
		panic(http.ErrAbortHandler)
	}
}

func (s *Server) newResponse(j *job) *response {
	body := ResponsePrefix(j.entry.Operation, j.entry.Key) + j.entry.Server + "\n"
	if fill := s.config.ResponseBytes - len(body); fill > 0 {
		body += strings.Repeat(".", fill)
	}
	return &response{requestID: j.entry.RequestID, body: body, sum: j.sum}
}

// ResponsePrefix returns the beginning of each successful response body to an
// operation.
func ResponsePrefix(operation, key string) string {
	return operation + " " + key + " "
}
