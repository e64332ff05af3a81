package soak_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jujubeknot/jujubeknot/bench/soak"
)

// waitTimeout bounds each wait for an expected event. No test depends on how long
// the event takes.
const waitTimeout = 60 * time.Second

// post sends one request for a key. The result is in the logs.
func post(url, key string, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/applications/"+key+"/submit", strings.NewReader("x"))
	if err != nil {
		return
	}
	request.Header.Set("Jujubeknot-Deadline", fmt.Sprint(timeout.Milliseconds()))
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return
	}
	defer response.Body.Close()
	// The connection is used again only if the body was read.
	_, _ = io.Copy(io.Discard, response.Body)
}

// explain runs jujubeknotctl explain for a request id over copies of the logs, and
// returns its output. If a field name is given, the copies lack that field.
func explain(t *testing.T, programs string, logs []string, id, omittedField string) string {
	t.Helper()
	args := []string{"explain", "--request", id}
	folder := t.TempDir()
	for _, name := range logs {
		copied := filepath.Join(folder, filepath.Base(name))
		if err := copyLog(name, copied, omittedField); err != nil {
			t.Fatal(err)
		}
		args = append(args, copied)
	}
	// The exit code is ignored: it says whether the id was found, which the output
	// shows too.
	out, _ := exec.Command(filepath.Join(programs, "jujubeknotctl"), args...).CombinedOutput()
	return string(out)
}

func copyLog(from, to, omittedField string) error {
	source, err := os.Open(from)
	if err != nil {
		return err
	}
	defer source.Close()
	var out bytes.Buffer
	for lines := bufio.NewScanner(source); lines.Scan(); {
		line := map[string]any{}
		if omittedField == "" || json.Unmarshal(lines.Bytes(), &line) != nil {
			out.Write(append(lines.Bytes(), '\n'))
			continue
		}
		delete(line, omittedField)
		encoded, err := json.Marshal(line)
		if err != nil {
			return err
		}
		out.Write(append(encoded, '\n'))
	}
	return os.WriteFile(to, out.Bytes(), 0o600)
}

// hasLine reports whether one line of the output contains all words.
func hasLine(output string, words ...string) bool {
	for line := range strings.Lines(output) {
		found := true
		for _, w := range words {
			found = found && strings.Contains(line, w)
		}
		if found {
			return true
		}
	}
	return false
}

// logLine has the fields of a log line by which a request is selected.
type logLine struct{ Message, Reason, Outcome, Node, RequestID string }

// requestID returns the id of the first request with a log line that matches, or an
// empty string if there is none.
func requestID(t *testing.T, logs []string, matches func(logLine) bool) string {
	t.Helper()
	for _, name := range logs {
		data, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		for line := range bytes.Lines(data) {
			var l logLine
			if json.Unmarshal(line, &l) == nil && matches(l) {
				return l.RequestID
			}
		}
	}
	return ""
}

// TestExplainTracesRequestToCause guards against log lines from which the cause of
// a failed request can no longer be found by its id, as docs/OPERATIONS.md
// describes. It causes the three kinds of failure with real processes. It also
// checks that the trace is incomplete if any of the fields it relies on is
// missing.
func TestExplainTracesRequestToCause(t *testing.T) {
	programs := buildPrograms(t)
	c, err := soak.NewCluster(t.Context(), soak.Config{Programs: programs, Folder: t.TempDir(), Nodes: 3})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	check := func(what, id string, steps map[string][]string, fields ...string) {
		t.Helper()
		if id == "" {
			t.Errorf("%s: no request failed for this reason", what)
			return
		}
		// The log lines may be written shortly after the response was sent.
		var output string
		complete := func() bool {
			output = explain(t, programs, c.Logs(), id, "")
			for _, words := range steps {
				if !hasLine(output, words...) {
					return false
				}
			}
			return true
		}
		for end := time.Now().Add(waitTimeout); !complete(); time.Sleep(100 * time.Millisecond) {
			if time.Now().After(end) {
				t.Errorf("%s: the trace of %s lacks one of %v:\n%s", what, id, steps, output)
				return
			}
		}
		for _, field := range fields {
			output := explain(t, programs, c.Logs(), id, field)
			incomplete := false
			for _, words := range steps {
				incomplete = incomplete || !hasLine(output, words...)
			}
			if !incomplete {
				t.Errorf("%s: the trace is complete without the field %s, want it incomplete", what, field)
			}
		}
	}

	moving := ""
	for version, end := 2, time.Now().Add(waitTimeout); moving == "" && time.Now().Before(end); version += 2 {
		if err := c.Apply(t.Context(), version); err != nil {
			t.Fatal(err)
		}
		var group sync.WaitGroup
		for i := range 64 {
			group.Go(func() {
				for j := range 20 {
					post(c.Callers(i%3), fmt.Sprintf("k%d-%d", i, j), 2*time.Second)
				}
			})
		}
		group.Wait()
		moving = requestID(t, c.Logs(), func(l logLine) bool { return l.Message == "owner" && l.Reason == "moving" })
	}
	check("handover", moving, map[string][]string{
		"entry": {"entry", "reason=moving", "partition="}, "owner": {"owner", "reason=moving", "partition="},
		"cause": {"partition released", "partition="},
	}, "requestId", "reason", "message", "partition")
	if err := c.Apply(t.Context(), 4); err != nil {
		t.Fatal(err)
	}

	c.SilenceServer(1, true)
	// Keys of a silent server move to others after a while. Those refuse requests of the
	// burst as well, so the node that refused is part of what is looked for.
	queueFull, unknown := "", ""
	for round, end := 0, time.Now().Add(waitTimeout); (queueFull == "" || unknown == "") && time.Now().Before(end); round++ {
		var group sync.WaitGroup
		for i := range 400 {
			group.Go(func() {
				post(c.Callers(0), fmt.Sprintf("s%d-%d", round, i), time.Second)
			})
		}
		group.Wait()
		queueFull = requestID(t, c.Logs(), func(l logLine) bool {
			return l.Message == "entry" && l.Reason == "queueFull" && l.Node == "node-2"
		})
		unknown = requestID(t, c.Logs(), func(l logLine) bool {
			return l.Message == "entry" && l.Outcome == "unknown" && l.Node == "node-2"
		})
	}
	c.SilenceServer(1, false)
	check("under load", queueFull, map[string][]string{
		"entry": {"entry", "reason=queueFull", "node=node-2"}, "owner": {"node-2", "owner", "reason=queueFull"},
	}, "requestId", "reason", "message", "node")
	check("silent connection", unknown, map[string][]string{
		"entry": {"entry", "outcome=unknown", "node=node-2"}, "owner": {"node-2", "owner", "outcome=unknown"},
	}, "requestId", "outcome", "message", "node")
}
