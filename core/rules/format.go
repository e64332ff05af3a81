package rules

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// canonicalRule is one rule in canonical form: its text without the comment,
// and the comment. Within a group, rules are sorted by sortKey. Two sets are
// compared rule by rule, and the identity tells which rules belong together.
type canonicalRule struct {
	// group orders the kinds of rules. A blank line separates groups.
	group    int
	sortKey  string
	identity string
	text     string
	comment  Comment
}

// Format returns the canonical form of a set: sorted, without default values
// and with one space between words. Parsing it returns an equal set, except for
// the order of the rules and the line numbers in comments.
func Format(s Set) string {
	var b strings.Builder
	last := 0
	for i, r := range canonicalRules(s) {
		if i > 0 && r.group != last {
			b.WriteByte('\n')
		}
		last = r.group
		b.WriteString(r.text + "  " + r.comment.String() + "\n")
	}
	return b.String()
}

// canonicalRules returns the rules of a set in canonical form and order.
func canonicalRules(s Set) []canonicalRule {
	var all []canonicalRule
	add := func(group int, sortKey, identity string, comment Comment, words ...string) {
		words = slices.DeleteFunc(words, func(w string) bool { return w == "" })
		all = append(all, canonicalRule{group, sortKey, identity, strings.Join(words, " "), comment})
	}
	for _, o := range s.Options {
		add(1, o.Name, "option "+o.Name, o.Comment, "option", o.Name+"="+o.Value)
	}
	for _, u := range s.Upstreams {
		addUpstreamRules(u, add)
	}
	for _, r := range s.Routes {
		add(3, r.Prefix+" "+r.Host, strings.TrimSpace("route "+r.Prefix+" "+r.Host), r.Comment, routeWords(r)...)
	}
	for _, z := range s.Zones {
		add(4, z.Name, "zone "+z.Name, z.Comment, "zone", z.Name, choose(z.Out, "out", "in"))
	}
	for _, v := range s.Servers {
		add(5, v.Name, "server "+v.Name, v.Comment, "server", v.Name, choose(v.Drain, "drain", "in"))
	}
	for _, pin := range s.Pins {
		keyOrPartition := fmt.Sprintf("partition=%d", pin.Partition)
		if pin.Key != "" {
			keyOrPartition = "key=" + formatQuoted(pin.Key)
		}
		sortKey := fmt.Sprintf("%s %07d", pin.Upstream, pin.Partition)
		add(6, sortKey, pinIdentity(pin), pin.Comment, "pin", pin.Upstream, keyOrPartition, "to", pin.Server)
	}
	for _, o := range s.Organisations {
		add(7, o.Name, "organisation "+o.Name, o.Comment, organisationWords(o)...)
	}
	slices.SortStableFunc(all, func(a, b canonicalRule) int {
		return cmp.Or(cmp.Compare(a.group, b.group), cmp.Compare(a.sortKey, b.sortKey))
	})
	return all
}

func addUpstreamRules(u Upstream, add func(int, string, string, Comment, ...string)) {
	kind, partitions, keys := "unkeyed", "", ""
	if u.Keyed {
		kind, partitions = "keyed", fmt.Sprintf("partitions=%d", u.Partitions)
		if u.NumericKeys {
			keys = "keys=numbers"
		}
	}
	add(2, u.Name, "upstream "+u.Name, u.Comment, "upstream", u.Name, kind, partitions, keys,
		nonDefault("slots", u.Slots, 0), nonDefault("connections", u.Connections, 0), nonDefault("queue", u.Queue, 0),
		nonDefault("health", u.HealthPath, ""), nonDefault("policy", u.Policy, ""))
	if u.LimitComment.present() {
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
		// A rule must have at least one setting. If all values are defaults,
		// priority=0 is written although it is the default.
		omittedPriority := 0
		if rate+share+body == "" {
			omittedPriority = -1
		}
		add(2, u.Name, "limit "+u.Name, u.LimitComment, "limit", u.Name, rate, share,
			nonDefault("priority", u.MinPriority, omittedPriority), body)
	}
	if u.RetryComment.present() {
		add(2, u.Name, "retry "+u.Name, u.RetryComment, "retry", u.Name,
			"budget="+formatShare(u.RetryBudget), nonDefault("attempts", u.RetryAttempts, 0), nonDefault("burst", u.RetryBurst, 0))
	}
	if u.ColdStartComment.present() {
		add(2, u.Name, "cold "+u.Name, u.ColdStartComment, "cold", u.Name, "requestsPerSecond="+formatNumber(u.ColdStartRate))
	}
	if u.HedgeComment.present() {
		add(2, u.Name, "hedge "+u.Name, u.HedgeComment, "hedge", u.Name,
			"budget="+formatShare(u.HedgeBudget), "after="+formatDuration(u.HedgeAfter))
	}
}

func formatUpstreams(r Route) string {
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
		"route", r.Prefix, "to", formatUpstreams(r), choose(r.Public, "public", ""), nonDefault("host", r.Host, ""), key, timeout, idempotent,
		nonDefault("priority", r.Priority, DefaultPriority), repeat, target, nonDefault("attempts", r.MaxAttempts, 0),
	}
}

// nonDefault returns NAME=VALUE, or an empty text if the value is the default.
func nonDefault[T comparable](name string, value, defaultValue T) string {
	if value == defaultValue {
		return ""
	}
	return fmt.Sprintf("%s=%v", name, value)
}

func choose(first bool, a, b string) string {
	if first {
		return a
	}
	return b
}
