package settings

import (
	"bytes"
	"fmt"
	"reflect"
	"strings"
	"unicode/utf8"

	"gopkg.in/ini.v1"
)

// entry is one line key = value of the file.
type entry struct {
	line  int
	value string
}

// decoder collects the lines and faults of one file.
type decoder struct {
	file     string
	fields   []field
	errors   Errors
	sections map[string]int
	entries  map[string]entry
}

func (d *decoder) fail(line int, setting, found, expected string) {
	d.errors = append(d.errors, Error{File: d.file, Line: line, Setting: setting, Found: found, Expected: expected})
}

// read splits the file into entries. Each line goes through the INI library
// by itself: the library knows no line numbers and keeps only the last of two
// equal keys, and values of several lines are not part of the format.
func (d *decoder) read(data []byte) {
	d.sections = map[string]int{}
	d.entries = map[string]entry{}
	if len(data) > MaxFileBytes {
		d.fail(0, "", fmt.Sprintf("%d bytes", len(data)), fmt.Sprintf("at most %d bytes", MaxFileBytes))
		return
	}
	section, known := "", false
	number := 0
	for line := range bytes.Lines(data) {
		number++
		if !utf8.Valid(line) || bytes.ContainsRune(line, 0) {
			d.fail(number, "", "bytes that are not text", "UTF-8 text")
			continue
		}
		file, err := ini.LoadSources(ini.LoadOptions{
			IgnoreContinuation:       true,
			SpaceBeforeInlineComment: true,
			KeyValueDelimiters:       "=",
		}, bytes.TrimRight(line, "\r\n"))
		if err != nil {
			// The line may hold a secret: only its first word is shown.
			first, _, _ := strings.Cut(strings.TrimSpace(string(line)), " ")
			if len(first) > 32 {
				first = first[:32] + "..."
			}
			d.fail(number, "", fmt.Sprintf("a line that begins with %q", first), "[section], key = value or # comment")
			continue
		}
		if name, rest, ok := header(line); ok {
			if rest != "" {
				d.fail(number, name, fmt.Sprintf("%q after the section", rest), "the section alone on its line")
			}
			section = name
			known = d.enter(section, number)
			continue
		}
		for _, key := range file.Section(ini.DefaultSection).Keys() {
			if known || section == "" {
				d.add(section, key.Name(), entry{number, key.Value()})
			}
		}
	}
}

// header returns the name of a section header and what follows it other than
// a comment, which the library passes over in silence.
func header(line []byte) (name, rest string, ok bool) {
	text, found := strings.CutPrefix(strings.TrimSpace(string(line)), "[")
	if !found {
		return "", "", false
	}
	name, rest, _ = strings.Cut(text, "]")
	rest = strings.TrimSpace(rest)
	if strings.HasPrefix(rest, "#") || strings.HasPrefix(rest, ";") {
		rest = ""
	}
	return name, rest, true
}

// enter notes the start of a section and reports whether it is known.
func (d *decoder) enter(section string, line int) bool {
	var names []string
	known := false
	for _, f := range d.fields {
		if len(names) == 0 || names[len(names)-1] != f.section {
			names = append(names, f.section)
		}
		known = known || f.section == section
	}
	switch earlier := d.sections[section]; {
	case !known:
		d.fail(line, section, "an unknown section", "one of "+strings.Join(names, ", "))
	case earlier > 0:
		d.fail(line, section, "the section again", fmt.Sprintf("it only once, on line %d", earlier))
	default:
		d.sections[section] = line
	}
	return known
}

func (d *decoder) add(section, key string, e entry) {
	if section == "" {
		d.fail(e.line, key, "a setting before any section", "a [section] above it")
		return
	}
	name := section + "." + key
	var names []string
	for _, f := range d.fields {
		if f.section == section {
			names = append(names, f.key)
		}
		if f.name() != name {
			continue
		}
		if earlier, ok := d.entries[name]; ok {
			d.fail(e.line, name, "the key again", fmt.Sprintf("it only once, on line %d", earlier.line))
			return
		}
		d.entries[name] = e
		return
	}
	d.fail(e.line, name, "an unknown key", "one of "+strings.Join(names, ", "))
}

// assign sets one field of the target from the file or its default.
func (d *decoder) assign(f field, target reflect.Value) {
	value := target.FieldByIndex(f.index)
	e, ok := d.entries[f.name()]
	if !ok {
		if f.check.required {
			d.fail(d.sections[f.section], f.name(), "no value", "a value: the setting is required")
		} else if f.preset != "" {
			// fieldsOf has checked the default.
			f.set(value, f.preset)
		}
		return
	}
	if expected := f.set(value, e.value); expected != "" {
		found := fmt.Sprintf("%q", e.value)
		if f.check.secret {
			found = fmt.Sprintf("%d bytes that are not shown", len(e.value))
		}
		d.fail(e.line, f.name(), found, expected)
	}
}
