package relay

import (
	"net/http"
	"net/textproto"
	"strings"

	"github.com/jujubeknot/jujubeknot/wire/headers"
)

// hopByHop lists the headers that concern a single connection only. Expect is
// among them because each hop decides itself whether it waits before sending a
// body.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Expect": true, "Content-Length": true,
	"Proxy-Authenticate": true, "Proxy-Authorization": true, "Http2-Settings": true,
}

// EndToEnd returns the headers that are forwarded to the next hop. It omits
// hop-by-hop headers. It also omits the project's own headers, because only
// this node may set them for the next hop. The values are shared with the
// argument.
func EndToEnd(h http.Header) http.Header {
	out := make(http.Header, len(h)+8)
	for name, values := range h {
		if Reserved(name) {
			continue
		}
		out[name] = values
	}
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			if name = textproto.CanonicalMIMEHeaderKey(textproto.TrimString(name)); name != "" {
				delete(out, name)
			}
		}
	}
	return out
}

// RemoveReserved removes from the headers of a response what EndToEnd omits.
func RemoveReserved(h http.Header) {
	lines := h["Connection"]
	for name := range h {
		if Reserved(name) {
			delete(h, name)
		}
	}
	for _, line := range lines {
		for name := range strings.SplitSeq(line, ",") {
			delete(h, textproto.CanonicalMIMEHeaderKey(textproto.TrimString(name)))
		}
	}
}

// Reserved reports whether a header must not be forwarded to the next hop,
// because it is a hop-by-hop header or one of the project's own.
func Reserved(name string) bool { return hopByHop[name] || isProjectHeader(name) }

// isProjectHeader reports whether a name is that of one of the project's own
// headers. Underscores count as hyphens, because some backend servers do not
// distinguish them.
func isProjectHeader(name string) bool {
	if len(name) < len(headers.Prefix) || name[0] != 'J' && name[0] != 'j' {
		return false
	}
	return strings.EqualFold(strings.ReplaceAll(name[:len(headers.Prefix)], "_", "-"), headers.Prefix)
}

// Idempotent reports whether requests of a method may run more than once. The
// argument added has the methods that the route declares as idempotent.
func Idempotent(method string, added []string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true
	}
	for _, m := range added {
		if m == method {
			return true
		}
	}
	return false
}
