package ctl_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/jujubeknot/jujubeknot/ctl"
)

// Logs of an entry node and of an owner's node. The request a1 is refused while its
// partition moves, is sent again, and loses its connection.
const (
	entryLog = `{"level":"info","vm":"node-1","message":"rules in force","rulesRevision":2,"index":9,"time":1000}
{"level":"warn","vm":"node-1","error":"unavailable","message":"renewal failed","time":5000}
{"level":"info","vm":"node-1","requestId":"a1","sending":"s-1","decision":"send","node":"node-2","outcome":"notRun","reason":"moving","message":"entry","time":5100}
not a line
{"level":"info","vm":"node-1","requestId":"b2","sending":"s-2","decision":"send","outcome":"answered","status":200,"message":"entry","time":5150}
{"level":"info","vm":"node-1","requestId":"a1","sending":"s-3","decision":"send","node":"node-3","outcome":"unknown","reason":"connectionLost","message":"entry","time":5300}
{"level":"info","vm":"node-1","message":"rules in force","rulesRevision":3,"index":12,"time":9000}
`
	ownerLog = `{"level":"info","vm":"node-3","message":"partition acquired","partition":7,"epoch":4,"time":5200}
{"level":"info","vm":"node-3","sending":"s-3","state":"running","message":"settled","time":5250}
{"level":"info","vm":"node-4","message":"registered","time":5200}
`
)

// explainLogs runs explain --request on two logs and returns the output and the exit
// code.
func explainLogs(t *testing.T, entry, owner, id string) (string, int) {
	t.Helper()
	folder := t.TempDir()
	files := []string{filepath.Join(folder, "entry.log"), filepath.Join(folder, "owner.log")}
	for i, text := range []string{entry, owner} {
		if err := os.WriteFile(files[i], []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	var out strings.Builder
	code := ctl.Run(t.Context(), append([]string{"explain", "--request", id}, files...), &out, &out)
	return out.String(), code
}

// TestExplainRequest guards against an explanation that lacks the lines of send attempts
// at other processes or the state changes during the request, and against lines that
// are not ordered by time.
func TestExplainRequest(t *testing.T) {
	out, code := explainLogs(t, entryLog, ownerLog, "a1")
	if code != ctl.ExitDone {
		t.Fatalf("exit code %d, want 0:\n%s", code, out)
	}
	at := 0
	for _, want := range []string{"renewal failed", "reason=moving", "partition acquired", "state=running", "reason=connectionLost"} {
		i := strings.Index(out[at:], want)
		if i < 0 {
			t.Fatalf("%q is missing or out of order:\n%s", want, out)
		}
		at += i
	}
	for _, other := range []string{"s-2", "node-4", "rulesRevision=2", "rulesRevision=3"} {
		if strings.Contains(out, other) {
			t.Errorf("%q does not belong to the request, but is in the output:\n%s", other, out)
		}
	}
	if !strings.Contains(out, "1 lines are not log lines") {
		t.Errorf("the output lacks the number of lines that are not log lines:\n%s", out)
	}
}

// TestExplainRequestNeedsFields guards against an explanation that shows lines without
// the fields that tie them to the request.
func TestExplainRequestNeedsFields(t *testing.T) {
	without := strings.ReplaceAll(ownerLog, `"sending":"s-3",`, "")
	if out, _ := explainLogs(t, entryLog, without, "a1"); strings.Contains(out, "state=running") {
		t.Errorf("the output contains a line that no field ties to the request:\n%s", out)
	}
	if out, code := explainLogs(t, strings.ReplaceAll(entryLog, `"requestId":"a1",`, ""), ownerLog, "a1"); code != ctl.ExitInvalid || !strings.Contains(out, "no line") {
		t.Errorf("logs without the request id: exit code %d, want %d and the message \"no line\":\n%s", code, ctl.ExitInvalid, out)
	}
}

// TestExplainUsage guards against arguments of explain that are misinterpreted instead
// of refused.
func TestExplainUsage(t *testing.T) {
	for _, words := range []string{"explain k", "explain --request a --upstream u k", "explain a b --upstream u", "explain --request a /no/such/log"} {
		var out strings.Builder
		if code := ctl.Run(t.Context(), strings.Fields(words), &out, &out); code != ctl.ExitUsage {
			t.Errorf("%s: exit code %d, want %d:\n%s", words, code, ctl.ExitUsage, out.String())
		}
	}
}
