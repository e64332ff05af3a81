package cluster_test

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/jujubeknot/jujubeknot/core/cluster"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// sizes has the numbers of partitions and servers to measure.
var sizes = []struct{ partitions, servers int }{{1024, 10}, {4096, 100}, {16384, 610}, {65536, 10}, {65536, 610}}

// newFilledState returns a state with registered servers and assigned partitions.
func newFilledState(b *testing.B, partitions, servers int) *cluster.State {
	b.Helper()
	s := &cluster.State{}
	var owners []uint64
	for i := range servers {
		var result cluster.Result
		s, result = s.Apply(s.Index()+1, register(fmt.Sprintf("server%04d", i), 0, fmt.Sprintf("request%04d", i)))
		owners = append(owners, result.Index)
	}
	for first := 0; first < partitions; first += 1024 {
		var changes []*wirev1.AssignChange
		for p := first; p < min(partitions, first+1024); p++ {
			changes = append(changes, &wirev1.AssignChange{Upstream: "desk", Partition: uint32(p), Owner: owners[p%servers], Reason: "firstAssignment"})
		}
		s, _ = s.Apply(s.Index()+1, assign(changes...))
	}
	return s
}

// BenchmarkApply measures an assign command with one change. It reports the sizes
// of its delta and of a full update.
func BenchmarkApply(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("partitions=%d/servers=%d", size.partitions, size.servers), func(b *testing.B) {
			s := newFilledState(b, size.partitions, size.servers)
			var owner uint64
			for n := range s.Nodes() {
				owner = n.GetIncarnation()
			}
			b.ReportAllocs()
			var last cluster.Result
			i := 0
			for b.Loop() {
				p := uint32(i * 7919 % size.partitions)
				i++
				s, last = s.Apply(s.Index()+1, assign(&wirev1.AssignChange{
					Upstream: "desk", Partition: p, ExpectedEpoch: s.Assignment("desk", p).GetEpoch(), Owner: owner, Reason: "rebalance", Planned: true,
				}))
			}
			b.ReportMetric(float64(proto.Size(last.Delta)), "delta-B")
			b.ReportMetric(float64(proto.Size(s.FullUpdate())), "full-B")
		})
	}
}

// BenchmarkSnapshot measures making and encoding a snapshot.
func BenchmarkSnapshot(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("partitions=%d/servers=%d", size.partitions, size.servers), func(b *testing.B) {
			s := newFilledState(b, size.partitions, size.servers)
			var data []byte
			for b.Loop() {
				data, _ = proto.Marshal(s.Snapshot())
			}
			b.ReportMetric(float64(len(data)), "snapshot-B")
		})
	}
}
