package peer

import (
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/jujubeknot/jujubeknot/node/internal/relay"
)

// maxLeft bounds the time left that another node may state.
const maxLeft = 24 * time.Hour

// callFields is the number of fields of a call in a header.
const callFields = 14

// EncodeCall writes a call for the header Jujubeknot-Peer-Call: fields
// separated by spaces, in the order in which DecodeCall reads them.
func EncodeCall(c *relay.Call, left time.Duration) string {
	b := make([]byte, 0, 160)
	b = append(b, c.ID...)
	b = append(b, ' ')
	b = append(b, c.Sending...)
	b = append(b, ' ')
	b = append(b, url.PathEscape(c.Upstream)...)
	number := func(v uint64, base int) {
		b = append(b, ' ')
		b = strconv.AppendUint(b, v, base)
	}
	number(bit(c.Keyed), 10)
	number(uint64(c.Partition), 10)
	number(c.Epoch, 10)
	number(c.KeyHash, 16)
	number(uint64(max(left.Milliseconds(), 1)), 10)
	number(uint64(c.Depth), 10)
	number(uint64(c.Priority), 10)
	number(bit(c.Idempotent)|bit(c.IDFromCaller)<<1, 10)
	number(uint64(c.Attempt), 10)
	number(lead(c), 10)
	number(c.Revision, 10)
	return string(b)
}

// lead returns how many milliseconds before its deadline the answer to a call is
// late, plus 1, or 0 if it has no target.
func lead(c *relay.Call) uint64 {
	if c.TargetTime.IsZero() {
		return 0
	}
	return uint64(max(c.Deadline.Sub(c.TargetTime).Milliseconds(), 0)) + 1
}

func bit(v bool) uint64 {
	if v {
		return 1
	}
	return 0
}

// DecodeCall reads what EncodeCall wrote, with times counted from now.
func DecodeCall(text string, now time.Time) (*relay.Call, error) {
	var fields [callFields]string
	for i := range fields {
		var more bool
		fields[i], text, more = strings.Cut(text, " ")
		if more != (i < callFields-1) || fields[i] == "" {
			return nil, errors.Errorf("call of a peer: expected %d fields", callFields)
		}
	}
	upstream, err := url.PathUnescape(fields[2])
	if err != nil {
		return nil, errors.New("call of a peer: upstream has a bad escape")
	}
	bad := -1
	number := func(i, base, bits int) uint64 {
		v, err := strconv.ParseUint(fields[i], base, bits)
		if err != nil {
			bad = i
		}
		return v
	}
	c := &relay.Call{ID: fields[0], Sending: fields[1], Upstream: upstream}
	c.Keyed = number(3, 10, 1) == 1
	c.Partition = uint32(number(4, 10, 32))
	c.Epoch = number(5, 10, 64)
	c.KeyHash = number(6, 16, 64)
	left := time.Duration(number(7, 10, 32)) * time.Millisecond
	c.Depth = int(number(8, 10, 8))
	c.Priority = int(number(9, 10, 8))
	flags := number(10, 10, 2)
	c.Idempotent, c.IDFromCaller = flags&1 != 0, flags&2 != 0
	c.Attempt = int(number(11, 10, 31))
	lead := time.Duration(number(12, 10, 32)) * time.Millisecond
	c.Revision = number(13, 10, 64)
	if bad >= 0 {
		return nil, errors.Errorf("call of a peer: field %d is not a number in range", bad+1)
	}
	if left > maxLeft {
		return nil, errors.Errorf("call of a peer: more than %v left", maxLeft)
	}
	c.Deadline = now.Add(left)
	if lead > 0 {
		c.TargetTime = c.Deadline.Add(time.Millisecond - lead)
	}
	return c, nil
}
