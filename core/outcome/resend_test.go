package outcome_test

import (
	"testing"
	"time"

	"github.com/jujubeknot/jujubeknot/core/outcome"
)

// TestResendFromOtherNodeDoesNotRun guards against a second run of a request
// whose first sending may have gone to another node of an upstream without
// keys.
func TestResendFromOtherNodeDoesNotRun(t *testing.T) {
	now := time.Unix(1, 0)
	r := outcome.NewRequestTable(outcome.RequestTableConfig{})
	begin := func(id string, attempt int) outcome.BeginAnswer {
		return r.Begin(now, outcome.BeginRequest{ID: id, Upstream: "documents", IDFromCaller: true, Attempt: attempt, PossiblySentElsewhere: true})
	}
	for _, attempt := range []int{0, 2} {
		a := begin("resent", attempt)
		if a.Verdict != outcome.BeginRefuse || a.Refusal.Outcome != outcome.OutcomeUnknown || a.Refusal.Reason != outcome.ReasonResendUndecided {
			t.Errorf("attempt %d: %v %v, want a refusal with unknown", attempt, a.Verdict, a.Refusal)
		}
	}
	if a := begin("first", 1); a.Verdict != outcome.BeginRun {
		t.Errorf("request that is stated to be the first attempt: %v, want run", a.Verdict)
	}
	r.Finish(now, "first", outcome.Response{Status: 201, Complete: true})
	if a := begin("first", 2); a.Verdict != outcome.BeginReplay {
		t.Errorf("resend of a known id: %v, want replay", a.Verdict)
	}
}
