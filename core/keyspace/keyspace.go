// Package keyspace maps keys to partitions. Its functions are safe for
// concurrent use.
package keyspace

import (
	"math/bits"

	"github.com/cespare/xxhash/v2"
)

// Limits and default of the number of partitions of an upstream.
const (
	MinPartitions     = 1
	MaxPartitions     = 1 << 20
	DefaultPartitions = 1024
)

// Hash returns the 64-bit hash of a key. The result is the same in every
// process and version, because a different one would move keys to other owners.
func Hash(key string) uint64 {
	return xxhash.Sum64String(key)
}

// MaxNumericKey is the highest key of an upstream whose keys are numbers.
const MaxNumericKey = 1<<16 - 1

// NumericKeyHash returns the value that takes the place of a hash for a numeric
// key. It preserves the order of the keys, so that each partition is a
// contiguous range of them. It is never 0.
func NumericKeyHash(number uint16) uint64 {
	return uint64(number)<<48 | 1
}

// NumericKeyRange returns the first and the last numeric key of a partition
// among count partitions. It panics if count is not a valid number of
// partitions or exceeds the number of numeric keys.
func NumericKeyRange(partition, count uint32) (first, last uint16) {
	if !ValidPartitionCount(count) || count > MaxNumericKey+1 {
		panic("keyspace: number of partitions is not a power of two from 1 to 65536")
	}
	size := (MaxNumericKey + 1) / count
	return uint16(partition * size), uint16((partition+1)*size - 1)
}

// ValidPartitionCount reports whether count can be the number of partitions of
// an upstream: a power of two from MinPartitions to MaxPartitions.
func ValidPartitionCount(count uint32) bool {
	return count >= MinPartitions && count <= MaxPartitions && bits.OnesCount32(count) == 1
}

// Partition returns the partition of a key hash among count partitions, which
// is given by the top bits of the hash. It panics if count is not a valid
// number of partitions.
func Partition(hash uint64, count uint32) uint32 {
	if !ValidPartitionCount(count) {
		panic("keyspace: number of partitions is not a power of two from 1 to 1048576")
	}
	if count == 1 {
		return 0
	}
	return uint32(hash >> (64 - bits.TrailingZeros32(count)))
}
