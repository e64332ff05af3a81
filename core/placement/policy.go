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
	// ModeStay moves a partition only if its owner is lost or leaving.
	ModeStay
	// ModeFollow moves a partition whenever the policy names another server.
	ModeFollow
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
	default:
		return nil, errors.Errorf("unknown placement policy %q: expected %s, %s, %s or %s",
			name, PolicyBalanced, PolicyRandom, PolicyRoundRobin, PolicyHashing)
	}
}

// balanced gives each partition to the server with the least load per weight.
type balanced struct{}

func (balanced) Mode() Mode { return ModeBalance }

func (balanced) Choose(item Partition, pool *Pool) int { return pool.Least(item.Load) }

// random is a baseline that ignores load.
type random struct{ source *rand.Rand }

func (*random) Mode() Mode { return ModeStay }

func (r *random) Choose(item Partition, pool *Pool) int {
	candidates := pool.Candidates(item.Load)
	if len(candidates) == 0 {
		return -1
	}
	return candidates[r.source.IntN(len(candidates))]
}

// roundRobin is a baseline that evens out the number of partitions placed.
type roundRobin struct{ next int }

func (*roundRobin) Mode() Mode { return ModeStay }

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

func (hashing) Mode() Mode { return ModeFollow }

func (hashing) Choose(item Partition, pool *Pool) int {
	candidates := pool.Candidates(item.Load)
	if len(candidates) == 0 {
		return -1
	}
	var number [4]byte
	binary.BigEndian.PutUint32(number[:], item.Number)
	return candidates[xxhash.Sum64(number[:])%uint64(len(candidates))]
}
