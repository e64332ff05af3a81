package owner

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/jujubeknot/jujubeknot/core/outcome"
	"github.com/jujubeknot/jujubeknot/node/internal/relay"
)

// requests adds a lock and wake-ups of waiting calls to outcome.RequestTable.
// It is safe for concurrent use.
type requests struct {
	mu    sync.Mutex
	table *outcome.RequestTable
	// waiters are the channels of the waiting calls, by the field Waiter of their
	// outcome.BeginAnswer.
	waiters map[uint64]chan outcome.BeginAnswer
}

func newRequests(cfg outcome.RequestTableConfig) *requests {
	return &requests{table: outcome.NewRequestTable(cfg), waiters: map[uint64]chan outcome.BeginAnswer{}}
}

// begin enters a call in the table. If another sending of it is running, begin
// waits for the end of that sending or of the context. The argument
// possiblySentElsewhere is true if another node may have received earlier
// sendings.
func (r *requests) begin(ctx context.Context, now time.Time, c *relay.Call, possiblySentElsewhere bool) outcome.BeginAnswer {
	r.mu.Lock()
	answer := r.table.Begin(now, outcome.BeginRequest{
		ID: c.ID, Sending: c.Sending, Upstream: c.Upstream, Partition: c.Partition, IDFromCaller: c.IDFromCaller, Attempt: c.Attempt,
		PossiblySentElsewhere: possiblySentElsewhere,
	})
	if answer.Verdict != outcome.BeginWait {
		r.mu.Unlock()
		return answer
	}
	woken := make(chan outcome.BeginAnswer, 1)
	r.waiters[answer.Waiter] = woken
	r.mu.Unlock()
	select {
	case a := <-woken:
		return a
	case <-ctx.Done():
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.table.CancelWait(answer.Waiter) {
		delete(r.waiters, answer.Waiter)
		return outcome.BeginAnswer{Verdict: outcome.BeginRefuse, Refusal: relay.Unknown(outcome.ReasonResendUndecided)}
	}
	return <-woken
}

// finish stores the response of a running call. Header and body are stored only
// if the body is in memory.
func (r *requests) finish(now time.Time, id string, a *relay.Response) {
	response := outcome.Response{Status: a.Status}
	if body, ok := a.BufferedBody(); ok || a.Body == http.NoBody {
		if header, err := json.Marshal(a.Header); err == nil {
			response.Header, response.Body, response.Complete = header, body, true
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.wake(r.table.Finish(now, id, response))
}

// fail records that a running call ended without a response. The argument
// started is true if the backend server may have begun to run it.
func (r *requests) fail(now time.Time, id string, started bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.wake(r.table.Fail(now, id, started))
}

// wake passes answers to the waiting calls. The caller holds r.mu.
func (r *requests) wake(events []outcome.RequestEvent) {
	for _, e := range events {
		if woken, ok := r.waiters[e.Waiter]; ok {
			delete(r.waiters, e.Waiter)
			woken <- e.Answer
		}
	}
}

func (r *requests) configure(cfg outcome.RequestTableConfig) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.Configure(cfg)
}

func (r *requests) settle(now time.Time, sending string) outcome.SettleAnswer {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.Settle(now, sending)
}

func (r *requests) becameOwner(now time.Time, id PartitionID, known bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.BecameOwner(now, id.Upstream, id.Partition, known)
}

func (r *requests) export(now time.Time, id PartitionID) []outcome.Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.Export(now, id.Upstream, id.Partition)
}

func (r *requests) importRecords(now time.Time, records []outcome.Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.Import(now, records)
}

func (r *requests) size() (entries int, bytes int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.Len(), r.table.Bytes()
}

// replay returns a stored response as the response to a call with a method.
func replay(r outcome.Response, method string) *relay.Response {
	header := http.Header{}
	if err := json.Unmarshal(r.Header, &header); err != nil {
		header = http.Header{}
	}
	return relay.NewBufferedResponse(r.Status, header, r.Body).ForMethod(method)
}
