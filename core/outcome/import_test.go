package outcome_test

import (
	"testing"
	"time"

	"github.com/jujubeknot/jujubeknot/core/outcome"
)

// TestImportOverBounds guards against a request that runs again, or counts as not run,
// because the response that came with it from the earlier owner is over the bounds. No
// answer but unknown is true then: it has run, and there is no response to replay.
func TestImportOverBounds(t *testing.T) {
	now := time.Unix(1000, 0)
	for name, size := range map[string]int{"MaxBody": 11, "MaxBytes": 9} {
		r := outcome.NewRequestTable(outcome.RequestTableConfig{MaxBody: 10, MaxBytes: 15})
		record := func(id string, size int) outcome.Record {
			return outcome.Record{
				ID: id, Upstream: "desk", Partition: 3, State: outcome.RecordFinished, Age: time.Second,
				Response: outcome.Response{Status: 200, Body: make([]byte, size)},
			}
		}
		r.Import(now, []outcome.Record{record("a", 8), record("b", size)})
		if r.Bytes() != 8 {
			t.Errorf("%s: %d bytes stored, want 8", name, r.Bytes())
		}
		resend := func(id string) outcome.BeginAnswer {
			return r.Begin(now, outcome.BeginRequest{ID: id, Sending: id + "-again", Upstream: "desk", Partition: 3, IDFromCaller: true})
		}
		if a := resend("a"); a.Verdict != outcome.BeginReplay {
			t.Errorf("%s: resend of a request whose response fits: %v, want replay", name, a.Verdict)
		}
		if a := resend("b"); a.Verdict != outcome.BeginRefuse || a.Refusal.Outcome != outcome.OutcomeUnknown || a.Refusal.Reason != outcome.ReasonResendUndecided {
			t.Errorf("%s: resend: %v %v, want a refusal with unknown and resendUndecided", name, a.Verdict, a.Refusal)
		}
		if a := r.Settle(now, "b-again"); a.State != outcome.SettleUnknown {
			t.Errorf("%s: settle: %v, want unknown", name, a.State)
		}
		// A later record whose response fits replaces the entry.
		r.Import(now, []outcome.Record{record("b", 7)})
		if a := resend("b"); a.Verdict != outcome.BeginReplay {
			t.Errorf("%s: resend after a response that fits: %v, want replay", name, a.Verdict)
		}
	}
}
