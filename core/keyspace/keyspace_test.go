package keyspace_test

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/jujubeknot/jujubeknot/core/keyspace"
	"github.com/jujubeknot/jujubeknot/wire/testkit"
)

// TestMain fixes rapid's seed so that each run draws the same cases.
func TestMain(m *testing.M) {
	testkit.Main(m, testkit.Config{})
}

// TestPartitionOfKnownKeys guards against a change of the hash, which would
// move every key to another owner on an upgrade.
func TestPartitionOfKnownKeys(t *testing.T) {
	for key, want := range map[string]uint32{"": 0xef46db37 >> 22, "a": 0xd24ec4f1 >> 22} {
		if got := keyspace.Partition(keyspace.Hash(key), 1024); got != want {
			t.Errorf("partition of %q = %d, want %d", key, got, want)
		}
	}
}

// TestPartitionInRange guards against partitions that no table row exists for.
func TestPartitionInRange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := uint32(1) << rapid.IntRange(0, 20).Draw(t, "bits")
		partition := keyspace.Partition(keyspace.Hash(rapid.String().Draw(t, "key")), count)
		if partition >= count {
			t.Fatalf("partition %d of %d", partition, count)
		}
	})
}

// TestPartitionSplits guards against keys that change neighbours when the
// number of partitions doubles: a partition splits into two adjacent ones.
func TestPartitionSplits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hash := rapid.Uint64().Draw(t, "hash")
		count := uint32(1) << rapid.IntRange(0, 19).Draw(t, "bits")
		if keyspace.Partition(hash, 2*count)/2 != keyspace.Partition(hash, count) {
			t.Fatalf("hash %x changes place between %d and %d partitions", hash, count, 2*count)
		}
	})
}
