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
	// ModeBalance moves partitions to even out load.
	ModeBalance Mode = iota
	// ModeSticky moves a partition only if its owner is lost or leaving.
	ModeSticky
	// ModeReassign moves a partition whenever the policy names another server.
	ModeReassign
)

// Policy chooses servers for items of one type. Implementations need not be
// safe for concurrent use.
type Policy[T any] interface {
	// Mode says when items are moved.
	Mode() Mode
	// Choose returns the position in the pool of the server that should get
	// the item, -1 if there is none that may.
	Choose(item T, pool *Pool) int
}

// Names of policies, as they stand in rules.
const (
	PolicyBalanced   = "balanced"
	PolicyRandom     = "random"
	PolicyRoundRobin = "roundRobin"
	PolicyHashing    = "hashing"
	PolicyRanges     = "ranges"
)

// NewPolicy returns the policy of a name; empty means PolicyBalanced. The
// seed is used by PolicyRandom alone.
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

// balanced gives each partition to the server with the least load per weight.
type balanced struct{}

func (balanced) Mode() Mode { return ModeBalance }

func (balanced) Choose(item Partition, pool *Pool) int { return pool.LeastUtilized(item.Load) }

// maxRuns bounds the runs of neighbouring partitions that a server gets at
// first. It leaves room for those that it gets later: the answer to a beat has
// room for about 150.
const maxRuns = 96

// Bounds of the ranges that a server has once partitions have been moved to it.
// A row has at most 24 bytes, and 16 more with a handover, of the 4,000 bytes of
// the answer to a beat.
const (
	// spreadRows is the bound for moves that could go to a neighbour: 120 rows
	// leave room for 28 with handovers. Below it ranges are divided, because busy
	// keys are often neighbours.
	spreadRows = 120
	// evenRows is the bound for moves that even out load: 150 rows leave room
	// for 10 with handovers.
	evenRows = 150
)

// neighbourSlack is the ratio to the goal up to which a server gets partitions
// beside those that it has: it is below the ratio at which evening out starts.
const neighbourSlack = 1.1

// ranges spreads runs of neighbouring partitions, for backend servers that are
// told of their keys as ranges in messages of bounded size. Runs are as short
// as that bound allows, because busy keys are often neighbours.
type ranges struct {
	// incarnation and last are the server and the partition chosen last, run is
	// the number of its neighbours that were chosen with it.
	incarnation uint64
	last        uint32
	run         int
}

func (*ranges) Mode() Mode { return ModeBalance }

// Choose gives partitions that had an owner to the server of a neighbour where
// the others have no room for another range.
func (r *ranges) Choose(item Partition, pool *Pool) int {
	at := -1
	if r.incarnation != 0 && item.Number == r.last+1 && r.run < pool.runLength() {
		at = pool.roomAt(r.incarnation, item.Load)
	}
	r.run++
	if at < 0 {
		at, r.run = pool.LeastUtilized(item.Load), 1
	}
	if item.Epoch > 0 && at >= 0 && !pool.rows.fits(item.Number, at, spreadRows) {
		at, r.run = pool.beside(item, at), 1
	}
	r.last, r.incarnation = item.Number, 0
	if at >= 0 {
		r.incarnation = pool.entries[at].Incarnation
	}
	return at
}

// random is a baseline that ignores load.
type random struct{ source *rand.Rand }

func (*random) Mode() Mode { return ModeSticky }

func (r *random) Choose(item Partition, pool *Pool) int {
	candidates := pool.Candidates(item.Load)
	if len(candidates) == 0 {
		return -1
	}
	return candidates[r.source.IntN(len(candidates))]
}

// roundRobin is a baseline that evens out the number of partitions placed.
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

// hashing is a baseline that needs no table: the owner follows from the number
// of the partition and the servers, so most partitions move when one server
// joins or leaves.
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
