// Package settings decodes INI settings and reports every fault with its file and line.
//
// The target is a struct whose fields are sections; the fields of a section are settings:
//
//	type settings struct {
//		Listen struct {
//			Peer netip.AddrPort `ini:"peer" check:"required" help:"address for other nodes"`
//		} `ini:"listen"`
//	}
//
// Field types are string, bool, int, int64, uint32, uint64, float64, time.Duration, netip.AddrPort, Member, any other
// type whose pointer implements encoding.TextUnmarshaler, and slices of these. Elements of a slice are separated by
// commas. A setting that the file does not have takes the value of the tag default, or else keeps the value that the
// target came with.
//
// The tag check holds conditions separated by |. required refuses a missing or empty value. min and max bound a number
// or duration, the port of an address, the bytes of a string and the count of a list. oneof=a,b lists the values of a
// string. secret keeps the value out of errors and tables.
package settings

import (
	"cmp"
	"fmt"
	"reflect"
	"slices"
	"strings"
)

// MaxFileBytes bounds the bytes of a settings file.
const MaxFileBytes = 1 << 20

// Error is one fault of a settings file.
type Error struct {
	File string
	// Line counts from 1. It is 0 where the file lacks the section that a
	// required setting belongs to.
	Line int
	// Setting is section.key, or only the section where it is unknown.
	Setting  string
	Found    string
	Expected string
}

// Error returns the fault on one line, for example
// "node.ini:4: listen.peer: found "localhost:80", expected an IP number and port such as 10.0.0.1:7000".
func (e Error) Error() string {
	place := e.File
	if e.Line > 0 {
		place = fmt.Sprintf("%s:%d", e.File, e.Line)
	}
	if e.Setting != "" {
		place += ": " + e.Setting
	}
	return fmt.Sprintf("%s: found %s, expected %s", place, e.Found, e.Expected)
}

// Errors are all faults of one settings file, by line and setting.
type Errors []Error

// Error returns one fault per line.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i, fault := range e {
		lines[i] = fault.Error()
	}
	return strings.Join(lines, "\n")
}

// Decode fills target, a pointer to a struct of sections, from the bytes of an
// INI file; file is only used in errors. The error is of type Errors and has
// every fault; target is then left as it was. Decode panics where target or
// its tags are not as the package describes.
func Decode(file string, data []byte, target any) error {
	fields := fieldsOf(target)
	d := decoder{file: file, fields: fields}
	d.read(data)
	value := reflect.ValueOf(target).Elem()
	result := reflect.New(value.Type()).Elem()
	result.Set(value)
	for _, f := range fields {
		d.assign(f, result)
	}
	if len(d.errors) > 0 {
		slices.SortStableFunc(d.errors, func(a, b Error) int {
			return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Setting, b.Setting))
		})
		return d.errors
	}
	value.Set(result)
	return nil
}

// Setting describes one setting for a table in documents.
type Setting struct {
	Section string
	Key     string
	// Type in the words of the file, such as "duration" or "list of address".
	Type    string
	Default string
	// Limits are the conditions in words, empty for none.
	Limits   string
	Required bool
	Help     string
}

// Describe returns the settings of target in the order of its fields. It
// panics where Decode would.
func Describe(target any) []Setting {
	var all []Setting
	for _, f := range fieldsOf(target) {
		all = append(all, Setting{
			Section:  f.section,
			Key:      f.key,
			Type:     typeName(f.typ),
			Default:  f.preset,
			Limits:   f.check.words(f.typ),
			Required: f.check.required,
			Help:     f.help,
		})
	}
	return all
}

// Table returns a Markdown table of settings.
func Table(all []Setting) string {
	var b strings.Builder
	b.WriteString("| setting | type | default | limits | meaning |\n|---|---|---|---|---|\n")
	for _, s := range all {
		preset := s.Default
		if s.Required {
			preset = "required"
		}
		fmt.Fprintf(&b, "| `%s.%s` | %s | %s | %s | %s |\n", s.Section, s.Key, s.Type, preset, s.Limits, s.Help)
	}
	return b.String()
}
