package settings

import (
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"time"
)

// field is one setting of the target.
type field struct {
	section string
	key     string
	preset  string
	help    string
	check   check
	typ     reflect.Type
	index   []int
}

func (f field) name() string {
	return f.section + "." + f.key
}

// check has the conditions of the tag of that name.
type check struct {
	required bool
	secret   bool
	min, max string
	oneOf    []string
}

// fieldsOf lists the settings of target and panics where the target or a tag
// is wrong, since that is a fault of the program and not of the file.
func fieldsOf(target any) []field {
	typ := reflect.TypeOf(target)
	if typ == nil || typ.Kind() != reflect.Pointer || typ.Elem().Kind() != reflect.Struct {
		panic(fmt.Sprintf("settings: target is %T, not a pointer to a struct", target))
	}
	var all []field
	seen := map[string]bool{}
	for section := range typ.Elem().Fields() {
		name := section.Tag.Get("ini")
		if name == "" || section.Type.Kind() != reflect.Struct {
			panic(fmt.Sprintf("settings: field %s is not a struct with the tag ini", section.Name))
		}
		for key := range section.Type.Fields() {
			f := fieldOf(name, key)
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

func fieldOf(section string, key reflect.StructField) field {
	f := field{
		section: section,
		key:     key.Tag.Get("ini"),
		preset:  key.Tag.Get("default"),
		help:    key.Tag.Get("help"),
		typ:     key.Type,
	}
	if f.key == "" || !key.IsExported() {
		panic(fmt.Sprintf("settings: field %s of section %s has no tag ini or is not exported", key.Name, section))
	}
	if typeName(f.typ) == "" {
		panic(fmt.Sprintf("settings: %s has the type %s, which cannot be decoded", f.name(), f.typ))
	}
	f.check = checkOf(f, key.Tag.Get("check"))
	if f.preset != "" {
		value := reflect.New(f.typ).Elem()
		if expected := f.set(value, f.preset); expected != "" {
			panic(fmt.Sprintf("settings: default %q of %s is not %s", f.preset, f.name(), expected))
		}
	}
	return f
}

func checkOf(f field, tag string) check {
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
			if _, err := boundOf(f.typ, value); err != nil {
				panic(fmt.Sprintf("settings: check %q of %s: %v", condition, f.name(), err))
			}
			if name == "min" {
				c.min = value
			} else {
				c.max = value
			}
		case "oneof":
			if f.typ.Kind() != reflect.String {
				panic(fmt.Sprintf("settings: check %q of %s, which is no string", condition, f.name()))
			}
			c.oneOf = strings.Split(value, ",")
		default:
			panic(fmt.Sprintf("settings: unknown check %q of %s", condition, f.name()))
		}
	}
	return c
}

// boundOf returns a bound as the number that measure returns for values.
func boundOf(typ reflect.Type, text string) (float64, error) {
	if typ == reflect.TypeFor[time.Duration]() {
		d, err := time.ParseDuration(text)
		return float64(d), err
	}
	return strconv.ParseFloat(text, 64)
}

// words returns the conditions for a person to read, without required.
func (c check) words(typ reflect.Type) string {
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
