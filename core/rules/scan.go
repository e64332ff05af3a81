package rules

import (
	"fmt"
	"strings"
	"unicode"
	"unicode/utf8"
)

// Limits of a rules file.
const (
	// MaxFileBytes limits the size of the file. The replicated state has the
	// same limit. MaxLineBytes limits the length of one line. It has room for
	// maxAPIKeys hashes.
	MaxFileBytes = 1 << 20
	MaxLineBytes = 32 << 10
	// MaxErrors limits the errors that are reported. It bounds the size of the
	// message for a file that is not a rules file.
	MaxErrors = 1000
	// typicalWords is the number of words that most rules do not exceed.
	// Allocating space for that many avoids growing the slice up to 4 times
	// per rule.
	typicalWords = 8
	// maxWhoChars limits the characters of a comment's name before the colon.
	maxWhoChars = 100
)

// word is a part of a rule. It has no white space outside double quotes.
type word struct {
	text   string
	column int
}

// split returns the parts before and after the first =, the second one with its
// column.
func (w word) split() (name string, value word, found bool) {
	name, text, found := strings.Cut(w.text, "=")
	return name, word{text, w.column + utf8.RuneCountInString(name) + 1}, found
}

// statement is one rule that is split into words but not yet parsed. end is the
// column after the last word.
type statement struct {
	words   []word
	line    int
	end     int
	comment Comment
}

// scan splits the text into statements. It skips blank lines, whole-line
// comments and malformed lines, and reports an error for each malformed one.
func (p *parser) scan(text string) []statement {
	if len(text) > MaxFileBytes {
		p.errorf(0, 0, "the file has %d bytes; expected at most %d", len(text), MaxFileBytes)
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
		p.errorf(number, 1, "the line has %d bytes; expected at most %d", len(line), MaxLineBytes)
		return s, false
	}
	if column, found := findUnprintable(line); found != "" {
		p.errorf(number, column, "%s; expected printable UTF-8 text", found)
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
			p.errorf(number, column, "unclosed double quote; expected a closing one on the same line")
			return s, false
		}
		if s.words == nil {
			s.words = make([]word, 0, typicalWords)
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

// readComment parses "# who: why" and reports an error if a part is missing.
func (p *parser) readComment(line, column int, text string) Comment {
	c := Comment{Line: line}
	if text == "" {
		p.errorf(line, column, "the rule has no comment; expected # who: why at the end of the line")
		return c
	}
	who, why, found := strings.Cut(text[1:], ":")
	c.Who, c.Why = strings.TrimSpace(who), strings.TrimSpace(why)
	switch {
	case !found:
		p.errorf(line, column, "the comment has no colon; expected # who: why")
	case c.Who == "":
		p.errorf(line, column, "the comment does not say who asked for the rule; expected # who: why")
	case utf8.RuneCountInString(c.Who) > maxWhoChars:
		p.errorf(line, column, "the name before the colon is too long; expected at most %d characters", maxWhoChars)
	case c.Why == "":
		p.errorf(line, column, "the comment does not say why; expected # who: why")
	}
	return c
}

// wordLength returns the number of bytes up to the next white space outside
// double quotes. A quote opens a quoted part only at the start of a word or
// after =. closed is false if the quoted part does not end.
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

// findUnprintable returns the column and a description of the first character
// that an editor or a terminal does not display as it is. These are control
// characters, line separators, invalid UTF-8 and characters that override the
// writing direction, which can make one rule look like another.
func findUnprintable(line string) (column int, description string) {
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
