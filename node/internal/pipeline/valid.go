package pipeline

import (
	"net/http"
	"strings"

	"github.com/pkg/errors"
)

var errMalformed = errors.New("request has no Host or a malformed header field")

// validateRequest returns an error for a request that http.ReadRequest accepts,
// but that a backend server could parse differently. Such a request has a
// header name that is not a token, a header value or Host with a control
// character, or no Host. HTTP/1.0 does not require a Host.
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

// validValue reports whether a header value has no control characters except
// tabs.
func validValue(value string) bool {
	for i := range len(value) {
		if c := value[i]; c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}
