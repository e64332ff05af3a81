// Package keyspace maps keys to partitions.
package keyspace

import (
	"math/bits"

	"github.com/cespare/xxhash/v2"
)

// Bounds of the number of partitions of an upstream.
const (
	MinPartitions     = 1
	MaxPartitions     = 1 << 20
	DefaultPartitions = 1024
)

// Hash returns the hash of a key. It is the same in every process and version.
func Hash(key string) uint64 {
	return xxhash.Sum64String(key)
}

// Valid reports whether count can be the number of partitions of an upstream:
// a power of two from MinPartitions to MaxPartitions.
func Valid(count uint32) bool {
	return count >= MinPartitions && count <= MaxPartitions && bits.OnesCount32(count) == 1
}

// Partition returns the partition of a key hash among count partitions: the
// top bits of the hash. It panics if count is not valid.
func Partition(hash uint64, count uint32) uint32 {
	if !Valid(count) {
		panic("keyspace: number of partitions is not a power of two in range")
	}
	if count == 1 {
		return 0
	}
	return uint32(hash >> (64 - bits.TrailingZeros32(count)))
}
