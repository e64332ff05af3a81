package rules

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/jujubeknot/jujubeknot/core/keyspace"
)

// Limits of values in rules.
const (
	maxSlots             = 100_000
	maxConnections       = 100_000
	maxQueue             = 1_000_000
	maxRequestsPerSecond = 10_000_000
	maxBodyBytes         = 1 << 40
	maxPriority          = 9
	maxSegment           = 32
	maxAttempts          = 10
	maxRetryBurst        = 1000
	maxPrefixBytes       = 1024
	minTimeout           = time.Millisecond
	maxTimeout           = time.Hour
	minHedgeAfter        = time.Millisecond
	maxHedgeAfter        = time.Minute
)

// MaxWeight is the largest weight of an upstream of a route.
const MaxWeight = 1_000_000

// Policies of upstreams, the default first.
var (
	keyedPolicies   = []string{"balanced", "random", "roundRobin", "hashing", "ranges"}
	unkeyedPolicies = []string{"twoChoices", "random", "roundRobin", "leastInFlight", "nearest"}
)

func (p *parser) upstream(c *cursor) {
	name, ok := c.name("an upstream")
	if !ok {
		return
	}
	first := p.declare("upstream "+name.text, c.line, name.column)
	if first {
		p.upstreamIndexes[name.text] = -1
	}
	kind, ok := c.oneOf("keyed", "unkeyed")
	if !ok {
		return
	}
	u := Upstream{
		Name: name.text, Keyed: kind == "keyed", Comment: c.comment,
		RetryBudget: DefaultRetryBudget, RetryAttempts: DefaultRetryAttempts,
	}
	policies := unkeyedPolicies
	if u.Keyed {
		policies = keyedPolicies
		u.Partitions = keyspace.DefaultPartitions
	}
	c.settings(
		setting{"partitions", func(w word) {
			u.Partitions = uint32(c.integer(w, keyspace.MinPartitions, keyspace.MaxPartitions))
			if !u.Keyed {
				c.errorf(w.column, "an unkeyed upstream has no partitions; expected keyed, or no partitions=")
			} else if !keyspace.ValidPartitionCount(u.Partitions) {
				c.errorf(w.column, "found %q; expected a power of two from %d to %d",
					w.text, keyspace.MinPartitions, keyspace.MaxPartitions)
			}
		}},
		setting{"keys", func(w word) {
			u.NumericKeys = w.text == "numbers"
			if !u.Keyed || w.text != "numbers" && w.text != "hashed" {
				c.errorf(w.column, "found %q; expected hashed or numbers, for a keyed upstream", w.text)
			}
		}},
		setting{"slots", func(w word) { u.Slots = int(c.integer(w, 1, maxSlots)) }},
		setting{"connections", func(w word) { u.Connections = int(c.integer(w, 1, maxConnections)) }},
		setting{"queue", func(w word) { u.Queue = int(c.integer(w, 1, maxQueue)) }},
		setting{"health", func(w word) {
			u.HealthPath = w.text
			if !ValidHealthPath(w.text) {
				c.errorf(w.column, "found %q; expected a path that begins with /, of at most %d bytes and without any of ? # \" \\", w.text, maxPrefixBytes)
			}
		}},
		setting{"policy", func(w word) {
			u.Policy = w.text
			if !slices.Contains(policies, w.text) {
				c.errorf(w.column, "found %q; expected a policy of %s upstreams: %s", w.text, kind, strings.Join(policies, ", "))
			}
		}},
	)
	if u.NumericKeys && u.Partitions > keyspace.MaxNumericKey+1 {
		c.errorf(name.column, "%d partitions for %d possible keys; expected at most one partition per key", u.Partitions, keyspace.MaxNumericKey+1)
	}
	if first {
		p.upstreamIndexes[name.text] = len(p.set.Upstreams)
		p.set.Upstreams = append(p.set.Upstreams, u)
	}
}

func (p *parser) route(c *cursor) {
	prefix, ok := c.word("the prefix of a path, such as /applications")
	if !ok {
		return
	}
	if requirement := unmetPrefixRequirement(prefix.text); requirement != "" {
		c.errorf(prefix.column, "found %q; expected the prefix of a path that %s", prefix.text, requirement)
		return
	}
	// Prefixes that differ only in a trailing slash match the same paths.
	identity := prefix.text
	if len(identity) > 1 {
		identity = strings.TrimSuffix(identity, "/")
	}
	if !c.expect("to") {
		return
	}
	column := c.end
	if c.next < len(c.words) {
		column = c.words[c.next].column
	}
	upstreams, keyedUpstream, ok := c.weightedUpstreams()
	if !ok {
		return
	}
	r := Route{
		Prefix: prefix.text, Upstream: upstreams[0].Upstream, Timeout: DefaultTimeout, Priority: DefaultPriority, Comment: c.comment,
	}
	if len(upstreams) > 1 {
		r.WeightedUpstreams = upstreams
	}
	r.Public = c.flag("public")
	keyed := false
	c.settings(
		setting{"key", func(w word) {
			keyed = true
			c.keySource(w, &r)
		}},
		setting{"timeout", func(w word) { r.Timeout = c.duration(w, minTimeout, maxTimeout) }},
		setting{"idempotent", func(w word) { r.Idempotent = c.methods(w) }},
		setting{"priority", func(w word) { r.Priority = int(c.integer(w, 0, maxPriority)) }},
		setting{"host", func(w word) { r.Host = c.host(w) }},
		setting{"repeat", func(w word) { r.Repeat = c.repeat(w) }},
		setting{"target", func(w word) { r.TargetLatency = c.duration(w, minTimeout, maxTimeout) }},
		setting{"attempts", func(w word) { r.MaxAttempts = int(c.integer(w, 1, maxAttempts)) }},
	)
	p.declare(strings.TrimSpace("route "+identity+" "+r.Host), c.line, prefix.column)
	if keyedUpstream != "" && !keyed {
		c.errorf(column, "upstream %s is keyed and the route has no key; expected key=header:NAME, key=segment:N or key=query:NAME",
			keyedUpstream)
	}
	p.set.Routes = append(p.set.Routes, r)
}

