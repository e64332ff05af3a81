package settings

import (
	"bytes"
	"fmt"
	"reflect"
	"strings"
	"unicode/utf8"

	"gopkg.in/ini.v1"
)

// entry is the value of one line "key = value" and the number of the line.
type entry struct {
	line  int
	value string
}

// decoder collects the entries and errors of one file. sections maps the name
// of a section to the line of its header, and entries maps section.key to the
// entry.
type decoder struct {
	file     string
	fields   []field
	errors   Errors
	sections map[string]int
	entries  map[string]entry
}

func (d *decoder) addError(line int, setting, found, expected string) {
	d.errors = append(d.errors, Error{File: d.file, Line: line, Setting: setting, Found: found, Expected: expected})
}

// read splits the file into entries. It passes each line to the INI library
// separately, because the library does not report line numbers and keeps only
// the last of two equal keys. The format has no values that span several lines.
func (d *decoder) read(data []byte) {
	d.sections = map[string]int{}
	d.entries = map[string]entry{}
	if len(data) > MaxFileBytes {
		d.addError(0, "", fmt.Sprintf("%d bytes", len(data)), fmt.Sprintf("at most %d bytes", MaxFileBytes))
		return
	}
	section, known := "", false
	number := 0
	for line := range bytes.Lines(data) {
		number++
		if !utf8.Valid(line) || bytes.ContainsRune(line, 0) {
			d.addError(number, "", "bytes that are not text", "UTF-8 text")
			continue
		}
		file, err := ini.LoadSources(ini.LoadOptions{
			IgnoreContinuation:       true,
			SpaceBeforeInlineComment: true,
			KeyValueDelimiters:       "=",
		}, bytes.TrimRight(line, "\r\n"))
		if err != nil {
			// The line may contain a secret, so the error shows only its first
			// word.
			first, _, _ := strings.Cut(strings.TrimSpace(string(line)), " ")
			if len(first) > 32 {
				first = first[:32] + "..."
			}
			d.addError(number, "", fmt.Sprintf("a line that begins with %q", first), "[section], key = value or # comment")
			continue
		}
		if name, rest, ok := sectionHeader(line); ok {
			if rest != "" {
				d.addError(number, name, fmt.Sprintf("%q after the section", rest), "the section alone on its line")
			}
			section = name
			known = d.startSection(section, number)
			continue
		}
		for _, key := range file.Section(ini.DefaultSection).Keys() {
			if known || section == "" {
				d.addEntry(section, key.Name(), entry{number, key.Value()})
			}
		}
	}
}

// sectionHeader parses a line "[name]". It also returns the rest of the line,
// unless that is a comment, because the library ignores the rest without an
// error. ok is false if the line is not a section header.
func sectionHeader(line []byte) (name, rest string, ok bool) {
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

// startSection records the header of a section and returns whether the target
// has the section. It reports an error for an unknown or repeated section.
func (d *decoder) startSection(section string, line int) bool {
	var names []string
	known := false
	for _, f := range d.fields {
		if len(names) == 0 || names[len(names)-1] != f.section {
			names = append(names, f.section)
		}
		known = known || f.section == section
	}
	switch earlierLine := d.sections[section]; {
	case !known:
		d.addError(line, section, "an unknown section", "one of "+strings.Join(names, ", "))
	case earlierLine > 0:
		d.addError(line, section, "a duplicate section", fmt.Sprintf("the section only once, on line %d", earlierLine))
	default:
		d.sections[section] = line
	}
	return known
}

func (d *decoder) addEntry(section, key string, e entry) {
	if section == "" {
		d.addError(e.line, key, "a setting before any section", "a [section] above it")
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
			d.addError(e.line, name, "a duplicate key", fmt.Sprintf("the key only once, on line %d", earlier.line))
			return
		}
		d.entries[name] = e
		return
	}
	d.addError(e.line, name, "an unknown key", "one of "+strings.Join(names, ", "))
}

// assign sets one field of target to its value in the file or to its default
// value.
func (d *decoder) assign(f field, target reflect.Value) {
	value := target.FieldByIndex(f.index)
	e, ok := d.entries[f.name()]
	if !ok {
		if f.check.required {
			d.addError(d.sections[f.section], f.name(), "no value", "a value, because the setting is required")
		} else if f.defaultValue != "" {
			// newField has already checked that the default value is valid.
			f.set(value, f.defaultValue)
		}
		return
	}
	if expected := f.set(value, e.value); expected != "" {
		found := fmt.Sprintf("%q", e.value)
		if f.check.secret {
			found = fmt.Sprintf("a secret of %d bytes", len(e.value))
		}
		d.addError(e.line, f.name(), found, expected)
	}
}
