// Package screen writes to an operator's terminal, or plainly to a file or
// pipe.
package screen

import (
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"unicode"

	"golang.org/x/sys/unix"
)

// Screen is where a command writes. It is not safe for concurrent use.
type Screen struct {
	out      io.Writer
	err      io.Writer
	terminal bool
	// passing is the text that the next output overwrites.
	passing string
}

// New returns a screen for results and messages. Passing text is shown only
// where err is a terminal.
func New(out, err io.Writer) *Screen {
	return &Screen{out: out, err: err, terminal: isTerminal(err)}
}

func isTerminal(w io.Writer) bool {
	f, ok := w.(*os.File)
	if !ok {
		return false
	}
	_, e := unix.IoctlGetTermios(int(f.Fd()), unix.TCGETS)
	return e == nil
}

// Printf writes a line of results.
func (s *Screen) Printf(format string, values ...any) {
	s.clear()
	fmt.Fprintf(s.out, format+"\n", values...)
}

// ResultWriter returns the writer of results, for a report of another package.
func (s *Screen) ResultWriter() io.Writer {
	s.clear()
	return s.out
}

// PrintErrf writes a line of messages.
func (s *Screen) PrintErrf(format string, values ...any) {
	s.clear()
	fmt.Fprintf(s.err, format+"\n", values...)
}

// Progressf shows text that the next output overwrites, on a terminal only.
func (s *Screen) Progressf(format string, values ...any) {
	text := fmt.Sprintf(format, values...)
	if !s.terminal || text == s.passing {
		return
	}
	s.clear()
	fmt.Fprint(s.err, text)
	s.passing = text
}

// ClearProgress removes passing text.
func (s *Screen) ClearProgress() {
	s.clear()
}

func (s *Screen) clear() {
	if s.passing != "" {
		fmt.Fprint(s.err, "\r\x1b[K")
		s.passing = ""
	}
}

// PrintTable writes rows in aligned columns.
func (s *Screen) PrintTable(rows [][]string) {
	s.clear()
	var b strings.Builder
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		for i, cell := range row {
			row[i] = Sanitize(cell)
		}
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	// A strings.Builder does not fail.
	_ = w.Flush()
	for line := range strings.Lines(b.String()) {
		fmt.Fprintln(s.out, strings.TrimRight(line, " \n"))
	}
}

// Sanitize replaces characters that could steer a terminal. Names come from
// backend servers, which announce them without a check.
func Sanitize(text string) string {
	return strings.Map(func(r rune) rune {
		if unicode.IsPrint(r) {
			return r
		}
		return '?'
	}, text)
}
