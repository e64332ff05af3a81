package rules

import (
	"fmt"
	"strings"
	"unicode"
	"unicode/utf8"
)

// Bounds of a rules file.
const (
	// MaxFileBytes bounds the bytes of the text, as the replicated state does;
	// MaxLineBytes those of one line.
	MaxFileBytes = 1 << 20
	MaxLineBytes = 4096
	// MaxErrors bounds the faults that are reported, so that a file of another
	// kind gives a message of bounded size.
	MaxErrors = 1000
	// usualWords is the number of words that most rules do not exceed. Room
	// for them at once avoids growing the slice up to 4 times per rule.
	usualWords = 8
	// maxWho bounds the characters of the name before the colon.
	maxWho = 100
)

// word is a part of a rule without white space, except inside double quotes.
type word struct {
	text   string
	column int
}

// split returns the parts before and after the first =, each with its column.
func (w word) split() (name string, value word, found bool) {
	name, text, found := strings.Cut(w.text, "=")
	return name, word{text, w.column + utf8.RuneCountInString(name) + 1}, found
}

// statement is one rule of the file, not yet understood.
type statement struct {
	words   []word
	line    int
	end     int
	comment Comment
}

// scan splits the text into statements. It reports faults of lines that it
// passes over.
func (p *parser) scan(text string) []statement {
	if len(text) > MaxFileBytes {
		p.fail(0, 0, "the file has %d bytes; expected at most %d", len(text), MaxFileBytes)
		return nil
	}
	all := make([]statement, 0, strings.Count(text, "\n")+1)
	number := 0
	for line := range strings.Lines(strings.TrimPrefix(text, "\ufeff")) {
		number++
		line = strings.TrimSuffix(strings.TrimSuffix(line, "\n"), "\r")
		if s, ok := p.scanLine(number, line); ok {
			all = append(all, s)
		}
	}
	return all
}

func (p *parser) scanLine(number int, line string) (statement, bool) {
	s := statement{line: number}
	if len(line) > MaxLineBytes {
		p.fail(number, 1, "the line has %d bytes; expected at most %d", len(line), MaxLineBytes)
		return s, false
	}
	if column, fault := unreadable(line); fault != "" {
		p.fail(number, column, "%s; expected printable UTF-8 text", fault)
		return s, false
	}
	rest, column := line, 1
	for {
		trimmed := strings.TrimLeftFunc(rest, unicode.IsSpace)
		column += utf8.RuneCountInString(rest[:len(rest)-len(trimmed)])
		rest = trimmed
		if rest == "" || rest[0] == '#' {
			break
		}
		length, closed := wordLength(rest)
		if !closed {
			p.fail(number, column, "a double quote is not closed; expected another one in the same line")
			return s, false
		}
		if s.words == nil {
			s.words = make([]word, 0, usualWords)
		}
		s.words = append(s.words, word{rest[:length], column})
		column += utf8.RuneCountInString(rest[:length])
		s.end = column
		rest = rest[length:]
	}
	if len(s.words) == 0 {
		return s, false
	}
	s.comment = p.readComment(number, column, rest)
	return s, true
}

// readComment splits "# who: why" and reports what is missing.
func (p *parser) readComment(line, column int, text string) Comment {
	c := Comment{Line: line}
	if text == "" {
		p.fail(line, column, "the rule has no comment; expected # who: why at the end of the line")
		return c
	}
	who, why, found := strings.Cut(text[1:], ":")
	c.Who, c.Why = strings.TrimSpace(who), strings.TrimSpace(why)
	switch {
	case !found:
		p.fail(line, column, "the comment has no colon; expected # who: why")
	case c.Who == "":
		p.fail(line, column, "the comment does not say who asked for the rule; expected # who: why")
	case utf8.RuneCountInString(c.Who) > maxWho:
		p.fail(line, column, "the name before the colon is too long; expected at most %d characters", maxWho)
	case c.Why == "":
		p.fail(line, column, "the comment does not say why; expected # who: why")
	}
	return c
}

// wordLength returns the bytes up to the next white space outside quotes. A
// quote counts at the start of a word or after =.
func wordLength(text string) (length int, closed bool) {
	quoted := false
	escaped := false
	last := '='
	for i, r := range text {
		switch {
		case quoted && escaped:
			escaped = false
		case quoted && r == '\\':
			escaped = true
		case r == '"' && (quoted || last == '='):
			quoted = !quoted
		case !quoted && unicode.IsSpace(r):
			return i, true
		}
		last = r
	}
	return len(text), !quoted
}

// unreadable finds the first character that an editor or a terminal would not
// show as it is: control characters, and overrides of the writing direction,
// which can show a rule as another one.
func unreadable(line string) (column int, fault string) {
	for i, r := range line {
		column++
		if r < utf8.RuneSelf && (r >= ' ' || r == '\t') && r != 0x7f {
			continue
		}
		if r == utf8.RuneError {
			if _, size := utf8.DecodeRuneInString(line[i:]); size == 1 {
				return column, "bytes that are not UTF-8"
			}
		}
		override := r >= 0x202a && r <= 0x202e || r >= 0x2066 && r <= 0x2069
		if unicode.IsControl(r) || override || r == 0x2028 || r == 0x2029 {
			return column, fmt.Sprintf("the character U+%04X", r)
		}
	}
	return 0, ""
}
