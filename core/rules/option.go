package rules

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// OptionName names a value of the whole system.
type OptionName string

// Names of options.
const (
	// OptionResendWindow is how long request ids are kept.
	OptionResendWindow OptionName = "resendWindow"
	// OptionMoveTimeout bounds the time that a planned move waits for requests
	// in flight.
	OptionMoveTimeout OptionName = "moveTimeout"
	// OptionHoldTimeout bounds the time that an entry node holds a request
	// whose partition is moving.
	OptionHoldTimeout OptionName = "holdTimeout"
	// OptionMaxDepth bounds the depth of nested calls.
	OptionMaxDepth OptionName = "maxDepth"
	// OptionChurnPerMinute bounds the share of an upstream's partitions that
	// balancing may move in a minute.
	OptionChurnPerMinute OptionName = "churnPerMinute"
)

// OptionKind is the type of an option's value.
type OptionKind int

// Kinds of options.
const (
	OptionKindDuration OptionKind = iota
	OptionKindInteger
	OptionKindPercentage
)

// String returns the kind in the words of the rules reference.
func (k OptionKind) String() string {
	return [...]string{"duration", "whole number", "percentage"}[k]
}

// OptionSpec describes one option.
type OptionSpec struct {
	Name OptionName
	Kind OptionKind
	// Default, Low and High in the canonical form. Low and High are allowed.
	Default string
	Low     string
	High    string
	Help    string

	preset, low, high float64
}

// optionSpecs are sorted by name.
var optionSpecs = []OptionSpec{
	shareOption(OptionChurnPerMinute, 5, 0, 100, "share of an upstream's partitions that balancing may move in a minute"),
	durationOption(OptionHoldTimeout, time.Second, 0, 30*time.Second, "time that a request waits for a partition that is moving"),
	integerOption(OptionMaxDepth, 2, 0, 2, "depth of nested calls; a caller's own request has depth 0"),
	durationOption(OptionMoveTimeout, 2*time.Second, 10*time.Millisecond, time.Minute,
		"time that a planned move waits for requests in flight"),
	durationOption(OptionResendWindow, time.Minute, time.Second, time.Hour, "time that request ids are kept"),
}

func durationOption(name OptionName, preset, low, high time.Duration, help string) OptionSpec {
	return OptionSpec{
		name, OptionKindDuration, formatDuration(preset), formatDuration(low), formatDuration(high), help,
		float64(preset), float64(low), float64(high),
	}
}

func integerOption(name OptionName, preset, low, high int, help string) OptionSpec {
	return OptionSpec{
		name, OptionKindInteger, strconv.Itoa(preset), strconv.Itoa(low), strconv.Itoa(high), help,
		float64(preset), float64(low), float64(high),
	}
}

// shareOption takes percentages.
func shareOption(name OptionName, preset, low, high float64, help string) OptionSpec {
	return OptionSpec{
		name, OptionKindPercentage, formatShare(preset / 100), formatShare(low / 100), formatShare(high / 100), help,
		preset / 100, low, high,
	}
}

// Options returns the options that a rules file may set, by name.
func Options() []OptionSpec {
	return slices.Clone(optionSpecs)
}

func specOf(name OptionName) (OptionSpec, bool) {
	i := slices.IndexFunc(optionSpecs, func(s OptionSpec) bool { return s.Name == name })
	if i < 0 {
		return OptionSpec{}, false
	}
	return optionSpecs[i], true
}

// read checks a value and returns it in the canonical form.
func (s OptionSpec) read(c *cursor, w word) string {
	switch s.Kind {
	case OptionKindDuration:
		return formatDuration(c.duration(w, time.Duration(s.low), time.Duration(s.high)))
	case OptionKindInteger:
		return strconv.FormatInt(c.integer(w, int64(s.low), int64(s.high)), 10)
	default:
		return formatShare(c.share(w, s.low, s.high))
	}
}

// value returns the number that a value in the canonical form stands for: of
// nanoseconds for durations, a part of 1 for percentages.
func (s OptionSpec) value(text string) float64 {
	var value float64
	var err error
	switch s.Kind {
	case OptionKindDuration:
		var d time.Duration
		d, err = time.ParseDuration(text)
		value = float64(d)
	case OptionKindInteger:
		value, err = strconv.ParseFloat(text, 64)
	default:
		value, err = strconv.ParseFloat(strings.TrimSuffix(text, "%"), 64)
		value /= 100
	}
	if err != nil {
		panic(fmt.Sprintf("rules: option %s has the value %q, which Parse does not make", s.Name, text))
	}
	return value
}

func (p *parser) option(c *cursor) {
	w, ok := c.word("NAME=VALUE")
	if !ok {
		return
	}
	name, value, found := w.split()
	spec, known := specOf(OptionName(name))
	switch {
	case !known:
		var names []string
		for _, s := range optionSpecs {
			names = append(names, string(s.Name))
		}
		c.fail(w.column, "unknown option %q; expected %s", name, strings.Join(names, ", "))
		return
	case !found || value.text == "":
		c.fail(w.column, "option %s has no value; expected %s=VALUE", name, name)
		return
	}
	text := spec.read(c, value)
	c.settings()
	p.first("option "+name, c.line, w.column)
	p.set.Options = append(p.set.Options, Option{name, text, c.comment})
}

// number returns an option's value, or its default where no rule sets it.
func (s Set) number(name OptionName) float64 {
	spec, ok := specOf(name)
	if !ok {
		panic("rules: unknown option " + string(name))
	}
	for _, o := range s.Options {
		if o.Name == string(name) {
			return spec.value(o.Value)
		}
	}
	return spec.preset
}

// ResendWindow returns how long request ids are kept. Default 60 s.
func (s Set) ResendWindow() time.Duration {
	return time.Duration(s.number(OptionResendWindow))
}

// MoveTimeout returns how long a planned move waits for requests in flight.
// Default 2 s.
func (s Set) MoveTimeout() time.Duration {
	return time.Duration(s.number(OptionMoveTimeout))
}

// HoldTimeout returns how long an entry node holds a request whose partition
// is moving. Default 1 s.
func (s Set) HoldTimeout() time.Duration {
	return time.Duration(s.number(OptionHoldTimeout))
}

// MaxDepth returns the depth that nested calls may have. Default 2.
func (s Set) MaxDepth() int {
	return int(s.number(OptionMaxDepth))
}

// ChurnPerMinute returns the share of an upstream's partitions, 0 to 1, that
// balancing may move in a minute. Default 0.05. set reports whether a rule
// gives it; the settings of the control members apply where none does.
func (s Set) ChurnPerMinute() (share float64, set bool) {
	set = slices.ContainsFunc(s.Options, func(o Option) bool { return o.Name == string(OptionChurnPerMinute) })
	return s.number(OptionChurnPerMinute), set
}
