package ctl

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"
)

const (
	// contextWindow is the time before a request from which on context lines are
	// shown. A rules change or a lost lease takes effect within it.
	contextWindow = 2 * time.Second
	// maxContextLines limits the context lines of each process. The latest are kept.
	maxContextLines = 12
	// maxLineBytes limits the length of a log line.
	maxLineBytes = 1 << 20
)

// logLine is a line of the log of a process.
type logLine struct {
	process string
	at      time.Time
	// index is the position in the log. It keeps the order of lines with equal times.
	index  int
	fields map[string]any
}

// stringField returns the value of a field, or "" if it is absent or not a string.
func (l *logLine) stringField(name string) string {
	value, _ := l.fields[name].(string)
	return value
}

// explainRequest prints the log lines about a request from the logs of several
// processes, ordered by time: the lines with its request id, the lines about its send
// attempts, and lines about state changes of the same processes shortly before or
// during the request.
func explainRequest(s *session, id string, files []string) error {
	var lines []*logLine
	for _, name := range files {
		read, unreadable, err := readLog(name)
		if err != nil {
			return newExitError(ExitUsage, err.Error())
		}
		if unreadable > 0 {
			s.PrintErrf("%s: %d lines are not log lines and are left out", name, unreadable)
		}
		lines = append(lines, read...)
	}
	own := requestLines(lines, id)
	if len(own) == 0 {
		return newExitError(ExitInvalid, fmt.Sprintf("no line of the %d logs has the request id %q", len(files), id))
	}
	shown := append(own, contextLines(lines, own)...)
	slices.SortStableFunc(shown, func(a, b *logLine) int {
		if c := a.at.Compare(b.at); c != 0 {
			return c
		}
		return a.index - b.index
	})
	rows := [][]string{{"TIME", "PROCESS", "LINE", "FIELDS"}}
	for _, l := range shown {
		rows = append(rows, []string{l.at.UTC().Format("15:04:05.000"), l.process, l.stringField("message"), l.otherFields()})
	}
	s.PrintTable(rows)
	return nil
}

// readLog reads a log file. Lines that are not JSON objects are skipped and counted in
// unreadable.
func readLog(name string) (lines []*logLine, unreadable int, err error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, 0, fmt.Errorf("log: %w", err)
	}
	defer file.Close()
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		l := &logLine{process: filepath.Base(name), index: len(lines)}
		if json.Unmarshal(scanner.Bytes(), &l.fields) != nil {
			unreadable++
			continue
		}
		if vm := l.stringField("vm"); vm != "" {
			l.process = vm
		}
		l.at = parseTime(l.fields["time"])
		lines = append(lines, l)
	}
	if err := scanner.Err(); err != nil {
		return nil, 0, fmt.Errorf("log %s: %w", name, err)
	}
	return lines, unreadable, nil
}

// parseTime returns the time of a log line from its field: a number in milliseconds
// since 1970 or a text in RFC 3339. It returns the zero time for any other value.
func parseTime(v any) time.Time {
	switch v := v.(type) {
	case float64:
		return time.UnixMilli(int64(v))
	case string:
		// The zero time of an invalid text sorts before all others.
		parsed, _ := time.Parse(time.RFC3339, v)
		return parsed
	}
	return time.Time{}
}

// requestLines returns the lines about a request or one of its send attempts.
func requestLines(lines []*logLine, id string) []*logLine {
	sendings := map[string]bool{}
	for _, l := range lines {
		if sending := l.stringField("sending"); l.stringField("requestId") == id && sending != "" {
			sendings[sending] = true
		}
	}
	var own []*logLine
	for _, l := range lines {
		if l.stringField("requestId") == id || sendings[l.stringField("sending")] {
			own = append(own, l)
		}
	}
	return own
}

// contextLines returns lines that are not about any request, from the processes that
// logged lines in own. It returns the latest of them between contextWindow before the
// request and its end.
func contextLines(lines, own []*logLine) []*logLine {
	from, to := own[0].at, own[0].at
	processes := map[string]int{}
	for _, l := range own {
		if l.at.Before(from) {
			from = l.at
		}
		if l.at.After(to) {
			to = l.at
		}
		processes[l.process] = 0
	}
	var found []*logLine
	for _, l := range slices.Backward(lines) {
		shown, involved := processes[l.process]
		aboutRequest := l.stringField("requestId") != "" || l.stringField("sending") != ""
		if !involved || aboutRequest || shown == maxContextLines || l.at.Before(from.Add(-contextWindow)) || l.at.After(to) {
			continue
		}
		processes[l.process]++
		found = append(found, l)
	}
	return found
}

// otherFields returns the fields that have no column of their own, sorted and formatted
// as name=value.
func (l *logLine) otherFields() string {
	var parts []string
	for name, value := range l.fields {
		switch name {
		case "time", "message", "vm", "requestId":
			continue
		}
		text, ok := value.(string)
		if !ok {
			b, err := json.Marshal(value)
			if err != nil {
				panic("cannot encode a value that was decoded from JSON: " + err.Error())
			}
			text = string(b)
		}
		parts = append(parts, name+"="+text)
	}
	slices.Sort(parts)
	return strings.Join(parts, " ")
}
