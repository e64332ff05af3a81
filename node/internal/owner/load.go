package owner

import (
	"cmp"
	"slices"
	"time"

	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// heaviest is the number of partitions whose load is reported. With a total it
// keeps control traffic under 3 KB/s for each node.
const heaviest = 32

// Load is what this node ran since the last report.
type Load struct {
	RequestsPerSecond float32
	Heaviest          []*wirev1.PartitionLoad
}

// Load returns the load since the last call, which was a time ago, and starts
// to count anew.
func (s *Server) Load(since time.Duration) Load {
	if since <= 0 {
		return Load{}
	}
	seconds := float32(since.Seconds())
	s.mu.Lock()
	total := s.unkeyed
	s.unkeyed = 0
	var list []*wirev1.PartitionLoad
	for id, p := range s.partitions {
		if p.count == 0 {
			continue
		}
		total += p.count
		list = append(list, &wirev1.PartitionLoad{
			Upstream: id.Upstream, Partition: id.Partition, RequestsPerSecond: float32(p.count) / seconds,
		})
		p.count = 0
	}
	s.mu.Unlock()
	slices.SortFunc(list, func(a, b *wirev1.PartitionLoad) int {
		return cmp.Or(cmp.Compare(b.GetRequestsPerSecond(), a.GetRequestsPerSecond()),
			cmp.Compare(a.GetUpstream(), b.GetUpstream()), cmp.Compare(a.GetPartition(), b.GetPartition()))
	})
	return Load{RequestsPerSecond: float32(total) / seconds, Heaviest: list[:min(len(list), heaviest)]}
}
