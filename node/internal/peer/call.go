package peer

import (
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/jujubeknot/jujubeknot/node/internal/relay"
)

// maxRemaining is the longest remaining time until a deadline, and the longest
// retry delay, that is accepted from another node.
const maxRemaining = 24 * time.Hour

// callFieldCount is the number of fields in the header Jujubeknot-Peer-Call.
const callFieldCount = 14

// EncodeCall returns the value of the header Jujubeknot-Peer-Call for a call:
// fields separated by spaces, in the order in which DecodeCall reads them. The
// remaining time until the deadline is sent instead of the deadline, since the
// clocks of nodes differ.
func EncodeCall(c *relay.Call, remaining time.Duration) string {
	b := make([]byte, 0, 160)
	b = append(b, c.ID...)
	b = append(b, ' ')
	b = append(b, c.Sending...)
	b = append(b, ' ')
	b = append(b, url.PathEscape(c.Upstream)...)
	appendNumber := func(v uint64, base int) {
		b = append(b, ' ')
		b = strconv.AppendUint(b, v, base)
	}
	appendNumber(boolToUint(c.Keyed), 10)
	appendNumber(uint64(c.Partition), 10)
	appendNumber(c.Epoch, 10)
	appendNumber(c.KeyHash, 16)
	// Rounded up, so that the owner's node does not end the call before its deadline.
	appendNumber(uint64((max(remaining, 1)+time.Millisecond-1)/time.Millisecond), 10)
	appendNumber(uint64(c.Depth), 10)
	appendNumber(uint64(c.Priority), 10)
	appendNumber(boolToUint(c.Idempotent)|boolToUint(c.IDFromCaller)<<1, 10)
	appendNumber(uint64(c.Attempt), 10)
	appendNumber(targetLeadMillis(c), 10)
	appendNumber(c.Revision, 10)
	return string(b)
}

// targetLeadMillis returns the milliseconds from the target time of a call to
// its deadline, plus 1, or 0 if the call has no target time.
func targetLeadMillis(c *relay.Call) uint64 {
	if c.TargetTime.IsZero() {
		return 0
	}
	return uint64(max(c.Deadline.Sub(c.TargetTime).Milliseconds(), 0)) + 1
}

func boolToUint(v bool) uint64 {
	if v {
		return 1
	}
	return 0
}

// DecodeCall decodes a call that EncodeCall encoded. Its deadline and target
// time are relative to now.
func DecodeCall(text string, now time.Time) (*relay.Call, error) {
	var fields [callFieldCount]string
	for i := range fields {
		var more bool
		fields[i], text, more = strings.Cut(text, " ")
		if more != (i < callFieldCount-1) || fields[i] == "" {
			return nil, errors.Errorf("decode peer call: expected %d fields", callFieldCount)
		}
	}
	upstream, err := url.PathUnescape(fields[2])
	if err != nil {
		return nil, errors.New("decode peer call: upstream has an invalid percent-escape")
	}
	badField := -1
	parseNumber := func(i, base, bits int) uint64 {
		v, err := strconv.ParseUint(fields[i], base, bits)
		if err != nil {
			badField = i
		}
		return v
	}
	c := &relay.Call{ID: fields[0], Sending: fields[1], Upstream: upstream}
	c.Keyed = parseNumber(3, 10, 1) == 1
	c.Partition = uint32(parseNumber(4, 10, 32))
	c.Epoch = parseNumber(5, 10, 64)
	c.KeyHash = parseNumber(6, 16, 64)
	remaining := time.Duration(parseNumber(7, 10, 32)) * time.Millisecond
	c.Depth = int(parseNumber(8, 10, 8))
	c.Priority = int(parseNumber(9, 10, 8))
	flags := parseNumber(10, 10, 2)
	c.Idempotent, c.IDFromCaller = flags&1 != 0, flags&2 != 0
	c.Attempt = int(parseNumber(11, 10, 31))
	lead := time.Duration(parseNumber(12, 10, 32)) * time.Millisecond
	c.Revision = parseNumber(13, 10, 64)
	if badField >= 0 {
		return nil, errors.Errorf("decode peer call: field %d is not a number in range", badField+1)
	}
	if remaining > maxRemaining {
		return nil, errors.Errorf("decode peer call: more than %v until the deadline", maxRemaining)
	}
	c.Deadline = now.Add(remaining)
	if lead > 0 {
		c.TargetTime = c.Deadline.Add(time.Millisecond - lead)
	}
	return c, nil
}
