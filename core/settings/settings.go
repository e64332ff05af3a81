// Package settings decodes INI files into structs and reports every error with
// its file and line.
//
// The target is a struct whose fields are the sections of the file. The fields
// of a section are its settings:
//
//	type settings struct {
//		Listen struct {
//			Peer netip.AddrPort `ini:"peer" check:"required" help:"address for other nodes"`
//		} `ini:"listen"`
//	}
//
// Field types are string, bool, int, int64, uint32, uint64, float64,
// time.Duration, netip.AddrPort, Member, any other type whose pointer
// implements encoding.TextUnmarshaler, and slices of these. Elements of a slice
// are separated by commas. A setting that is not in the file takes the value of
// the tag default. Without that tag, it keeps the value that the target has
// before decoding.
//
// The tag check holds conditions that are separated by |:
//
//   - required rejects a missing or empty value.
//   - min and max limit a number or duration, the port of an address, the
//     length of a string in bytes and the number of elements of a list.
//   - oneof=a,b lists the values that a string may have.
//   - secret keeps the value out of error messages.
//
// The tag help describes the setting in tables.
package settings

import (
	"cmp"
	"fmt"
	"reflect"
	"slices"
	"strings"
)

// MaxFileBytes limits the size of a settings file.
const MaxFileBytes = 1 << 20

// Error is one error in a settings file. Found describes what the file has,
// without the value of a secret.
type Error struct {
	File string
	// Line counts from 1. It is 0 for an error that concerns the whole file,
	// and for a required setting whose section is missing.
	Line int
	// Setting is section.key. It is only the section if the error concerns the
	// section, only the key if the key is in no section, and empty if the error
	// concerns a line that is neither a section nor a setting.
	Setting  string
	Found    string
	Expected string
}

// Error returns the error on one line, for example "node.ini:4: listen.peer:
// found "localhost:80", expected an IP number and port such as 10.0.0.1:7000".
func (e Error) Error() string {
	location := e.File
	if e.Line > 0 {
		location = fmt.Sprintf("%s:%d", e.File, e.Line)
	}
	if e.Setting != "" {
		location += ": " + e.Setting
	}
	return fmt.Sprintf("%s: found %s, expected %s", location, e.Found, e.Expected)
}

// Errors lists all errors of one settings file, sorted by line and setting.
type Errors []Error

// Error returns the errors, one per line.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i, err := range e {
		lines[i] = err.Error()
	}
	return strings.Join(lines, "\n")
}

// Decode decodes the INI file in data into target, which is a pointer to a
// struct of sections. The name file is only used in errors. If data has errors,
// Decode returns all of them as Errors and does not change target. It panics if
// target or its tags do not have the form that the package documentation
// describes.
func Decode(file string, data []byte, target any) error {
	fields := settingFields(target)
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

// Setting describes one setting for the documentation.
type Setting struct {
	Section string
	Key     string
	// Type is the type of the value, such as "duration" or "list of address".
	Type    string
	Default string
	// Limits describes the conditions of the tag check, except for required and
	// secret. It is empty if there are none.
	Limits   string
	Required bool
	Help     string
}

// Describe returns the settings of target in the order of its fields. It panics
// if target or its tags do not have the form that the package documentation
// describes.
func Describe(target any) []Setting {
	var all []Setting
	for _, f := range settingFields(target) {
		all = append(all, Setting{
			Section:  f.section,
			Key:      f.key,
			Type:     typeName(f.typ),
			Default:  f.defaultValue,
			Limits:   f.check.describe(f.typ),
			Required: f.check.required,
			Help:     f.help,
		})
	}
	return all
}

// Table returns a Markdown table of the settings.
func Table(all []Setting) string {
	var b strings.Builder
	b.WriteString("| setting | type | default | limits | meaning |\n|---|---|---|---|---|\n")
	for _, s := range all {
		defaultText := s.Default
		if s.Required {
			defaultText = "required"
		}
		fmt.Fprintf(&b, "| `%s.%s` | %s | %s | %s | %s |\n", s.Section, s.Key, s.Type, defaultText, s.Limits, s.Help)
	}
	return b.String()
}
