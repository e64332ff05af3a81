package relay

import (
	"net/http"
	"net/textproto"
	"strings"

	"github.com/jujubeknot/jujubeknot/wire/headers"
)

// hopByHop lists the headers that concern one connection only. Expect is among
// them because each hop has its own way to wait before a body.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Expect": true, "Content-Length": true,
	"Proxy-Authenticate": true, "Proxy-Authorization": true, "Http2-Settings": true,
}

// EndToEnd returns the headers that go on to the next hop: neither hop-by-hop
// headers nor the project's own, which the next hop must get from this node
// alone. The values are shared with the argument.
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

// RemoveReserved removes from the headers of an answer what EndToEnd leaves out.
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

// Reserved reports whether a header must not go on to the next hop: it concerns
// one connection, or it is one of the project's own.
func Reserved(name string) bool { return hopByHop[name] || own(name) }

// own reports whether a name is one of the project's own headers. Underscores
// count as hyphens, because some backend servers do not tell them apart.
func own(name string) bool {
	if len(name) < len(headers.Prefix) || name[0] != 'J' && name[0] != 'j' {
		return false
	}
	return strings.EqualFold(strings.ReplaceAll(name[:len(headers.Prefix)], "_", "-"), headers.Prefix)
}

// Idempotent reports whether requests of a method may run more than once,
// given the methods that the route adds.
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
