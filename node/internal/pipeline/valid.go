package pipeline

import (
	"net/http"
	"strings"

	"github.com/pkg/errors"
)

var errMalformed = errors.New("request with a field that others could read differently")

// valid refuses what http.ReadRequest lets pass and a backend server could read
// in another way: names of fields that are no tokens, values with control
// characters, and a missing host.
func valid(r *http.Request) error {
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

// validName reports whether a name is a token.
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

// validValue reports whether a value has no control characters but tabs.
func validValue(value string) bool {
	for i := range len(value) {
		if c := value[i]; c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}
