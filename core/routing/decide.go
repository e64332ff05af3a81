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

// Request has the parts of a request that routing looks at.
type Request struct {
	// Path is the path as sent, with its percent escapes.
	Path string
	// Query is the query as sent, without the question mark.
	Query string
	// Host is the host as sent, with its port.
	Host string
	// Random chooses among the shares of a route. Any value is valid.
	Random uint64
	// Header has canonical names.
	Header map[string][]string
}

// Kind says what a decision is.
type Kind int

// Kinds of decisions.
const (
	// KindRefuse means that the request is refused with the decision's reason.
	KindRefuse Kind = iota
	// KindOwner means that the request goes to the owner of its partition.
	KindOwner
	// KindChoose means that any node of the upstream may get the request.
	KindChoose
)

// String returns the kind as it stands in log lines.
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
	// Reason of a refusal.
	Reason outcome.Reason
	// Route and Upstream are nil if no route matches.
	Route    *rules.Route
	Upstream *rules.Upstream
	KeyHash  uint64
	// Partition, Owner and Assignment are set for keyed upstreams.
	Partition  uint32
	Owner      *wirev1.Node
	Assignment Assignment
	// Candidates are the nodes to choose from. They must not be changed.
	Candidates []choice.Candidate
}

type route struct {
	rules.Route
	// prefix has no slash at its end.
	prefix string
	// header is the canonical name of the key's header.
	header string
}

func sortedRoutes(list []rules.Route) []*route {
	sorted := make([]*route, 0, len(list))
	for _, r := range list {
		sorted = append(sorted, &route{
			Route: r, prefix: strings.TrimSuffix(r.Prefix, "/"), header: textproto.CanonicalMIMEHeaderKey(r.Name),
		})
	}
	slices.SortStableFunc(sorted, func(a, b *route) int { return len(b.prefix) - len(a.prefix) })
	return sorted
}

// byHost divides sorted routes by host.
func byHost(sorted []*route) map[string][]*route {
	hosts := map[string][]*route{}
	for _, r := range sorted {
		hosts[r.Host] = append(hosts[r.Host], r)
	}
	return hosts
}

// share returns the upstream that a draw falls to.
func (r *route) share(draw uint64) string {
	if len(r.Shares) == 0 {
		return r.Upstream
	}
	sum := 0
	for _, s := range r.Shares {
		sum += s.Weight
	}
	at := int(draw % uint64(sum))
	for _, s := range r.Shares {
		if at -= s.Weight; at < 0 {
			return s.Upstream
		}
	}
	return r.Upstream
}

// covers reports whether the prefix matches a path up to the end of a segment,
// so that /app matches /app and /app/x and does not match /apple.
func (r *route) covers(path string) bool {
	return strings.HasPrefix(path, r.prefix) && (len(path) == len(r.prefix) || path[len(r.prefix)] == '/')
}

// match returns the route of the host with the longest prefix, or that of no
// host where none fits.
func (t *Table) match(host, path string) *route {
	name := strings.ToLower(host)
	if i := strings.LastIndexByte(name, ':'); i >= 0 && !strings.HasSuffix(name, "]") {
		name = name[:i]
	}
	for _, list := range [...][]*route{t.routes[name], t.routes[""]} {
		for _, r := range list {
			if r.covers(path) {
				return r
			}
		}
		if name == "" {
			break
		}
	}
	return nil
}

// Decide says where a request goes. It depends on the table and the request
// only.
func (t *Table) Decide(q Request) Decision {
	path, ok := plainPath(q.Path)
	if !ok {
		return Decision{Reason: outcome.ReasonBadRequest}
	}
	r := t.match(q.Host, path)
	if r == nil {
		return Decision{Reason: outcome.ReasonNoRoute}
	}
	d := Decision{Route: &r.Route, Upstream: t.upstreams[r.share(q.Random)]}
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
	hash, ok := d.Upstream.KeyHash(key)
	if !ok {
		d.Reason = outcome.ReasonBadRequest
		return d
	}
	d.KeyHash = hash
	return t.Locate(d)
}

// Locate fills in partition, owner and assignment of a decision whose upstream
// and key hash are set, and returns it.
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

func optionalKeyHash(r *route, q Request) uint64 {
	if key, reason := extractKey(r, q); reason == "" {
		return keyspace.Hash(key)
	}
	return 0
}

// plainPath returns the path without escapes. Paths that a backend server
// could read in another way than this package are refused: those with dot
// segments or bad escapes.
func plainPath(path string) (string, bool) {
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

// extractKey returns the key, or the reason why there is none. Two different
// values in one request are refused, because the backend server might read the
// other one.
func extractKey(r *route, q Request) (string, outcome.Reason) {
	var key string
	switch r.Source {
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
		segment, ok := segmentOf(q.Path, r.Segment)
		if !ok {
			return "", outcome.ReasonBadRequest
		}
		key = segment
	case rules.KeySourceQuery:
		value, ok := queryValue(q.Query, r.Name)
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

// segmentOf returns the numbered path segment, from 1, empty if there is none.
func segmentOf(path string, number int) (string, bool) {
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

// queryValue returns the value of a parameter, empty if it is missing. It is
// not ok if the parameter has two different values or bad escapes.
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
