// Package quota decides which requests of an organisation are within its quota,
// which all nodes share. One node, the home, keeps the token bucket of an
// organisation and grants tokens to the nodes that receive its requests. It
// answers demand that is uneven over the nodes, and far below one request a second
// at each of them, where a fixed share for each node would refuse requests within
// the quota.
package quota

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// MaxHomes is the number of nodes that Homes returns: the home and the nodes that
// take its place in turn while it cannot be reached.
const MaxHomes = 3

const (
	// lotLifetime bounds how long tokens that were granted ahead of requests can be
	// used.
	lotLifetime = time.Second
	// minBucketTime is the shortest time of the rate for which a bucket has room.
	// Nodes ask for tokens several times in it.
	minBucketTime = 100 * time.Millisecond
	// initialTokens is what a bucket has whose earlier grants are not known.
	initialTokens = 2
)

// Limit is the quota of an organisation in one revision of the rules.
type Limit struct {
	Organisation string
	// Revision is that of the rules. Limits of a lower one are ignored.
	Revision uint64
	// RequestsPerSecond is above 0.
	RequestsPerSecond float64
	Burst             float64
}

// size returns the size of the bucket.
func (l *Limit) size() float64 {
	return max(l.Burst, l.RequestsPerSecond*minBucketTime.Seconds(), 1)
}

// rank returns the rank of a node for an organisation. The node with the highest one
// is the home.
func rank(organisation string, node uint64) uint64 {
	var number [8]byte
	binary.LittleEndian.PutUint64(number[:], node)
	d := xxhash.New()
	_, _ = d.WriteString(organisation)
	_, _ = d.Write(number[:])
	return d.Sum64()
}

// Homes returns the nodes that may grant tokens of an organisation, in the order in
// which they are asked. They are those with the highest hash of organisation and
// incarnation, so all nodes agree without messages, and the loss of a node moves
// only the organisations that it was the home of.
func Homes(organisation string, nodes []uint64) []uint64 {
	type ranked struct{ node, rank uint64 }
	list := make([]ranked, 0, len(nodes))
	for _, n := range nodes {
		list = append(list, ranked{n, rank(organisation, n)})
	}
	slices.SortFunc(list, func(a, b ranked) int { return cmp.Or(cmp.Compare(b.rank, a.rank), cmp.Compare(a.node, b.node)) })
	homes := make([]uint64, 0, MaxHomes)
	for _, r := range list[:min(len(list), MaxHomes)] {
		homes = append(homes, r.node)
	}
	return homes
}

// earlierHomes returns the nodes that may take themselves for the home of an
// organisation as long as they do not know that this one is registered. The table of a
// node has all older ones, so these are the nodes that rank above all older ones but
// those that have ended.
func earlierHomes(organisation string, nodes []uint64, self uint64, ended map[uint64]bool) []uint64 {
	var homes []uint64
	var highest uint64
	for _, n := range nodes {
		if n >= self {
			break
		}
		if ended[n] {
			continue
		}
		if r := rank(organisation, n); len(homes) == 0 || r > highest {
			homes, highest = append(homes, n), r
		}
	}
	return homes
}

// Skipped is a node that comes before the asked one in the order of Homes and was
// not asked.
type Skipped struct {
	Node uint64
	// Ended means that the node grants no tokens any more: its process has ended or
	// said so. Otherwise it has only not answered.
	Ended bool
}

// Ask is a request for tokens of one organisation.
type Ask struct {
	Limit
	// Need is the number of waiting requests, Ahead the number of further tokens
	// for requests that are expected.
	Need, Ahead int
	// Held is the number of tokens that the asking node still has.
	Held int
	// Returned is the number of tokens taken for requests that did not run.
	Returned int
	Skipped  []Skipped
}

// Status says whether a node granted tokens or why it did not decide.
type Status byte

// Statuses of an Answer.
const (
	// StatusDecided means that Granted is the decision.
	StatusDecided Status = iota
	// StatusNotHome means that another node comes first by the routing table of the
	// asked one.
	StatusNotHome
	// StatusEnded means that the asked node, as it was addressed, grants no tokens
	// any more.
	StatusEnded
)

// String returns the name of the status.
func (s Status) String() string {
	switch s {
	case StatusDecided:
		return "decided"
	case StatusNotHome:
		return "notHome"
	case StatusEnded:
		return "ended"
	}
	return "unknown"
}

// Answer is the answer to an Ask.
type Answer struct {
	Status  Status
	Granted int
	// RetryAfter is the time until tokens for the rest of Need are expected. It is
	// above 0 if Granted is below Need.
	RetryAfter time.Duration
}

// bucket is a token bucket. The caller passes its rate and size.
type bucket struct {
	level float64
	at    time.Time
}

func (b *bucket) refill(now time.Time, perSecond, size float64) {
	if d := now.Sub(b.at); d > 0 {
		b.level += perSecond * d.Seconds()
		b.at = now
	}
	b.level = min(b.level, max(size, 0))
}

// take takes up to n tokens and returns their number.
func (b *bucket) take(n int) int {
	n = max(min(n, int(b.level)), 0)
	b.level -= float64(n)
	return n
}
