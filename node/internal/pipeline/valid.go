package pipeline

import (
	"net/http"
	"strings"

	"github.com/pkg/errors"
)

var errMalformed = errors.New("request has a malformed or ambiguous header field")

// validateRequest rejects requests that http.ReadRequest accepts but a backend
// server could parse differently: with header names that are not tokens, values
// with control characters, or without a host.
func validateRequest(r *http.Request) error {
	if r.ProtoAtLeast(1, 1) && r.Host == "" || !validValue(r.Host) {
		return errMalformed
	}
	for name, values := range r.Header {
		if !validName(name) {
			return errMalformed
		}
		for _, v := range values {
			if !validValue(v) {
				return errMalformed
			}
		}
	}
	return nil
}

// validName reports whether a header name is a token as of RFC 9110.
func validName(name string) bool {
	for i := range len(name) {
		c := name[i]
		letter := c|0x20 >= 'a' && c|0x20 <= 'z'
		if !letter && (c < '0' || c > '9') && strings.IndexByte("!#$%&'*+-.^_`|~", c) < 0 {
			return false
		}
	}
	return name != ""
}

// validValue reports whether a header value has no control characters except tabs.
func validValue(value string) bool {
	for i := range len(value) {
		if c := value[i]; c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}
