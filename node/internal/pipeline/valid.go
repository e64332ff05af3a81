package pipeline

import (
	"net/http"

	"github.com/pkg/errors"

	"github.com/jujubeknot/jujubeknot/wire/headers"
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
		if !headers.ValidName(name) {
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
