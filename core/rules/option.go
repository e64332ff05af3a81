package rules

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// OptionName is the name of a system-wide value.
type OptionName string

// Names of options.
const (
	// OptionResendWindow is how long request ids are kept.
	OptionResendWindow OptionName = "resendWindow"
	// OptionMoveTimeout limits how long a planned move waits for requests in
	// flight.
	OptionMoveTimeout OptionName = "moveTimeout"
	// OptionHoldTimeout limits how long an entry node holds a request whose
	// partition is moving.
	OptionHoldTimeout OptionName = "holdTimeout"
	// OptionMaxDepth limits the depth of nested calls.
	OptionMaxDepth OptionName = "maxDepth"
	// OptionChurnPerMinute limits the share of an upstream's partitions that
	// balancing moves in a minute.
	OptionChurnPerMinute OptionName = "churnPerMinute"
)

// OptionKind is the type of an option's value.
type OptionKind int

// Values of OptionKind.
const (
	OptionKindDuration OptionKind = iota
	OptionKindInteger
	OptionKindPercentage
)

// String returns the name of the kind that the rules reference uses.
func (k OptionKind) String() string {
	return [...]string{"duration", "whole number", "percentage"}[k]
}

// OptionSpec describes one option. For a duration, defaultValue, low and high
// are in nanoseconds. For a percentage, defaultValue is a fraction of 1, and
// low and high are in percent.
type OptionSpec struct {
	Name OptionName
	Kind OptionKind
	// Default, Low and High are in canonical form. Low and High are inclusive.
	Default string
	Low     string
	High    string
	Help    string

	defaultValue, low, high float64
}

// optionSpecs lists the options, sorted by name.
var optionSpecs = []OptionSpec{
	percentageOption(OptionChurnPerMinute, 5, 0, 100, "share of an upstream's partitions that balancing may move in a minute"),
	durationOption(OptionHoldTimeout, time.Second, 0, 30*time.Second, "time that a request waits for a partition that is moving"),
	integerOption(OptionMaxDepth, 2, 0, 2, "depth of nested calls; a caller's own request has depth 0"),
	durationOption(OptionMoveTimeout, 2*time.Second, 10*time.Millisecond, time.Minute,
		"time that a planned move waits for requests in flight"),
	durationOption(OptionResendWindow, time.Minute, time.Second, time.Hour, "time that request ids are kept"),
}

func durationOption(name OptionName, defaultValue, low, high time.Duration, help string) OptionSpec {
	return OptionSpec{
		name, OptionKindDuration, formatDuration(defaultValue), formatDuration(low), formatDuration(high), help,
		float64(defaultValue), float64(low), float64(high),
	}
}

func integerOption(name OptionName, defaultValue, low, high int, help string) OptionSpec {
	return OptionSpec{
		name, OptionKindInteger, strconv.Itoa(defaultValue), strconv.Itoa(low), strconv.Itoa(high), help,
		float64(defaultValue), float64(low), float64(high),
	}
}

// percentageOption takes its numbers in percent.
func percentageOption(name OptionName, defaultValue, low, high float64, help string) OptionSpec {
	return OptionSpec{
		name, OptionKindPercentage, formatShare(defaultValue / 100), formatShare(low / 100), formatShare(high / 100), help,
		defaultValue / 100, low, high,
	}
}

// Options returns the options that a rules file may set, sorted by name.
func Options() []OptionSpec {
	return slices.Clone(optionSpecs)
}

func findOption(name OptionName) (OptionSpec, bool) {
	i := slices.IndexFunc(optionSpecs, func(s OptionSpec) bool { return s.Name == name })
	if i < 0 {
		return OptionSpec{}, false
	}
	return optionSpecs[i], true
}

// canonical parses a value and returns it in canonical form. It reports an
// error if the value is not valid.
func (s OptionSpec) canonical(c *cursor, w word) string {
	switch s.Kind {
	case OptionKindDuration:
		return formatDuration(c.duration(w, time.Duration(s.low), time.Duration(s.high)))
	case OptionKindInteger:
		return strconv.FormatInt(c.integer(w, int64(s.low), int64(s.high)), 10)
	default:
		return formatShare(c.percentage(w, s.low, s.high))
	}
}

// parseCanonical returns the number that a value in canonical form stands for:
// nanoseconds for a duration, a fraction of 1 for a percentage.
func (s OptionSpec) parseCanonical(text string) float64 {
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
		panic(fmt.Sprintf("rules: option %s has the value %q, which is not in canonical form", s.Name, text))
	}
	return value
}

func (p *parser) option(c *cursor) {
	w, ok := c.word("NAME=VALUE")
	if !ok {
		return
	}
	name, value, found := w.split()
	spec, known := findOption(OptionName(name))
	switch {
	case !known:
		var names []string
		for _, s := range optionSpecs {
			names = append(names, string(s.Name))
		}
		c.errorf(w.column, "unknown option %q; expected %s", name, strings.Join(names, ", "))
		return
	case !found || value.text == "":
		c.errorf(w.column, "option %s has no value; expected %s=VALUE", name, name)
		return
	}
	text := spec.canonical(c, value)
	c.settings()
	p.declare("option "+name, c.line, w.column)
	p.set.Options = append(p.set.Options, Option{name, text, c.comment})
}

// number returns the value of an option, or its default if no rule sets it. The
// unit is that of OptionSpec.parseCanonical.
func (s Set) number(name OptionName) float64 {
	spec, ok := findOption(name)
	if !ok {
		panic("rules: unknown option " + string(name))
	}
	for _, o := range s.Options {
		if o.Name == string(name) {
			return spec.parseCanonical(o.Value)
		}
	}
	return spec.defaultValue
}

// ResendWindow returns how long request ids are kept. The default is 60 s.
func (s Set) ResendWindow() time.Duration {
	return time.Duration(s.number(OptionResendWindow))
}

// MoveTimeout returns how long a planned move waits for requests in flight. The
// default is 2 s.
func (s Set) MoveTimeout() time.Duration {
	return time.Duration(s.number(OptionMoveTimeout))
}

// HoldTimeout returns how long an entry node holds a request whose partition is
// moving. The default is 1 s.
func (s Set) HoldTimeout() time.Duration {
	return time.Duration(s.number(OptionHoldTimeout))
}

// MaxDepth returns the maximum depth of nested calls. The default is 2.
func (s Set) MaxDepth() int {
	return int(s.number(OptionMaxDepth))
}

// ChurnPerMinute returns the share of an upstream's partitions, 0 to 1, that
// balancing may move in a minute. The default is 0.05. set reports whether a
// rule sets the option. If none does, the control members use their own
// settings.
func (s Set) ChurnPerMinute() (share float64, set bool) {
	set = slices.ContainsFunc(s.Options, func(o Option) bool { return o.Name == string(OptionChurnPerMinute) })
	return s.number(OptionChurnPerMinute), set
}
