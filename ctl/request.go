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
	// contextBefore is how long before a request lines about the state of the
	// processes are shown: a rules change or a lost lease acts within it.
	contextBefore = 2 * time.Second
	// contextLines bounds those lines for each log, the latest first.
	contextLines = 12
	// maxLineBytes bounds one line of a log.
	maxLineBytes = 1 << 20
)

// logLine is one line of the log of a process.
type logLine struct {
	process string
	at      time.Time
	// order keeps lines of the same time as they stand in their log.
	order  int
	fields map[string]any
}

func (l *logLine) text(field string) string {
	s, _ := l.fields[field].(string)
	return s
}

// explainRequest shows the way of a request through the logs of processes, in the
// order of time: the lines with its id, those about its sendings, and what changed
// at the same processes shortly before or meanwhile.
func explainRequest(s *session, id string, files []string) error {
	var lines []*logLine
	for _, name := range files {
		read, unreadable, err := readLog(name)
		if err != nil {
			return coded(ExitUsage, err.Error())
		}
		if unreadable > 0 {
			s.PrintErrf("%s: %d lines are not log lines and are left out", name, unreadable)
		}
		lines = append(lines, read...)
	}
	own := ownLines(lines, id)
	if len(own) == 0 {
		return coded(ExitInvalid, fmt.Sprintf("no line of the %d logs has the request id %q", len(files), id))
	}
	shown := append(own, contextOf(lines, own)...)
	slices.SortStableFunc(shown, func(a, b *logLine) int {
		if c := a.at.Compare(b.at); c != 0 {
			return c
		}
		return a.order - b.order
	})
	rows := [][]string{{"TIME", "PROCESS", "LINE", "FIELDS"}}
	for _, l := range shown {
		rows = append(rows, []string{l.at.UTC().Format("15:04:05.000"), l.process, l.text("message"), l.rest()})
	}
	s.PrintTable(rows)
	return nil
}

// readLog reads a log and counts what are no log lines.
func readLog(name string) (lines []*logLine, unreadable int, err error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, 0, fmt.Errorf("log: %w", err)
	}
	defer file.Close()
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		l := &logLine{process: filepath.Base(name), order: len(lines)}
		if json.Unmarshal(scanner.Bytes(), &l.fields) != nil {
			unreadable++
			continue
		}
		if vm := l.text("vm"); vm != "" {
			l.process = vm
		}
		l.at = timeOf(l.fields["time"])
		lines = append(lines, l)
	}
	if err := scanner.Err(); err != nil {
		return nil, 0, fmt.Errorf("log %s: %w", name, err)
	}
	return lines, unreadable, nil
}

// timeOf reads the time of a line, in milliseconds or as text.
func timeOf(v any) time.Time {
	switch v := v.(type) {
	case float64:
		return time.UnixMilli(int64(v))
	case string:
		// A line without a time stands first.
		at, _ := time.Parse(time.RFC3339, v)
		return at
	}
	return time.Time{}
}

// ownLines returns the lines about a request or one of its sendings.
func ownLines(lines []*logLine, id string) []*logLine {
	sendings := map[string]bool{}
	for _, l := range lines {
		if sending := l.text("sending"); l.text("requestId") == id && sending != "" {
			sendings[sending] = true
		}
	}
	var own []*logLine
	for _, l := range lines {
		if l.text("requestId") == id || sendings[l.text("sending")] {
			own = append(own, l)
		}
	}
	return own
}

// contextOf returns the latest lines of the processes of a request that are about
// no request, from shortly before it to its end.
func contextOf(lines, own []*logLine) []*logLine {
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
		count, involved := processes[l.process]
		about := l.text("requestId") != "" || l.text("sending") != ""
		if !involved || about || count == contextLines || l.at.Before(from.Add(-contextBefore)) || l.at.After(to) {
			continue
		}
		processes[l.process]++
		found = append(found, l)
	}
	return found
}

// rest returns the fields that have no column of their own.
func (l *logLine) rest() string {
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
				panic("a value that was read from JSON: " + err.Error())
			}
			text = string(b)
		}
		parts = append(parts, name+"="+text)
	}
	slices.Sort(parts)
	return strings.Join(parts, " ")
}
