package backend_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/jujubeknot/jujubeknot/bench/backend"
	"github.com/jujubeknot/jujubeknot/wire/headers"
)

// client times out before the test binary does, so that the output names the
// test that failed.
var client = http.Client{Timeout: 20 * time.Second}

// long is a service time that no test waits for. The work ends by cancellation.
const long = time.Hour

func start(t *testing.T, c backend.Config) *backend.Server {
	t.Helper()
	if c.Name == "" {
		c.Name, c.Upstream = "b1", "desk"
	}
	c.ConnectionCost = -1
	s := backend.New(c)
	if err := s.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

// do sends a request. fields has names and values of headers alternately. If
// the request fails, the status is 0 and the last result is the error.
func do(t *testing.T, s *backend.Server, method, path, body string, fields ...string) (int, http.Header, string) {
	t.Helper()
	q, err := http.NewRequest(method, "http://"+s.Address()+path, strings.NewReader(body))
	if err != nil {
		t.Error(err)
		return 0, nil, err.Error()
	}
	for i := 0; i < len(fields); i += 2 {
		q.Header.Set(fields[i], fields[i+1])
	}
	r, err := client.Do(q)
	if err != nil {
		return 0, nil, err.Error()
	}
	defer func() { _ = r.Body.Close() }()
	content, err := io.ReadAll(r.Body)
	if err != nil {
		return 0, nil, err.Error()
	}
	return r.StatusCode, r.Header, string(content)
}

// until polls until a background goroutine has reached a state, for 10 seconds.
func until(t *testing.T, what string, reached func() bool) {
	t.Helper()
	for range 5000 {
		if reached() {
			return
		}
		time.Sleep(2 * time.Millisecond)
	}
	t.Fatalf("state not reached within 10 s: %s", what)
}

// occupy starts n requests that do not end and waits until they are in flight.
// Their request ids are r0, r1 and so on.
func occupy(t *testing.T, s *backend.Server, n int) {
	t.Helper()
	before := s.Stats().InFlight
	for i := range n {
		go do(t, s, http.MethodPost, "/x", "", headers.RequestID, fmt.Sprint("r", before+i), backend.HeaderOperation, "held")
	}
	until(t, "requests in flight", func() bool { return s.Stats().InFlight == before+n })
}

// kinds returns the number of entries of each kind.
func kinds(r *backend.Recorder) map[backend.EntryKind]int {
	entries, _ := r.Entries()
	counts := make(map[backend.EntryKind]int)
	for _, e := range entries {
		counts[e.Kind]++
	}
	return counts
}

// TestSlotsAndCancel guards against a server that runs more requests than it
// has slots, sheds a request without the outcome notRun, or continues a
// cancelled request.
func TestSlotsAndCancel(t *testing.T) {
	records := backend.NewRecorder(0)
	s := start(t, backend.Config{Slots: 3, Records: records, Service: backend.Service{Mean: long, Shape: backend.ShapeConstant}})
	occupy(t, s, 3)
	status, header, body := do(t, s, http.MethodPost, "/x", "")
	if status != http.StatusServiceUnavailable || header.Get(headers.Outcome) != "notRun" {
		t.Errorf("request above the slots: status %d, outcome %q, body %s; want 503 and notRun", status, header.Get(headers.Outcome), body)
	}
	for i := range 3 {
		if status, _, body := do(t, s, http.MethodPost, "/v1/cancel", fmt.Sprintf(`{"requestId":"r%d"}`, i)); status != http.StatusOK {
			t.Errorf("cancel: %d %s", status, body)
		}
	}
	until(t, "cancelled requests ended", func() bool { return s.Stats().InFlight == 0 })
	got := kinds(records)
	if got[backend.EntryStart] != 3 || got[backend.EntryStopped] != 3 || got[backend.EntryShed] != 1 || got[backend.EntryEnd] != 0 {
		t.Errorf("records %v, want 3 starts, 3 stopped, 1 shed, no end", got)
	}
}

// TestCancelFreesTheSlot guards against a server that answers a cancellation
// while the request still holds its slot. A node that sends the next request
// after the answer would then exceed the slots in the records.
func TestCancelFreesTheSlot(t *testing.T) {
	s := start(t, backend.Config{Slots: 1, Service: backend.Service{Mean: long, Shape: backend.ShapeConstant}})
	for range 300 {
		occupy(t, s, 1)
		if status, _, body := do(t, s, http.MethodPost, "/v1/cancel", `{"requestId":"r0"}`); status != http.StatusOK {
			t.Fatalf("cancel: %d %s", status, body)
		}
		if n := s.Stats().InFlight; n != 0 {
			t.Fatalf("%d requests hold slots after the answer to the cancellation, want 0", n)
		}
	}
}

// TestCancelBeforeTheRequest guards against a request that runs although its
// cancellation, which came on another connection, arrived before it. It also
// guards against a non-idempotent request that does not run because an earlier
// sending with the same id was cancelled.
func TestCancelBeforeTheRequest(t *testing.T) {
	records := backend.NewRecorder(0)
	s := start(t, backend.Config{Records: records, Service: backend.Service{Mean: 1}})
	if status, _, body := do(t, s, http.MethodPost, "/v1/cancel", `{"requestId":"early"}`); status != http.StatusOK {
		t.Fatalf("cancel: %d %s", status, body)
	}
	status, header, _ := do(t, s, http.MethodGet, "/x", "", headers.RequestID, "early", backend.HeaderIdempotent, "true")
	if status != http.StatusServiceUnavailable || header.Get(headers.Outcome) != "notRun" || kinds(records)[backend.EntryStart] != 0 {
		t.Errorf("cancelled request: status %d, records %v; want 503 and no start", status, kinds(records))
	}
	if status, _, _ := do(t, s, http.MethodPost, "/x", "", headers.RequestID, "early"); status != http.StatusOK {
		t.Errorf("non-idempotent resend with the id of a cancelled request: status %d, want 200", status)
	}
}

// TestFences guards against a server that checks fencing tokens and still runs
// a request of an earlier owner or one without a grant.
func TestFences(t *testing.T) {
	s := start(t, backend.Config{ChecksFences: true, Service: backend.Service{Mean: 1}})
	send := func(fence string) int {
		status, _, _ := do(t, s, http.MethodPost, "/x", "", headers.Partition, "7", headers.Fence, fence)
		return status
	}
	sequence := 0
	grant := func(epoch, expiry int) {
		sequence++
		body := fmt.Sprintf(`{"upstream":"desk","lease":3,"sequence":%d,"version":%d,"whole":true,"expiryMs":%d,"partitions":[{"partition":7,"epoch":%d}]}`,
			sequence, sequence, expiry, epoch)
		if status, _, answer := do(t, s, http.MethodPost, "/v1/grant", body); status != http.StatusOK {
			t.Fatalf("grant: %d %s", status, answer)
		}
		if status, _, answer := do(t, s, http.MethodPost, "/v1/grant", body); status != http.StatusConflict || !strings.Contains(answer, "stale") {
			t.Fatalf("grant that was sent twice: status %d, body %s; want 409 and stale", status, answer)
		}
	}
	expect := func(what string, got, want int) {
		t.Helper()
		if got != want {
			t.Errorf("%s: status %d, want %d", what, got, want)
		}
	}
	expect("without a grant", send("5"), http.StatusConflict)
	grant(5, 3_600_000)
	expect("with the fence of the grant", send("5"), http.StatusOK)
	expect("with an older fence", send("4"), http.StatusConflict)
	grant(6, 3_600_000)
	expect("with the fence before the newer grant", send("5"), http.StatusConflict)
	late := `{"upstream":"desk","lease":3,"sequence":1,"version":1,"whole":true,"expiryMs":3600000,"partitions":[{"partition":7,"epoch":5}]}`
	status, _, _ := do(t, s, http.MethodPost, "/v1/grant", late)
	expect("late older grant", status, http.StatusConflict)
	expect("after a late older grant", send("6"), http.StatusOK)
	grant(5, 3_600_000)
	expect("after a grant of an older epoch", send("6"), http.StatusConflict)
	expect("with the fence of a grant of an older epoch", send("5"), http.StatusConflict)
	grant(6, 3_600_000)
	expect("after the grant was repeated", send("6"), http.StatusOK)
	status, _, answer := do(t, s, http.MethodPost, "/v1/grant", `{"upstream":"desk","lease":3,"sequence":9,"version":9,"expiryMs":3600000}`)
	expect("extension of an unknown version", status, http.StatusConflict)
	if !strings.Contains(answer, `"error":"unknownVersion"`) {
		t.Errorf("answer to the extension of an unknown version: %s, want the error unknownVersion", answer)
	}
	sequence = 9
	grant(6, 0)
	expect("after the grant was closed", send("6"), http.StatusConflict)
}

// TestColdServerFailsOver guards against a cold server that withstands any
// load, and against one that does not start again or keeps its boot id.
func TestColdServerFailsOver(t *testing.T) {
	s := start(t, backend.Config{
		Slots: 4, Cold: backend.Cold{Capacity: 1, FailAt: 3, Restart: time.Millisecond},
		Service: backend.Service{Mean: long, Shape: backend.ShapeConstant},
	})
	first := s.BootID()
	occupy(t, s, 1)
	for range 2 {
		if status, _, _ := do(t, s, http.MethodPost, "/x", ""); status != http.StatusServiceUnavailable {
			t.Fatalf("status %d above the cold capacity, want 503", status)
		}
	}
	do(t, s, http.MethodPost, "/x", "")
	until(t, "started again with a new boot id", func() bool { id := s.BootID(); return id != "" && id != first })
}

// TestWarmsUp guards against a cold server whose capacity does not rise with
// the requests that it finishes.
func TestWarmsUp(t *testing.T) {
	s := start(t, backend.Config{Slots: 3, Cold: backend.Cold{Capacity: 1, Work: 2}, Service: backend.Service{Mean: 1}})
	for i, want := range []int{1, 1, 2, 2, 3} {
		if got := s.Stats(); got.Capacity != want || got.Cold != (want < 3) {
			t.Errorf("after %d requests: capacity %d, cold %v; want capacity %d and cold below 3", i, got.Capacity, got.Cold, want)
		}
		do(t, s, http.MethodGet, "/x", "")
	}
}

// TestFaults guards against faults that are set but not injected.
func TestFaults(t *testing.T) {
	s := start(t, backend.Config{Service: backend.Service{Mean: 1}})
	send := func(operation string) (int, string) {
		status, _, body := do(t, s, http.MethodGet, "/x", "", backend.HeaderOperation, operation, backend.HeaderKey, "k")
		return status, body
	}
	if _, body := send("a"); !strings.HasPrefix(body, backend.ResponsePrefix("a", "k")) {
		t.Errorf("response %q, want the prefix of operation a", body)
	}
	s.SetFaults(backend.Faults{Crossed: 1})
	if _, body := send("b"); !strings.HasPrefix(body, backend.ResponsePrefix("a", "k")) {
		t.Errorf("crossed response %q, want that of the request before", body)
	}
	s.SetFaults(backend.Faults{Short: 1})
	if status, body := send("c"); status != 0 || !strings.Contains(body, "EOF") {
		t.Errorf("short response: status %d, %q; want an unexpected end of file", status, body)
	}
	s.SetFaults(backend.Faults{Shed: 1})
	if status, _ := send("d"); status != http.StatusServiceUnavailable {
		t.Errorf("shed request: status %d, want 503", status)
	}
}

// TestConnections guards against a server that accepts more connections than
// its limit, or does not record the ones above it.
func TestConnections(t *testing.T) {
	records := backend.NewRecorder(0)
	s := start(t, backend.Config{
		Slots: 10, Connections: 2, Records: records, Service: backend.Service{Mean: long, Shape: backend.ShapeConstant},
	})
	occupy(t, s, 2)
	if status, _, body := do(t, s, http.MethodGet, "/x", ""); status != 0 {
		t.Errorf("third connection: status %d, body %s; want an error", status, body)
	}
	if got := kinds(records)[backend.EntryConnection]; got == 0 {
		t.Error("the connection above the limit is not recorded, want 1 entry or more")
	}
}

// TestFreezeKeepsWork guards against a frozen server that runs requests, or
// that loses them when it is resumed.
func TestFreezeKeepsWork(t *testing.T) {
	records := backend.NewRecorder(0)
	s := start(t, backend.Config{Service: backend.Service{Mean: 1}, Records: records})
	s.Freeze()
	// The announcing goroutine is held too.
	until(t, "background work held", func() bool { return s.Stats().Held == 1 })
	statuses := make(chan int, 1)
	go func() {
		status, _, _ := do(t, s, http.MethodGet, "/x", "")
		statuses <- status
	}()
	until(t, "request held", func() bool { return s.Stats().Held == 2 })
	if got := kinds(records)[backend.EntryStart]; got != 0 {
		t.Errorf("%d runs at a frozen server, want 0", got)
	}
	s.Resume()
	if status := <-statuses; status != http.StatusOK {
		t.Errorf("status %d after the server was resumed, want 200", status)
	}
}
