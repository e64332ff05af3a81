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

// MaxNumber is the highest key of a keyspace of numbers.
const MaxNumber = 1<<16 - 1

// NumberHash returns what stands for a hash in a keyspace of numbers: it keeps
// their order, so that each partition is a range of neighbouring keys. It is
// never 0.
func NumberHash(number uint16) uint64 {
	return uint64(number)<<48 | 1
}

// NumberRange returns the first and the last number of a partition among count
// partitions. It panics if count is not valid or above the number of keys.
func NumberRange(partition, count uint32) (first, last uint16) {
	if !Valid(count) || count > MaxNumber+1 {
		panic("keyspace: number of partitions does not divide the numbers")
	}
	size := (MaxNumber + 1) / count
	return uint16(partition * size), uint16((partition+1)*size - 1)
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
