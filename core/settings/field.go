package settings

import (
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"time"
)

// field describes one setting of the target. defaultValue is empty if there is
// none. index is the argument for reflect.Value.FieldByIndex.
type field struct {
	section      string
	key          string
	defaultValue string
	help         string
	check        check
	typ          reflect.Type
	index        []int
}

func (f field) name() string {
	return f.section + "." + f.key
}

// check holds the conditions of the tag check. An empty min, max or oneOf is no
// condition.
type check struct {
	required bool
	secret   bool
	min, max string
	oneOf    []string
}

// settingFields returns the settings of target. It panics if target or one of
// its tags is malformed, because that is an error of the program and not of the
// file.
func settingFields(target any) []field {
	typ := reflect.TypeOf(target)
	if typ == nil || typ.Kind() != reflect.Pointer || typ.Elem().Kind() != reflect.Struct {
		panic(fmt.Sprintf("settings: target has type %T, want a pointer to a struct", target))
	}
	var all []field
	seen := map[string]bool{}
	for section := range typ.Elem().Fields() {
		name := section.Tag.Get("ini")
		if name == "" || section.Type.Kind() != reflect.Struct {
			panic(fmt.Sprintf("settings: field %s must be a struct with the tag ini", section.Name))
		}
		for key := range section.Type.Fields() {
			f := newField(name, key)
			f.index = append([]int{section.Index[0]}, key.Index...)
			if seen[f.name()] {
				panic("settings: two fields for " + f.name())
			}
			seen[f.name()] = true
			all = append(all, f)
		}
	}
	return all
}

func newField(section string, key reflect.StructField) field {
	f := field{
		section:      section,
		key:          key.Tag.Get("ini"),
		defaultValue: key.Tag.Get("default"),
		help:         key.Tag.Get("help"),
		typ:          key.Type,
	}
	if f.key == "" || !key.IsExported() {
		panic(fmt.Sprintf("settings: field %s of section %s must be exported and have the tag ini", key.Name, section))
	}
	if typeName(f.typ) == "" {
		panic(fmt.Sprintf("settings: %s has the unsupported type %s", f.name(), f.typ))
	}
	f.check = parseCheck(f, key.Tag.Get("check"))
	if f.defaultValue != "" {
		value := reflect.New(f.typ).Elem()
		if expected := f.set(value, f.defaultValue); expected != "" {
			panic(fmt.Sprintf("settings: default %q of %s is invalid, expected %s", f.defaultValue, f.name(), expected))
		}
	}
	return f
}

func parseCheck(f field, tag string) check {
	var c check
	for condition := range strings.SplitSeq(tag, "|") {
		name, value, _ := strings.Cut(condition, "=")
		switch name {
		case "":
		case "required":
			c.required = true
		case "secret":
			c.secret = true
		case "min", "max":
			if _, err := parseBound(f.typ, value); err != nil {
				panic(fmt.Sprintf("settings: check %q of %s: %v", condition, f.name(), err))
			}
			if name == "min" {
				c.min = value
			} else {
				c.max = value
			}
		case "oneof":
			if f.typ.Kind() != reflect.String {
				panic(fmt.Sprintf("settings: check %q of %s, which is not a string", condition, f.name()))
			}
			c.oneOf = strings.Split(value, ",")
		default:
			panic(fmt.Sprintf("settings: unknown check %q of %s", condition, f.name()))
		}
	}
	return c
}

// parseBound returns a bound of min or max in the unit of boundedQuantity.
func parseBound(typ reflect.Type, text string) (float64, error) {
	if typ == reflect.TypeFor[time.Duration]() {
		d, err := time.ParseDuration(text)
		return float64(d), err
	}
	return strconv.ParseFloat(text, 64)
}

// describe returns the conditions as text, without required and secret. It
// returns an empty text if there are none.
func (c check) describe(typ reflect.Type) string {
	if n := len(c.oneOf); n > 1 {
		return strings.Join(c.oneOf[:n-1], ", ") + " or " + c.oneOf[n-1]
	} else if n == 1 {
		return c.oneOf[0]
	}
	before, after := "", ""
	switch {
	case typ.Kind() == reflect.Slice:
		after = " elements"
	case typ.Kind() == reflect.String:
		after = " bytes"
	case isAddress(typ):
		before = "a port of "
	}
	switch {
	case c.min != "" && c.max != "":
		return before + c.min + " to " + c.max + after
	case c.min != "":
		return before + "at least " + c.min + after
	case c.max != "":
		return before + "at most " + c.max + after
	}
	return ""
}
