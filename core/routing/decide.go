package routing

import (
	"net/textproto"
	"net/url"
	"slices"
	"strings"

	"github.com/jujubeknot/jujubeknot/core/choice"
	"github.com/jujubeknot/jujubeknot/core/keyspace"
	"github.com/jujubeknot/jujubeknot/core/outcome"
	"github.com/jujubeknot/jujubeknot/core/rules"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// PathMatching says when the prefix of a route matches a path.
type PathMatching int

const (
	// MatchSegments compares segments of the path after percent decoding: /app and
	// /app/ match /app, /%61pp and /app/x, but not /apple. It is the default.
	MatchSegments PathMatching = iota
	// MatchBytes compares the path as sent, byte by byte: /app/ matches /app/x, but
	// neither /app nor /%61pp/x.
	MatchBytes
)

// String returns the matching as docs/protocols.md names it.
func (m PathMatching) String() string {
	if m == MatchBytes {
		return "bytes"
	}
	return "segments"
}

// Request has the parts of a request that routing depends on.
type Request struct {
	// Paths is how the path is compared with the prefixes of routes.
	Paths PathMatching
	// Path is the path as sent, with its percent escapes.
	Path string
	// Query is the query as sent, without the question mark.
	Query string
	// Host is the host as sent, with its port.
	Host string
	// Random selects one of the weighted upstreams of a route. Any value is
	// valid.
	Random uint64
	// Header has the header fields by canonical name.
	Header map[string][]string
}

// Kind is the kind of a decision.
type Kind int

// Kinds of decisions.
const (
	// KindRefuse means that the request is refused for the decision's Reason.
	KindRefuse Kind = iota
	// KindOwner means that the request goes to the owner of its partition.
	KindOwner
	// KindChoose means that the request goes to any one of the Candidates.
	KindChoose
)

// String returns the kind as it is written in log lines.
func (k Kind) String() string {
	switch k {
	case KindOwner:
		return "owner"
	case KindChoose:
		return "choose"
	default:
		return "refuse"
	}
}

// Decision says where a request goes.
type Decision struct {
	Kind Kind
	// Reason is the reason of a refusal.
	Reason outcome.Reason
	// Route and Upstream are nil if no route matches.
	Route    *rules.Route
	Upstream *rules.Upstream
	// Key is the key of a request for a keyed upstream.
	Key string
	// KeyHash is 0 if the upstream is not keyed and the request has no key.
	KeyHash uint64
	// Partition, Owner and Assignment are set for keyed upstreams.
	Partition  uint32
	Owner      *wirev1.Node
	Assignment Assignment
	// Candidates are the nodes to choose from. They must not be changed.
	Candidates []choice.Candidate
}

// route is a route of the rules, prepared for matching.
type route struct {
	rules.Route
	// prefix is the path prefix without a trailing slash.
	prefix string
	// header is the canonical name of the header field with the key.
	header string
}

// sortRoutes returns the routes by length of their prefix, longest first.
func sortRoutes(list []rules.Route) []*route {
	sorted := make([]*route, 0, len(list))
	for _, r := range list {
		sorted = append(sorted, &route{
			Route: r, prefix: strings.TrimSuffix(r.Prefix, "/"), header: textproto.CanonicalMIMEHeaderKey(r.KeyName),
		})
	}
	slices.SortStableFunc(sorted, func(a, b *route) int { return len(b.prefix) - len(a.prefix) })
	return sorted
}

// routesByHost groups sorted routes by host and keeps their order.
func routesByHost(sorted []*route) map[string][]*route {
	hosts := map[string][]*route{}
	for _, r := range sorted {
		hosts[r.Host] = append(hosts[r.Host], r)
	}
	return hosts
}

// selectUpstream returns one of the route's upstreams, with a probability in
// proportion to its weight if the number is random.
func (r *route) selectUpstream(random uint64) string {
	if len(r.WeightedUpstreams) == 0 {
		return r.Upstream
	}
	sum := 0
	for _, s := range r.WeightedUpstreams {
		sum += s.Weight
	}
	remaining := int(random % uint64(sum))
	for _, s := range r.WeightedUpstreams {
		if remaining -= s.Weight; remaining < 0 {
			return s.Upstream
		}
	}
	return r.Upstream
}

// matches reports whether the prefix matches a path, which is decoded for
// MatchSegments and as sent for MatchBytes.
func (r *route) matches(path string, m PathMatching) bool {
	if m == MatchBytes {
		return strings.HasPrefix(path, r.Prefix)
	}
	return strings.HasPrefix(path, r.prefix) && (len(path) == len(r.prefix) || path[len(r.prefix)] == '/')
}

// match returns the route of the host with the longest matching prefix. If no
// route of the host matches, it returns the one with the longest matching
// prefix among the routes without a host. It returns nil if no route matches.
func (t *Table) match(host, path string, m PathMatching) *route {
	name := strings.ToLower(host)
	if i := strings.LastIndexByte(name, ':'); i >= 0 && !strings.HasSuffix(name, "]") {
		name = name[:i]
	}
	for _, list := range [...][]*route{t.routes[name], t.routes[""]} {
		for _, r := range list {
			if r.matches(path, m) {
				return r
			}
		}
		if name == "" {
			break
		}
	}
	return nil
}

// Decide returns where a request goes. The decision depends on nothing but the
// table and the request.
func (t *Table) Decide(q Request) Decision {
	path, ok := unescapePath(q.Path)
	if !ok {
		return Decision{Reason: outcome.ReasonBadRequest}
	}
	if q.Paths == MatchBytes {
		path = q.Path
	}
	r := t.match(q.Host, path, q.Paths)
	if r == nil {
		return Decision{Reason: outcome.ReasonNoRoute}
	}
	d := Decision{Route: &r.Route, Upstream: t.upstreams[r.selectUpstream(q.Random)]}
	if d.Upstream == nil {
		d.Reason = outcome.ReasonNoRoute
		return d
	}
	if !d.Upstream.Keyed {
		d.KeyHash = optionalKeyHash(r, q)
		d.Candidates = t.serving[d.Upstream.Name]
		if len(d.Candidates) == 0 {
			d.Reason = outcome.ReasonNoServer
			return d
		}
		d.Kind = KindChoose
		return d
	}
	key, reason := extractKey(r, q)
	if reason != "" {
		d.Reason = reason
		return d
	}
	d.Key = key
	hash, ok := d.Upstream.KeyHash(key)
	if !ok {
		d.Reason = outcome.ReasonBadRequest
		return d
	}
	d.KeyHash = hash
	return t.Locate(d)
}

// Locate returns a decision with its Partition, Assignment, Owner and Kind
// filled in. Upstream and KeyHash must be set.
func (t *Table) Locate(d Decision) Decision {
	d.Partition = keyspace.Partition(d.KeyHash, t.PartitionCount(d.Upstream.Name))
	d.Assignment = t.Assignment(d.Upstream.Name, d.Partition)
	d.Owner = t.nodes[d.Assignment.Owner]
	if d.Owner == nil {
		d.Kind, d.Reason = KindRefuse, outcome.ReasonNoOwner
		return d
	}
	d.Kind, d.Reason = KindOwner, ""
	return d
}

// optionalKeyHash returns the hash of a request's key, 0 if it has none.
func optionalKeyHash(r *route, q Request) uint64 {
	if key, reason := extractKey(r, q); reason == "" {
		return keyspace.Hash(key)
	}
	return 0
}

// unescapePath returns the path without percent escapes. It reports false for
// paths that a backend server might interpret differently: those with dot
// segments or invalid escapes.
func unescapePath(path string) (string, bool) {
	if !strings.HasPrefix(path, "/") {
		return "", false
	}
	if strings.IndexByte(path, '%') >= 0 {
		plain, err := url.PathUnescape(path)
		if err != nil {
			return "", false
		}
		path = plain
	}
	if strings.Contains(path, "/.") {
		for s := range strings.SplitSeq(path, "/") {
			if s == "." || s == ".." {
				return "", false
			}
		}
	}
	return path, true
}

// extractKey returns the key of a request, or the reason why it has none. A
// request with two different values of the key is refused, because the backend
// server might use the other value.
func extractKey(r *route, q Request) (string, outcome.Reason) {
	var key string
	switch r.KeySource {
	case rules.KeySourceHeader:
		values := q.Header[r.header]
		if len(values) == 0 {
			return "", outcome.ReasonNoKey
		}
		for _, v := range values[1:] {
			if v != values[0] {
				return "", outcome.ReasonBadRequest
			}
		}
		key = values[0]
	case rules.KeySourceSegment:
		segment, ok := pathSegment(q.Path, r.KeySegment)
		if !ok {
			return "", outcome.ReasonBadRequest
		}
		key = segment
	case rules.KeySourceQuery:
		value, ok := queryValue(q.Query, r.KeyName)
		if !ok {
			return "", outcome.ReasonBadRequest
		}
		key = value
	}
	if key == "" {
		return "", outcome.ReasonNoKey
	}
	return key, ""
}

// pathSegment returns a path segment by number, from 1. The segment is empty if
// the path has fewer segments. It reports false for invalid escapes.
func pathSegment(path string, number int) (string, bool) {
	rest := strings.TrimPrefix(path, "/")
	for i := 1; ; i++ {
		segment, after, more := strings.Cut(rest, "/")
		if i == number {
			plain, err := url.PathUnescape(segment)
			return plain, err == nil
		}
		if !more {
			return "", true
		}
		rest = after
	}
}

// queryValue returns the value of a query parameter, which is empty if there is
// none. It reports false if the parameter has two different values or invalid
// escapes.
func queryValue(query, name string) (string, bool) {
	value, found := "", false
	for query != "" {
		var pair string
		pair, query, _ = strings.Cut(query, "&")
		n, v, _ := strings.Cut(pair, "=")
		if plain, err := url.QueryUnescape(n); err != nil || plain != name {
			continue
		}
		plain, err := url.QueryUnescape(v)
		if err != nil || found && plain != value {
			return "", false
		}
		value, found = plain, true
	}
	return value, true
}
