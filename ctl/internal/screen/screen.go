// Package screen writes the output of a command line program. On a terminal it also
// shows transient progress text.
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

// Screen writes results to standard output and messages to standard error. It is
// not safe for concurrent use.
type Screen struct {
	stdout   io.Writer
	stderr   io.Writer
	terminal bool
	// progress is the progress text on the terminal, empty for none.
	progress string
}

// New returns a screen. Progress text is shown only if stderr is a terminal.
func New(stdout, stderr io.Writer) *Screen {
	return &Screen{stdout: stdout, stderr: stderr, terminal: isTerminal(stderr)}
}

func isTerminal(w io.Writer) bool {
	file, ok := w.(*os.File)
	if !ok {
		return false
	}
	_, err := unix.IoctlGetTermios(int(file.Fd()), unix.TCGETS)
	return err == nil
}

// Printf writes a line of results and adds the newline.
func (s *Screen) Printf(format string, values ...any) {
	s.clear()
	fmt.Fprintf(s.stdout, format+"\n", values...)
}

// ResultWriter clears the progress text and returns the writer of results, for
// output that another package writes.
func (s *Screen) ResultWriter() io.Writer {
	s.clear()
	return s.stdout
}

// PrintErrf writes a line of messages and adds the newline.
func (s *Screen) PrintErrf(format string, values ...any) {
	s.clear()
	fmt.Fprintf(s.stderr, format+"\n", values...)
}

// Progressf shows a progress text that the next output replaces. It does nothing if
// messages are not written to a terminal.
func (s *Screen) Progressf(format string, values ...any) {
	text := fmt.Sprintf(format, values...)
	if !s.terminal || text == s.progress {
		return
	}
	s.clear()
	fmt.Fprint(s.stderr, text)
	s.progress = text
}

// ClearProgress removes the progress text.
func (s *Screen) ClearProgress() {
	s.clear()
}

func (s *Screen) clear() {
	if s.progress != "" {
		fmt.Fprint(s.stderr, "\r\x1b[K")
		s.progress = ""
	}
}

// PrintTable writes rows in aligned columns. It sanitizes the cells of rows in place.
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
	// Writing to a strings.Builder does not fail.
	_ = w.Flush()
	for line := range strings.Lines(b.String()) {
		fmt.Fprintln(s.stdout, strings.TrimRight(line, " \n"))
	}
}

// Sanitize replaces characters that are not printable by question marks. Names are
// announced by backend servers and are not validated, so that they could contain
// terminal escape sequences.
func Sanitize(text string) string {
	return strings.Map(func(r rune) rune {
		if unicode.IsPrint(r) {
			return r
		}
		return '?'
	}, text)
}
