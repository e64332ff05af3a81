package lease

import (
	"strings"

	"github.com/cespare/xxhash/v2"
)

// MembersHash identifies a list of control members, so that a renewal carries
// the list only after it changed. It is 0 for an empty list.
func MembersHash(addresses []string) uint64 {
	if len(addresses) == 0 {
		return 0
	}
	return xxhash.Sum64String(strings.Join(addresses, " "))
}
