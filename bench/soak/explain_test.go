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

// refusal is the body of a response that says why a request was refused.
type refusal struct {
	Outcome   string `json:"outcome"`
	Reason    string `json:"reason"`
	RequestID string `json:"requestId"`
}

// post sends one request for a key. It returns the zero refusal if the request
// was served.
func post(url, key string, timeout time.Duration) (refusal, error) {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/applications/"+key+"/submit", strings.NewReader("x"))
	if err != nil {
		return refusal{}, err
	}
	request.Header.Set("Jujubeknot-Deadline", fmt.Sprint(timeout.Milliseconds()))
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return refusal{}, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode == http.StatusOK {
		return refusal{}, err
	}
	var r refusal
	return r, json.Unmarshal(body, &r)
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

// movingRequestID returns the id of a request that was refused because its
// partition was moving, or an empty string if the logs have none.
func movingRequestID(t *testing.T, logs []string) string {
	t.Helper()
	for _, name := range logs {
		data, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		for line := range bytes.Lines(data) {
			var l struct{ Message, Reason, RequestID string }
			if json.Unmarshal(line, &l) == nil && l.Message == "owner" && l.Reason == "moving" {
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
					// The result is ignored: the test reads it from the logs.
					_, _ = post(c.Callers(i%3), fmt.Sprintf("k%d-%d", i, j), 2*time.Second)
				}
			})
		}
		group.Wait()
		moving = movingRequestID(t, c.Logs())
	}
	check("handover", moving, map[string][]string{
		"entry": {"entry", "reason=moving", "partition="}, "owner": {"owner", "reason=moving", "partition="},
		"cause": {"partition released", "partition="},
	}, "requestId", "reason", "message", "partition")
	if err := c.Apply(t.Context(), 4); err != nil {
		t.Fatal(err)
	}

	c.SilenceServer(1, true)
	var mu sync.Mutex
	queueFull, unknown := "", ""
	find := func(key string) {
		r, err := post(c.Callers(0), key, time.Second)
		mu.Lock()
		defer mu.Unlock()
		switch {
		case err != nil:
		case r.Outcome == "notRun" && r.Reason == "queueFull":
			queueFull = r.RequestID
		case r.Outcome == "unknown":
			unknown = r.RequestID
		}
	}
	for round, end := 0, time.Now().Add(waitTimeout); (queueFull == "" || unknown == "") && time.Now().Before(end); round++ {
		var group sync.WaitGroup
		for i := range 400 {
			group.Go(func() { find(fmt.Sprintf("s%d-%d", round, i)) })
		}
		group.Wait()
	}
	c.SilenceServer(1, false)
	check("under load", queueFull, map[string][]string{
		"entry": {"entry", "reason=queueFull", "node=node-2"}, "owner": {"node-2", "owner", "reason=queueFull"},
	}, "requestId", "reason", "message", "node")
	check("silent connection", unknown, map[string][]string{
		"entry": {"entry", "outcome=unknown", "node=node-2"}, "owner": {"node-2", "owner", "outcome=unknown"},
	}, "requestId", "outcome", "message", "node")
}
