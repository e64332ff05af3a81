package lease

import (
	"strings"

	"github.com/cespare/xxhash/v2"
)

// MembersHash returns a hash of the list of control members. Renewals carry the
// hash, so that the list itself is sent only after a change. The hash of an
// empty list is 0.
func MembersHash(addresses []string) uint64 {
	if len(addresses) == 0 {
		return 0
	}
	return xxhash.Sum64String(strings.Join(addresses, " "))
}
