package quota

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/pkg/errors"

	"github.com/jujubeknot/jujubeknot/core/quota"
)

// messageVersion is the first byte of questions and answers. Questions of another
// version are not answered.
const messageVersion = 1

// Bounds of decoded values. A question has the organisations of one home.
const (
	maxAsks  = 4096
	maxCount = 1 << 20
	maxWaits = 4096
)

var errMalformed = errors.New("malformed message about quotas")

// question asks the node with an incarnation for tokens, and claims organisations that
// it was the home of.
type question struct {
	to     uint64
	asks   []quota.Ask
	claims []string
}

// answer has one entry for each Ask and each claim of the question. It has none if the
// asked node has ended.
type answer struct {
	ended    bool
	answers  []quota.Answer
	releases []release
}

// release is the answer to a claim.
type release struct {
	released bool
	bucket   quota.Handover
}

func appendQuestion(b []byte, q question) []byte {
	b = append(b, messageVersion)
	b = binary.AppendUvarint(b, q.to)
	b = binary.AppendUvarint(b, uint64(len(q.asks)))
	for _, a := range q.asks {
		b = appendText(b, a.Organisation)
		b = binary.AppendUvarint(b, a.Revision)
		b = appendFloat(appendFloat(b, a.RequestsPerSecond), a.Burst)
		for _, n := range [...]int{a.Need, a.Ahead, a.Held, a.Returned, len(a.Skipped)} {
			b = binary.AppendUvarint(b, uint64(n))
		}
		for _, s := range a.Skipped {
			b = binary.AppendUvarint(b, s.Node)
			b = appendBool(b, s.Ended)
		}
	}
	b = binary.AppendUvarint(b, uint64(len(q.claims)))
	for _, organisation := range q.claims {
		b = appendText(b, organisation)
	}
	return b
}

func appendText(b []byte, s string) []byte {
	return append(binary.AppendUvarint(b, uint64(len(s))), s...)
}

func appendFloat(b []byte, v float64) []byte {
	return binary.BigEndian.AppendUint64(b, math.Float64bits(v))
}

func appendBool(b []byte, v bool) []byte {
	if v {
		return append(b, 1)
	}
	return append(b, 0)
}

func decodeQuestion(b []byte) (question, error) {
	r := reader{b: b}
	if r.byte() != messageVersion {
		return question{}, errMalformed
	}
	q := question{to: r.number()}
	for range r.count(maxAsks) {
		a := quota.Ask{Limit: quota.Limit{Organisation: r.text(), Revision: r.number()}}
		a.RequestsPerSecond, a.Burst = r.float(), r.float()
		a.Need, a.Ahead, a.Held, a.Returned = r.count(maxCount), r.count(maxCount), r.count(maxCount), r.count(maxCount)
		for range r.count(quota.MaxHomes) {
			a.Skipped = append(a.Skipped, quota.Skipped{Node: r.number(), Ended: r.byte() != 0})
		}
		if !(a.RequestsPerSecond > 0 && a.Burst >= 0) || math.IsInf(a.RequestsPerSecond+a.Burst, 1) {
			r.failed = true
		}
		if r.failed {
			break
		}
		q.asks = append(q.asks, a)
	}
	for range r.count(maxAsks) {
		organisation := r.text()
		if r.failed {
			break
		}
		q.claims = append(q.claims, organisation)
	}
	return q, r.err()
}

func appendAnswer(b []byte, a answer) []byte {
	b = append(b, messageVersion)
	b = appendBool(b, a.ended)
	b = binary.AppendUvarint(b, uint64(len(a.answers)))
	for _, v := range a.answers {
		b = append(b, byte(v.Status))
		b = binary.AppendUvarint(b, uint64(v.Granted))
		b = binary.AppendUvarint(b, uint64(v.RetryAfter.Microseconds()))
	}
	b = binary.AppendUvarint(b, uint64(len(a.releases)))
	for _, v := range a.releases {
		b = appendFloat(appendBool(b, v.released), v.bucket.Level)
		b = binary.AppendUvarint(b, uint64(v.bucket.Held))
		b = binary.AppendUvarint(b, uint64(len(v.bucket.Waits)))
		for _, n := range v.bucket.Waits {
			b = binary.AppendUvarint(b, n)
		}
	}
	return b
}

func decodeAnswer(b []byte) (answer, error) {
	r := reader{b: b}
	if r.byte() != messageVersion {
		return answer{}, errMalformed
	}
	a := answer{ended: r.byte() != 0}
	for range r.count(maxAsks) {
		v := quota.Answer{Status: quota.Status(r.byte()), Granted: r.count(2 * maxCount)}
		v.RetryAfter = time.Duration(min(r.number(), uint64(time.Minute.Microseconds()))) * time.Microsecond
		if r.failed {
			break
		}
		a.answers = append(a.answers, v)
	}
	for range r.count(maxAsks) {
		v := release{r.byte() != 0, quota.Handover{Level: r.float(), Held: r.count(maxCount)}}
		for range r.count(maxWaits) {
			v.bucket.Waits = append(v.bucket.Waits, r.number())
		}
		if math.IsNaN(v.bucket.Level) {
			r.failed = true
		}
		if r.failed {
			break
		}
		a.releases = append(a.releases, v)
	}
	return a, r.err()
}

// reader decodes values from the front of b. After a failure it returns zero values.
type reader struct {
	b      []byte
	failed bool
}

func (r *reader) err() error {
	if r.failed {
		return errMalformed
	}
	return nil
}

func (r *reader) bytes(n int) []byte {
	if r.failed || n > len(r.b) {
		r.failed = true
		return nil
	}
	part := r.b[:n]
	r.b = r.b[n:]
	return part
}

func (r *reader) byte() byte {
	if b := r.bytes(1); len(b) == 1 {
		return b[0]
	}
	return 0
}

func (r *reader) number() uint64 {
	v, n := binary.Uvarint(r.b)
	if r.failed || n <= 0 {
		r.failed = true
		return 0
	}
	r.b = r.b[n:]
	return v
}

// count reads a number up to a limit.
func (r *reader) count(limit int) int {
	n := r.number()
	if n > uint64(limit) {
		r.failed = true
		return 0
	}
	return int(n)
}

func (r *reader) text() string { return string(r.bytes(r.count(maxCount))) }

func (r *reader) float() float64 {
	if b := r.bytes(8); len(b) == 8 {
		return math.Float64frombits(binary.BigEndian.Uint64(b))
	}
	return 0
}
