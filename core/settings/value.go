package settings

import (
	"encoding"
	"fmt"
	"net/netip"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Member is one control member in a list of members, written as id=address.
type Member struct {
	// ID is at least 1.
	ID      uint64
	Address netip.AddrPort
}

// UnmarshalText parses a member such as 1=10.0.0.1:7000. The text of its error
// states what was expected.
func (m *Member) UnmarshalText(text []byte) error {
	id, address, found := strings.Cut(string(text), "=")
	number, err := strconv.ParseUint(strings.TrimSpace(id), 10, 64)
	if !found || err != nil || number == 0 {
		return errors.New("a member such as 1=10.0.0.1:7000, with an id of at least 1")
	}
	m.ID = number
	if m.Address, err = netip.ParseAddrPort(strings.TrimSpace(address)); err != nil {
		return errors.New("a member such as 1=10.0.0.1:7000, with an IP number and port")
	}
	return nil
}

// String returns the member as it is written in a settings file.
func (m Member) String() string {
	return fmt.Sprintf("%d=%s", m.ID, m.Address)
}

func isAddress(typ reflect.Type) bool {
	return typ == reflect.TypeFor[netip.AddrPort]()
}

func implementsTextUnmarshaler(typ reflect.Type) bool {
	return reflect.PointerTo(typ).Implements(reflect.TypeFor[encoding.TextUnmarshaler]())
}

// typeName returns the name of a type for the documentation. It returns an
// empty text for a type that is not supported.
func typeName(typ reflect.Type) string {
	switch {
	case typ == reflect.TypeFor[time.Duration]():
		return "duration"
	case isAddress(typ):
		return "address"
	case typ == reflect.TypeFor[Member]():
		return "member"
	case implementsTextUnmarshaler(typ):
		return strings.ToLower(typ.Name())
	}
	switch typ.Kind() {
	case reflect.String:
		return "text"
	case reflect.Bool:
		return "true or false"
	case reflect.Int, reflect.Int64, reflect.Uint32, reflect.Uint64:
		return "whole number"
	case reflect.Float64:
		return "number"
	case reflect.Slice:
		if element := typeName(typ.Elem()); element != "" && typ.Elem().Kind() != reflect.Slice {
			return "list of " + element
		}
	}
	return ""
}

// set decodes text into value and checks the conditions of the field. If the
// text is not valid, it returns what was expected, otherwise an empty text.
func (f field) set(value reflect.Value, text string) string {
	if text == "" && f.check.required {
		return "a value"
	}
	if expected := parse(value, text); expected != "" {
		return expected
	}
	c := f.check
	if len(c.oneOf) > 0 {
		for _, allowed := range c.oneOf {
			if text == allowed {
				return ""
			}
		}
		return c.describe(f.typ)
	}
	number := boundedQuantity(value)
	for _, bound := range []struct {
		text string
		sign float64
	}{{c.min, 1}, {c.max, -1}} {
		if bound.text == "" {
			continue
		}
		// parseCheck has already checked that the bound is valid.
		if limit, _ := parseBound(f.typ, bound.text); !(number*bound.sign >= limit*bound.sign) {
			return c.describe(f.typ)
		}
	}
	return ""
}

// boundedQuantity returns the number that min and max limit: the port of an
// address, the length of a string in bytes, the number of elements of a list, a
// duration in nanoseconds, or the number itself.
func boundedQuantity(value reflect.Value) float64 {
	if address, ok := value.Interface().(netip.AddrPort); ok {
		return float64(address.Port())
	}
	switch value.Kind() {
	case reflect.Int, reflect.Int64:
		return float64(value.Int())
	case reflect.Uint32, reflect.Uint64:
		return float64(value.Uint())
	case reflect.Float64:
		return value.Float()
	case reflect.String, reflect.Slice:
		return float64(value.Len())
	}
	return 0
}

// parse decodes text into value. If the text is not valid, it returns what was
// expected, otherwise an empty text.
func parse(value reflect.Value, text string) string {
	switch target := value.Addr().Interface().(type) {
	case *time.Duration:
		d, err := time.ParseDuration(text)
		if err != nil {
			return "a duration such as 1.5s, 400ms or 2m"
		}
		*target = d
		return ""
	case *netip.AddrPort:
		address, err := netip.ParseAddrPort(text)
		if err != nil {
			return "an IP number and port such as 10.0.0.1:7000 or [fd00::1]:7000"
		}
		*target = address
		return ""
	case encoding.TextUnmarshaler:
		if err := target.UnmarshalText([]byte(text)); err != nil {
			return err.Error()
		}
		return ""
	}
	return parseKind(value, text)
}

func parseKind(value reflect.Value, text string) string {
	switch value.Kind() {
	case reflect.String:
		value.SetString(text)
	case reflect.Bool:
		if text != "true" && text != "false" {
			return "true or false"
		}
		value.SetBool(text == "true")
	case reflect.Int, reflect.Int64:
		number, err := strconv.ParseInt(text, 10, value.Type().Bits())
		if err != nil {
			return "a whole number"
		}
		value.SetInt(number)
	case reflect.Uint32, reflect.Uint64:
		number, err := strconv.ParseUint(text, 10, value.Type().Bits())
		if err != nil {
			return "a whole number that is not negative"
		}
		value.SetUint(number)
	case reflect.Float64:
		number, err := strconv.ParseFloat(text, 64)
		if err != nil || number-number != 0 {
			return "a finite number such as 0.05"
		}
		value.SetFloat(number)
	case reflect.Slice:
		return parseList(value, text)
	}
	return ""
}

func parseList(value reflect.Value, text string) string {
	list := reflect.MakeSlice(value.Type(), 0, 0)
	if text != "" {
		for part := range strings.SplitSeq(text, ",") {
			part = strings.TrimSpace(part)
			if part == "" {
				return "a list without empty elements"
			}
			element := reflect.New(value.Type().Elem()).Elem()
			if expected := parse(element, part); expected != "" {
				return fmt.Sprintf("%s instead of %q", expected, part)
			}
			list = reflect.Append(list, element)
		}
	}
	value.Set(list)
	return ""
}
