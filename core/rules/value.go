package rules

import (
	"math"
	"strconv"
	"strings"
	"time"
	"unicode"
)

// maxName bounds the bytes of names.
const maxName = 63

const nameForm = "a letter or digit, then up to 62 letters, digits, dots, dashes or underscores"

func validName(text string) bool {
	if text == "" || len(text) > maxName {
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

// integer reads a whole number in a range and reports others.
func (c *cursor) integer(w word, low, high int64) int64 {
	number, err := strconv.ParseInt(w.text, 10, 64)
	if err != nil || !digits(w.text, "") || number < low || number > high {
		c.fail(w.column, "found %q; expected a whole number from %d to %d", w.text, low, high)
		return low
	}
	return number
}

// decimal reads a number in a range, with digits after a point if needed.
func (c *cursor) decimal(w word, low, high float64) float64 {
	number, err := strconv.ParseFloat(w.text, 64)
	if err != nil || !digits(w.text, ".") || number < low || number > high {
		c.fail(w.column, "found %q; expected a number from %s to %s", w.text, formatNumber(low), formatNumber(high))
		return low
	}
	return number
}

// share reads a percentage and returns it as a part of 1. Percentages have at
// most 4 digits after the point, so that the canonical form has the same value.
func (c *cursor) share(w word, low, high float64) float64 {
	text, found := strings.CutSuffix(w.text, "%")
	number, err := strconv.ParseFloat(text, 64)
	_, after, _ := strings.Cut(text, ".")
	if !found || err != nil || !digits(text, ".") || len(after) > 4 || number < low || number > high {
		c.fail(w.column, "found %q; expected a percentage from %s%% to %s%%", w.text, formatNumber(low), formatNumber(high))
		return low / 100
	}
	return number / 100
}

// duration reads a duration in a range.
func (c *cursor) duration(w word, low, high time.Duration) time.Duration {
	d, err := time.ParseDuration(w.text)
	if err != nil || d < low || d > high {
		c.fail(w.column, "found %q; expected a duration from %s to %s, such as 250ms or 1m30s",
			w.text, formatDuration(low), formatDuration(high))
		return low
	}
	return d
}

// units of sizes, the largest first.
var units = []struct {
	name  string
	bytes int64
}{{"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10}, {"", 1}}

// size reads a number of bytes in a range.
func (c *cursor) size(w word, low, high int64) int64 {
	for _, u := range units {
		text, found := strings.CutSuffix(w.text, u.name)
		if !found {
			continue
		}
		number, err := strconv.ParseInt(text, 10, 64)
		if err == nil && digits(text, "") && number >= (low+u.bytes-1)/u.bytes && number <= high/u.bytes {
			return number * u.bytes
		}
		break
	}
	c.fail(w.column, "found %q; expected a size from %s to %s, such as 65536, 64KiB or 20MiB",
		w.text, formatSize(low), formatSize(high))
	return low
}

// quoted returns a value that may stand in double quotes.
func (c *cursor) quoted(w word) (string, bool) {
	if !strings.ContainsRune(w.text, '"') {
		return w.text, true
	}
	text, err := strconv.Unquote(w.text)
	if err != nil || text == "" || w.text[0] != '"' {
		c.fail(w.column, "found %s; expected a key, in double quotes with \\\" for a quote where it has spaces or quotes", w.text)
		return "", false
	}
	return text, true
}

// digits reports whether text has only digits and the other characters given.
func digits(text, others string) bool {
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

// formatDuration leaves out the zero units that time.Duration writes.
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
	for _, u := range units {
		if bytes%u.bytes == 0 {
			return strconv.FormatInt(bytes/u.bytes, 10) + u.name
		}
	}
	panic("rules: no unit divides a size")
}

// formatQuoted returns a key in quotes where it could not be read without.
func formatQuoted(text string) string {
	plain := func(r rune) bool {
		return r != '"' && r != '\\' && r != unicode.ReplacementChar && unicode.IsPrint(r) && !unicode.IsSpace(r)
	}
	if strings.IndexFunc(text, func(r rune) bool { return !plain(r) }) < 0 {
		return text
	}
	return strconv.Quote(text)
}