// ValidHealthPath reports whether the setting health of an upstream may have a
// value.
func ValidHealthPath(path string) bool {
	return strings.HasPrefix(path, "/") && len(path) <= maxPrefixBytes &&
		strings.IndexFunc(path, func(r rune) bool { return r <= ' ' || r >= 0x7f || strings.ContainsRune("?#\"\\", r) }) < 0
}

// weightedUpstreams parses the upstreams of a route: NAME, or a list such as
// NAME:WEIGHT,NAME:WEIGHT. keyed is the name of a keyed upstream among them, or
// empty if there is none.
func (c *cursor) weightedUpstreams() (upstreams []WeightedUpstream, keyed string, ok bool) {
	w, ok := c.word("the name of an upstream")
	if !ok {
		return nil, "", false
	}
	column, sum := w.column, 0
	for part := range strings.SplitSeq(w.text, ",") {
		name, text, weighted := strings.Cut(part, ":")
		weightedUpstream := WeightedUpstream{Upstream: name, Weight: 1}
		if weighted {
			weightedUpstream.Weight = int(c.integer(word{text, column + len(name) + 1}, 0, MaxWeight))
		}
		upstream, known := c.lookupUpstream(word{name, column})
		if !known {
			return nil, "", false
		}
		if upstream != nil && upstream.Keyed {
			keyed = name
		}
		upstreams = append(upstreams, weightedUpstream)
		sum += weightedUpstream.Weight
		column += len(part) + 1
	}
	if sum == 0 {
		c.errorf(w.column, "the weights of %q add up to 0; expected at least one above 0", w.text)
	}
	return upstreams, keyed, true
}

// host parses the name of a host.
func (c *cursor) host(w word) string {
	if w.text != strings.ToLower(w.text) || strings.ContainsAny(w.text, "/:?#@\\\"") {
		c.errorf(w.column, "found %q; expected a host name in lower case without port", w.text)
	}
	return w.text
}

func (c *cursor) repeat(w word) Repeat {
	switch w.text {
	case "always":
		return RepeatAlways
	case "never":
		return RepeatNever
	case "byMethod":
		return RepeatByMethod
	}
	c.errorf(w.column, "found %q; expected always, never or byMethod", w.text)
	return RepeatByMethod
}

// unmetPrefixRequirement returns the first requirement that a prefix does not
// meet, or an empty text if it meets all requirements.
func unmetPrefixRequirement(prefix string) string {
	switch {
	case !strings.HasPrefix(prefix, "/"):
		return "begins with /"
	case len(prefix) > maxPrefixBytes:
		return "has at most 1024 bytes"
	case strings.Contains(prefix, "//"):
		return "has no empty segment"
	case strings.ContainsAny(prefix, "?#\"\\%"):
		return "has none of ? # \" \\ %"
	}
	for segment := range strings.SplitSeq(prefix, "/") {
		if segment == "." || segment == ".." {
			return "has no segment . or .."
		}
	}
	return ""
}

func (c *cursor) keySource(w word, r *Route) {
	const expected = "header:NAME, segment:N or query:NAME"
	kind, text, found := strings.Cut(w.text, ":")
	value := word{text, w.column + len(kind) + 1}
	switch {
	case found && kind == "segment":
		r.KeySource = KeySourceSegment
		r.KeySegment = int(c.integer(value, 1, maxSegment))
	case found && (kind == "header" || kind == "query"):
		r.KeySource, r.KeyName = KeySourceQuery, text
		if kind == "header" {
			r.KeySource, r.KeyName = KeySourceHeader, http.CanonicalHeaderKey(text)
		}
		if !validName(text) {
			c.errorf(value.column, "found %q; expected the name of a header or query parameter: %s", text, nameSyntax)
		}
	default:
		c.errorf(w.column, "found %q; expected %s", w.text, expected)
	}
}

// methods parses a list of methods and returns it sorted and without
// duplicates.
func (c *cursor) methods(w word) []string {
	all := strings.Split(w.text, ",")
	for _, method := range all {
		if method == "" || strings.Trim(method, "ABCDEFGHIJKLMNOPQRSTUVWXYZ") != "" {
			c.errorf(w.column, "found %q; expected methods in capitals such as POST,PATCH", w.text)
			return nil
		}
	}
	slices.Sort(all)
	return slices.Compact(all)
}

func (p *parser) zone(c *cursor) {
	name, ok := c.name("an availability zone")
	if !ok {
		return
	}
	state, ok := c.oneOf("out", "in")
	if !ok {
		return
	}
	c.settings()
	p.declare("zone "+name.text, c.line, name.column)
	p.set.Zones = append(p.set.Zones, Zone{name.text, state == "out", c.comment})
}

func (p *parser) server(c *cursor) {
	name, ok := c.name("a backend server")
	if !ok {
		return
	}
	state, ok := c.oneOf("drain", "in")
	if !ok {
		return
	}
	c.settings()
	p.declare("server "+name.text, c.line, name.column)
	p.set.Servers = append(p.set.Servers, Server{name.text, state == "drain", c.comment})
}
