package rules

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// line is one rule in the canonical form.
type line struct {
	// group orders the kinds of rules; a blank line stands between groups.
	group    int
	name     string
	identity string
	body     string
	comment  Comment
}

// Format returns the canonical form of a set: sorted, without defaults, one
// space between words. Parse returns an equal set for it, but for the order
// and the lines of comments.
func Format(s Set) string {
	var b strings.Builder
	last := 0
	for i, l := range lines(s) {
		if i > 0 && l.group != last {
			b.WriteByte('\n')
		}
		last = l.group
		b.WriteString(l.body + "  " + l.comment.String() + "\n")
	}
	return b.String()
}

// lines returns the rules of a set in the canonical order.
func lines(s Set) []line {
	var all []line
	add := func(group int, name, identity string, comment Comment, words ...string) {
		words = slices.DeleteFunc(words, func(w string) bool { return w == "" })
		all = append(all, line{group, name, identity, strings.Join(words, " "), comment})
	}
	for _, o := range s.Options {
		add(1, o.Name, "option "+o.Name, o.Comment, "option", o.Name+"="+o.Value)
	}
	for _, u := range s.Upstreams {
		upstreamLines(u, add)
	}
	for _, r := range s.Routes {
		add(3, r.Prefix+" "+r.Host, strings.TrimSpace("route "+r.Prefix+" "+r.Host), r.Comment, routeWords(r)...)
	}
	for _, z := range s.Zones {
		add(4, z.Name, "zone "+z.Name, z.Comment, "zone", z.Name, either(z.Out, "out", "in"))
	}
	for _, v := range s.Servers {
		add(5, v.Name, "server "+v.Name, v.Comment, "server", v.Name, either(v.Drain, "drain", "in"))
	}
	for _, pin := range s.Pins {
		place := fmt.Sprintf("partition=%d", pin.Partition)
		if pin.Key != "" {
			place = "key=" + formatQuoted(pin.Key)
		}
		name := fmt.Sprintf("%s %07d", pin.Upstream, pin.Partition)
		add(6, name, pinIdentity(pin), pin.Comment, "pin", pin.Upstream, place, "to", pin.Server)
	}
	slices.SortStableFunc(all, func(a, b line) int {
		return cmp.Or(cmp.Compare(a.group, b.group), cmp.Compare(a.name, b.name))
	})
	return all
}

func upstreamLines(u Upstream, add func(int, string, string, Comment, ...string)) {
	kind, partitions, keys := "unkeyed", "", ""
	if u.Keyed {
		kind, partitions = "keyed", fmt.Sprintf("partitions=%d", u.Partitions)
		if u.NumericKeys {
			keys = "keys=numbers"
		}
	}
	add(2, u.Name, "upstream "+u.Name, u.Comment, "upstream", u.Name, kind, partitions, keys,
		optional("slots", u.Slots, 0), optional("connections", u.Connections, 0), optional("queue", u.Queue, 0),
		optional("policy", u.Policy, ""))
	if u.LimitComment.given() {
		rate, share, body := "", "", ""
		if u.RequestsPerSecond > 0 {
			rate = "requestsPerSecond=" + formatNumber(u.RequestsPerSecond)
		}
		if u.KeyShare > 0 {
			share = "keyShare=" + formatShare(u.KeyShare)
		}
		if u.MaxBodyBytes > 0 {
			body = "body=" + formatSize(u.MaxBodyBytes)
		}
		// A rule must set something: the default of priority stands for nothing.
		least := 0
		if rate+share+body == "" {
			least = -1
		}
		add(2, u.Name, "limit "+u.Name, u.LimitComment, "limit", u.Name, rate, share,
			optional("priority", u.MinPriority, least), body)
	}
	if u.RetryComment.given() {
		add(2, u.Name, "retry "+u.Name, u.RetryComment, "retry", u.Name,
			"budget="+formatShare(u.RetryBudget), optional("attempts", u.RetryAttempts, 0), optional("burst", u.RetryBurst, 0))
	}
	if u.ColdStartComment.given() {
		add(2, u.Name, "cold "+u.Name, u.ColdStartComment, "cold", u.Name, "requestsPerSecond="+formatNumber(u.ColdStartRate))
	}
	if u.HedgeComment.given() {
		add(2, u.Name, "hedge "+u.Name, u.HedgeComment, "hedge", u.Name,
			"budget="+formatShare(u.HedgeBudget), "after="+formatDuration(u.HedgeAfter))
	}
}

func sharesText(r Route) string {
	if len(r.WeightedUpstreams) == 0 {
		return r.Upstream
	}
	parts := make([]string, 0, len(r.WeightedUpstreams))
	for _, s := range r.WeightedUpstreams {
		parts = append(parts, fmt.Sprintf("%s:%d", s.Upstream, s.Weight))
	}
	return strings.Join(parts, ",")
}

func routeWords(r Route) []string {
	key, timeout, idempotent, repeat, target := "", "", "", "", ""
	switch r.KeySource {
	case KeySourceNone:
	case KeySourceHeader:
		key = "key=header:" + r.KeyName
	case KeySourceSegment:
		key = fmt.Sprintf("key=segment:%d", r.KeySegment)
	case KeySourceQuery:
		key = "key=query:" + r.KeyName
	}
	if r.Timeout != DefaultTimeout {
		timeout = "timeout=" + formatDuration(r.Timeout)
	}
	if len(r.Idempotent) > 0 {
		idempotent = "idempotent=" + strings.Join(r.Idempotent, ",")
	}
	switch r.Repeat {
	case RepeatByMethod:
	case RepeatAlways:
		repeat = "repeat=always"
	case RepeatNever:
		repeat = "repeat=never"
	}
	if r.TargetLatency > 0 {
		target = "target=" + formatDuration(r.TargetLatency)
	}
	return []string{
		"route", r.Prefix, "to", sharesText(r), optional("host", r.Host, ""), key, timeout, idempotent,
		optional("priority", r.Priority, DefaultPriority), repeat, target, optional("attempts", r.MaxAttempts, 0),
	}
}

// optional returns NAME=VALUE, or nothing for the default.
func optional[T comparable](name string, value, preset T) string {
	if value == preset {
		return ""
	}
	return fmt.Sprintf("%s=%v", name, value)
}

func either(first bool, a, b string) string {
	if first {
		return a
	}
	return b
}
