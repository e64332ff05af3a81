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

// patience bounds waits for what must happen; no test measures time.
const patience = 60 * time.Second

// refused is the body of an answer that says why a request was refused.
type refused struct {
	Outcome   string `json:"outcome"`
	Reason    string `json:"reason"`
	RequestID string `json:"requestId"`
}

// post sends one request for a key and returns the refusal, if it was one.
func post(url, key string, timeout time.Duration) (refused, error) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/applications/"+key+"/submit", strings.NewReader("x"))
	if err != nil {
		return refused{}, err
	}
	request.Header.Set("Jujubeknot-Deadline", fmt.Sprint(timeout.Milliseconds()))
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return refused{}, err
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	if err != nil || answer.StatusCode == http.StatusOK {
		return refused{}, err
	}
	var r refused
	return r, json.Unmarshal(body, &r)
}

// walk runs the operators' command for the way of a request, over copies of the
// logs without one field if a name is given.
func walk(t *testing.T, programs string, logs []string, id, without string) string {
	t.Helper()
	args := []string{"explain", "--request", id}
	folder := t.TempDir()
	for _, name := range logs {
		copied := filepath.Join(folder, filepath.Base(name))
		if err := copyLog(name, copied, without); err != nil {
			t.Fatal(err)
		}
		args = append(args, copied)
	}
	// The exit code says whether the id was found, which the output shows too.
	out, _ := exec.Command(filepath.Join(programs, "jujubeknotctl"), args...).CombinedOutput()
	return string(out)
}

func copyLog(from, to, without string) error {
	source, err := os.Open(from)
	if err != nil {
		return err
	}
	defer source.Close()
	var out bytes.Buffer
	for lines := bufio.NewScanner(source); lines.Scan(); {
		line := map[string]any{}
		if without == "" || json.Unmarshal(lines.Bytes(), &line) != nil {
			out.Write(append(lines.Bytes(), '\n'))
			continue
		}
		delete(line, without)
		encoded, err := json.Marshal(line)
		if err != nil {
			return err
		}
		out.Write(append(encoded, '\n'))
	}
	return os.WriteFile(to, out.Bytes(), 0o600)
}

// leads reports whether one line of a walk has all words.
func leads(way string, words ...string) bool {
	for line := range strings.Lines(way) {
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

// firstMoving returns the id of a request that met a moving partition, empty if
// the logs have none.
func firstMoving(t *testing.T, logs []string) string {
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

// TestWalksFromIDToCause guards the ways of docs/OPERATIONS.md from the id of a
// failed request to its cause: it makes the three kinds of failure with real
// processes, and shows that each way ends where a field is missing.
func TestWalksFromIDToCause(t *testing.T) {
	programs := buildPrograms(t)
	l, err := soak.NewLaboratory(t.Context(), soak.Config{Programs: programs, Folder: t.TempDir(), Nodes: 3})
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	check := func(what, id string, steps map[string][]string, fields ...string) {
		t.Helper()
		if id == "" {
			t.Errorf("%s: no request failed so", what)
			return
		}
		// Lines are written a moment after the answer.
		var way string
		complete := func() bool {
			way = walk(t, programs, l.Logs(), id, "")
			for _, words := range steps {
				if !leads(way, words...) {
					return false
				}
			}
			return true
		}
		for end := time.Now().Add(patience); !complete(); time.Sleep(100 * time.Millisecond) {
			if time.Now().After(end) {
				t.Errorf("%s: the way of %s lacks one of %v:\n%s", what, id, steps, way)
				return
			}
		}
		for _, field := range fields {
			way := walk(t, programs, l.Logs(), id, field)
			lost := false
			for _, words := range steps {
				lost = lost || !leads(way, words...)
			}
			if !lost {
				t.Errorf("%s: the way is complete without the field %s", what, field)
			}
		}
	}

	moving := ""
	for version, end := 2, time.Now().Add(patience); moving == "" && time.Now().Before(end); version += 2 {
		if err := l.Apply(t.Context(), version); err != nil {
			t.Fatal(err)
		}
		var group sync.WaitGroup
		for i := range 64 {
			group.Go(func() {
				for j := range 20 {
					// What matters is in the logs.
					_, _ = post(l.Callers(i%3), fmt.Sprintf("k%d-%d", i, j), 2*time.Second)
				}
			})
		}
		group.Wait()
		moving = firstMoving(t, l.Logs())
	}
	check("hand-over", moving, map[string][]string{
		"entry": {"entry", "reason=moving", "partition="}, "owner": {"owner", "reason=moving", "partition="},
		"cause": {"partition released", "partition="},
	}, "requestId", "reason", "message", "partition")
	if err := l.Apply(t.Context(), 4); err != nil {
		t.Fatal(err)
	}

	l.SilenceServer(1, true)
	var mu sync.Mutex
	full, unknown := "", ""
	find := func(key string) {
		r, err := post(l.Callers(0), key, time.Second)
		mu.Lock()
		defer mu.Unlock()
		switch {
		case err != nil:
		case r.Outcome == "notRun" && r.Reason == "queueFull":
			full = r.RequestID
		case r.Outcome == "unknown":
			unknown = r.RequestID
		}
	}
	for round, end := 0, time.Now().Add(patience); (full == "" || unknown == "") && time.Now().Before(end); round++ {
		var group sync.WaitGroup
		for i := range 400 {
			group.Go(func() { find(fmt.Sprintf("s%d-%d", round, i)) })
		}
		group.Wait()
	}
	l.SilenceServer(1, false)
	check("under load", full, map[string][]string{
		"entry": {"entry", "reason=queueFull", "node=node-2"}, "owner": {"node-2", "owner", "reason=queueFull"},
	}, "requestId", "reason", "message", "node")
	check("silent connection", unknown, map[string][]string{
		"entry": {"entry", "outcome=unknown", "node=node-2"}, "owner": {"node-2", "owner", "outcome=unknown"},
	}, "requestId", "outcome", "message", "node")
}
