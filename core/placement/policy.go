package placement

import (
	"encoding/binary"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// Mode says when the planner moves a partition whose owner could keep it.
type Mode int

// Modes of policies.
const (
	// ModeBalance moves partitions to rebalance load.
	ModeBalance Mode = iota
	// ModeSticky moves a partition only if its owner is lost or leaving.
	ModeSticky
	// ModeReassign moves a partition whenever the policy names another server.
	ModeReassign
)

// Policy chooses servers for items of one type. Implementations need not be
// safe for concurrent use.
type Policy[T any] interface {
	// Mode returns when items are moved.
	Mode() Mode
	// Choose returns the pool index of the server that should get the item, -1 if
	// no server may get it.
	Choose(item T, pool *Pool) int
}

// Names of policies in the rules.
const (
	PolicyBalanced   = "balanced"
	PolicyRandom     = "random"
	PolicyRoundRobin = "roundRobin"
	PolicyHashing    = "hashing"
	PolicyRanges     = "ranges"
)

// NewPolicy returns the policy with a name; empty means PolicyBalanced. Only
// PolicyRandom uses the seed.
func NewPolicy(name string, seed uint64) (Policy[Partition], error) {
	switch name {
	case "", PolicyBalanced:
		return balanced{}, nil
	case PolicyRandom:
		return &random{source: rand.New(rand.NewPCG(seed, seed))}, nil
	case PolicyRoundRobin:
		return &roundRobin{}, nil
	case PolicyHashing:
		return hashing{}, nil
	case PolicyRanges:
		return &ranges{}, nil
	default:
		return nil, errors.Errorf("unknown placement policy %q: expected %s, %s, %s, %s or %s",
			name, PolicyBalanced, PolicyRandom, PolicyRoundRobin, PolicyHashing, PolicyRanges)
	}
}

// balanced assigns each partition to the server with the lowest utilization.
type balanced struct{}

func (balanced) Mode() Mode { return ModeBalance }

func (balanced) Choose(item Partition, pool *Pool) int { return pool.LeastUtilized(item.Load) }

// initialRangesPerServer is the maximum number of ranges of adjacent partitions
// that a server gets in the initial assignment. It leaves room for ranges that
// later moves add: the response to a heartbeat has room for about 150 ranges.
const initialRangesPerServer = 96

// Maximum numbers of ranges that a server has after moves. A range takes at
// most 24 bytes, and 16 more with a handover, of the 4,000 bytes of the
// response to a heartbeat.
const (
	// splitRangeLimit applies to moves that could go to the owner of an adjacent
	// partition instead. 120 ranges without handovers leave room for 28 more with
	// handovers. Ranges are split up to this limit, because busy keys are often
	// adjacent.
	splitRangeLimit = 120
	// rebalanceRangeLimit applies to moves that rebalance load. 150 ranges without
	// handovers leave room for 10 more with handovers.
	rebalanceRangeLimit = 150
)

// neighbourTargetRatio is the ratio to the target utilization up to which a
// server gets partitions adjacent to its own. It is below the ratio at which
// rebalancing starts.
const neighbourTargetRatio = 1.1

// ranges distributes short ranges of adjacent partitions. It is for backend
// servers that receive their keys as ranges in messages of limited size. Ranges
// are as short as that size allows, because busy keys are often adjacent.
type ranges struct {
	// incarnation is the server chosen last and last the partition that it was
	// chosen for. rangeLength is the number of adjacent partitions that were
	// chosen together, up to and including last.
	incarnation uint64
	last        uint32
	rangeLength int
}

func (*ranges) Mode() Mode { return ModeBalance }

// Choose assigns a partition that had an owner to the server of an adjacent
// partition if the server chosen first has no room for another range.
func (r *ranges) Choose(item Partition, pool *Pool) int {
	server := -1
	if r.incarnation != 0 && item.Number == r.last+1 && r.rangeLength < pool.maxRangeLength() {
		server = pool.serverWithRoom(r.incarnation, item.Load)
	}
	r.rangeLength++
	if server < 0 {
		server, r.rangeLength = pool.LeastUtilized(item.Load), 1
	}
	if item.Epoch > 0 && server >= 0 && !pool.rangeCounts.fits(item.Number, server, splitRangeLimit) {
		server, r.rangeLength = pool.neighbourServer(item, server), 1
	}
	r.last, r.incarnation = item.Number, 0
	if server >= 0 {
		r.incarnation = pool.servers[server].Incarnation
	}
	return server
}

// random is a baseline policy that ignores load.
type random struct{ source *rand.Rand }

func (*random) Mode() Mode { return ModeSticky }

func (r *random) Choose(item Partition, pool *Pool) int {
	candidates := pool.Candidates(item.Load)
	if len(candidates) == 0 {
		return -1
	}
	return candidates[r.source.IntN(len(candidates))]
}

// roundRobin is a baseline policy that evens out the number of partitions.
type roundRobin struct{ next int }

func (*roundRobin) Mode() Mode { return ModeSticky }

func (r *roundRobin) Choose(item Partition, pool *Pool) int {
	candidates := pool.Candidates(item.Load)
	if len(candidates) == 0 {
		return -1
	}
	r.next++
	return candidates[r.next%len(candidates)]
}

// hashing is a baseline policy that needs no assignment table: the owner
// follows from the partition number and the set of servers. Most partitions are
// moved when one server joins or leaves.
type hashing struct{}

func (hashing) Mode() Mode { return ModeReassign }

func (hashing) Choose(item Partition, pool *Pool) int {
	candidates := pool.Candidates(item.Load)
	if len(candidates) == 0 {
		return -1
	}
	var number [4]byte
	binary.BigEndian.PutUint32(number[:], item.Number)
	return candidates[xxhash.Sum64(number[:])%uint64(len(candidates))]
}
