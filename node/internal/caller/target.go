package caller

import (
	"net/http"
	"strings"

	"github.com/jujubeknot/jujubeknot/core/keyspace"
	"github.com/jujubeknot/jujubeknot/core/rules"
)

// requestTarget returns the path and the query as the caller sent them. URL has the
// path only after decoding, and encodes more bytes than a caller must.
func requestTarget(r *http.Request) string {
	_, rest, absolute := strings.Cut(r.RequestURI, "://")
	switch {
	case r.RequestURI == "":
		// The request does not come from a connection.
		return r.URL.RequestURI()
	case strings.HasPrefix(r.RequestURI, "/") || !absolute:
		return r.RequestURI
	}
	i := strings.IndexAny(rest, "/?")
	if i < 0 || rest[i] == '?' {
		return r.URL.RequestURI()
	}
	return rest[i:]
}

// unambiguousRequest reports whether every backend server reads the request as
// this node does. It rejects HTTP/1.0, whose truncated responses cannot be
// distinguished from complete ones, and a target or host with spaces or control
// characters.
func unambiguousRequest(r *http.Request, uri string) bool {
	if !r.ProtoAtLeast(1, 1) || r.Method == http.MethodConnect || r.URL.Path == "" || !strings.HasPrefix(uri, "/") {
		return false
	}
	forbidden := func(c rune) bool { return c <= ' ' || c == 0x7f }
	return strings.IndexFunc(uri, forbidden) < 0 && strings.IndexFunc(r.Host, forbidden) < 0 && strings.IndexFunc(r.Method, forbidden) < 0 &&
		!strings.ContainsAny(uri, "#\\")
}

// kindOf returns the kind of the calls of a route.
func kindOf(r *rules.Route) uint32 {
	return uint32(keyspace.Hash(r.Host) ^ keyspace.Hash(r.Prefix))
}
