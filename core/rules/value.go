package rules

import (
	"math"
	"strconv"
	"strings"
	"time"
	"unicode"
)

// maxNameBytes is the maximum length of names.
const maxNameBytes = 63

const nameSyntax = "a letter or digit, then up to 62 letters, digits, dots, dashes or underscores"

func validName(text string) bool {
	if text == "" || len(text) > maxNameBytes {
		return false
	}
	for i, r := range text {
		plain := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9'
		if !plain && (i == 0 || !strings.ContainsRune("._-", r)) {
			return false
		}
	}
	return true
}

// integer parses a whole number from low to high. For any other text it reports
// an error and returns low.
func (c *cursor) integer(w word, low, high int64) int64 {
	number, err := strconv.ParseInt(w.text, 10, 64)
	if err != nil || !onlyDigits(w.text, "") || number < low || number > high {
		c.errorf(w.column, "found %q; expected a whole number from %d to %d", w.text, low, high)
		return low
	}
	return number
}

// decimal parses a number from low to high that may have a decimal point. For
// any other text it reports an error and returns low.
func (c *cursor) decimal(w word, low, high float64) float64 {
	number, err := strconv.ParseFloat(w.text, 64)
	if err != nil || !onlyDigits(w.text, ".") || number < low || number > high {
		c.errorf(w.column, "found %q; expected a number from %s to %s", w.text, formatNumber(low), formatNumber(high))
		return low
	}
	return number
}

// percentage parses a percentage from low to high and returns it as a fraction
// of 1. At most 4 digits may follow the decimal point, so that the canonical
// form has the same value. For any other text it reports an error and returns
// the fraction for low.
func (c *cursor) percentage(w word, low, high float64) float64 {
	text, found := strings.CutSuffix(w.text, "%")
	number, err := strconv.ParseFloat(text, 64)
	_, after, _ := strings.Cut(text, ".")
	if !found || err != nil || !onlyDigits(text, ".") || len(after) > 4 || number < low || number > high {
		c.errorf(w.column, "found %q; expected a percentage from %s%% to %s%%", w.text, formatNumber(low), formatNumber(high))
		return low / 100
	}
	return number / 100
}

// duration parses a duration from low to high. For any other text it reports an
// error and returns low.
func (c *cursor) duration(w word, low, high time.Duration) time.Duration {
	d, err := time.ParseDuration(w.text)
	if err != nil || d < low || d > high {
		c.errorf(w.column, "found %q; expected a duration from %s to %s, such as 250ms or 1m30s",
			w.text, formatDuration(low), formatDuration(high))
		return low
	}
	return d
}

// sizeUnits lists the units of sizes, the largest first.
var sizeUnits = []struct {
	name  string
	bytes int64
}{{"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10}, {"", 1}}

// size parses a number of bytes from low to high, with or without a unit. For
// any other text it reports an error and returns low.
func (c *cursor) size(w word, low, high int64) int64 {
	for _, u := range sizeUnits {
		text, found := strings.CutSuffix(w.text, u.name)
		if !found {
			continue
		}
		number, err := strconv.ParseInt(text, 10, 64)
		if err == nil && onlyDigits(text, "") && number >= (low+u.bytes-1)/u.bytes && number <= high/u.bytes {
			return number * u.bytes
		}
		break
	}
	c.errorf(w.column, "found %q; expected a size from %s to %s, such as 65536, 64KiB or 20MiB",
		w.text, formatSize(low), formatSize(high))
	return low
}

// unquote returns a key without the double quotes that may enclose it.
func (c *cursor) unquote(w word) (string, bool) {
	if !strings.ContainsRune(w.text, '"') {
		return w.text, true
	}
	text, err := strconv.Unquote(w.text)
	if err != nil || text == "" || w.text[0] != '"' {
		c.errorf(w.column, "found %s; expected a key; one with spaces or quotes needs double quotes around it and \\\" for each quote", w.text)
		return "", false
	}
	return text, true
}

// onlyDigits reports whether text is not empty and consists of digits and the
// characters in others.
func onlyDigits(text, others string) bool {
	for _, r := range text {
		if (r < '0' || r > '9') && !strings.ContainsRune(others, r) {
			return false
		}
	}
	return text != ""
}

func formatNumber(number float64) string {
	return strconv.FormatFloat(number, 'f', -1, 64)
}

func formatShare(share float64) string {
	return formatNumber(math.Round(share*1e6)/1e4) + "%"
}

// formatDuration formats a duration without the zero units that
// time.Duration.String adds, such as 1m for 1m0s.
func formatDuration(d time.Duration) string {
	text := d.String()
	if strings.HasSuffix(text, "m0s") {
		text = strings.TrimSuffix(text, "0s")
	}
	if strings.HasSuffix(text, "h0m") {
		text = strings.TrimSuffix(text, "0m")
	}
	return text
}

func formatSize(bytes int64) string {
	for _, u := range sizeUnits {
		if bytes%u.bytes == 0 {
			return strconv.FormatInt(bytes/u.bytes, 10) + u.name
		}
	}
	panic("rules: no unit divides the size")
}

// formatQuoted returns a key, in double quotes if Parse could not read it
// without them.
func formatQuoted(text string) string {
	plain := func(r rune) bool {
		return r != '"' && r != '\\' && r != unicode.ReplacementChar && unicode.IsPrint(r) && !unicode.IsSpace(r)
	}
	if strings.IndexFunc(text, func(r rune) bool { return !plain(r) }) < 0 {
		return text
	}
	return strconv.Quote(text)
}
