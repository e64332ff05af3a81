package keyspace_test

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/jujubeknot/jujubeknot/core/keyspace"
	"github.com/jujubeknot/jujubeknot/wire/testkit"
)

// TestMain fixes the seed of rapid, so that every run draws the same cases.
func TestMain(m *testing.M) {
	testkit.Main(m, testkit.Config{})
}

// TestPartitionOfKnownKeys guards against a change of the hash function, which
// would move almost every key to another owner when nodes are upgraded.
func TestPartitionOfKnownKeys(t *testing.T) {
	for key, want := range map[string]uint32{"": 0xef46db37 >> 22, "a": 0xd24ec4f1 >> 22} {
		if got := keyspace.Partition(keyspace.Hash(key), 1024); got != want {
			t.Errorf("partition of %q = %d, want %d", key, got, want)
		}
	}
}

// TestPartitionInRange guards against partition numbers that have no entry in the
// assignment table.
func TestPartitionInRange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := uint32(1) << rapid.IntRange(0, 20).Draw(t, "bits")
		partition := keyspace.Partition(keyspace.Hash(rapid.String().Draw(t, "key")), count)
		if partition >= count {
			t.Fatalf("partition %d, want less than %d", partition, count)
		}
	})
}

// TestPartitionSplits guards against keys that move to an unrelated partition
// when the number of partitions doubles. Each partition must split into two
// adjacent ones.
func TestPartitionSplits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hash := rapid.Uint64().Draw(t, "hash")
		count := uint32(1) << rapid.IntRange(0, 19).Draw(t, "bits")
		if keyspace.Partition(hash, 2*count)/2 != keyspace.Partition(hash, count) {
			t.Fatalf("hash %x: its partition among %d is not split into those among %d", hash, count, 2*count)
		}
	})
}
