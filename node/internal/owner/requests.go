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

// requests puts a lock and wake-ups round outcome.RequestTable. It is safe for
// concurrent use.
type requests struct {
	mu      sync.Mutex
	table   *outcome.RequestTable
	waiting map[uint64]chan outcome.BeginAnswer
}

func newRequests(cfg outcome.RequestTableConfig) *requests {
	return &requests{table: outcome.NewRequestTable(cfg), waiting: map[uint64]chan outcome.BeginAnswer{}}
}

// begin enters a call in the table. If another sending of it runs, begin waits
// for its end or for the context.
// Unsure is true where another node may have got earlier sendings.
func (r *requests) begin(ctx context.Context, now time.Time, c *relay.Call, unsure bool) outcome.BeginAnswer {
	r.mu.Lock()
	answer := r.table.Begin(now, outcome.BeginRequest{
		ID: c.ID, Sending: c.Sending, Upstream: c.Upstream, Partition: c.Partition, IDFromCaller: c.IDFromCaller, Attempt: c.Attempt,
		PossiblySentElsewhere: unsure,
	})
	if answer.Verdict != outcome.BeginWait {
		r.mu.Unlock()
		return answer
	}
	woken := make(chan outcome.BeginAnswer, 1)
	r.waiting[answer.Waiter] = woken
	r.mu.Unlock()
	select {
	case a := <-woken:
		return a
	case <-ctx.Done():
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.table.CancelWait(answer.Waiter) {
		delete(r.waiting, answer.Waiter)
		return outcome.BeginAnswer{Verdict: outcome.BeginRefuse, Refusal: relay.Unknown(outcome.ReasonResendUndecided)}
	}
	return <-woken
}

// finish stores the answer of a running call. Kept is false if the body is not
// in memory.
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

// fail reports that a running call ended without an answer.
func (r *requests) fail(now time.Time, id string, started bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.wake(r.table.Fail(now, id, started))
}

// wake hands out answers. The lock is held.
func (r *requests) wake(events []outcome.RequestEvent) {
	for _, e := range events {
		if woken, ok := r.waiting[e.Waiter]; ok {
			delete(r.waiting, e.Waiter)
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

func (r *requests) taken(now time.Time, id PartitionID, known bool) {
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

// replay returns a stored response as an answer.
func replay(r outcome.Response, method string) *relay.Response {
	header := http.Header{}
	if err := json.Unmarshal(r.Header, &header); err != nil {
		header = http.Header{}
	}
	return relay.NewBufferedResponse(r.Status, header, r.Body).ForMethod(method)
}
