package owner

import (
	"cmp"
	"slices"
	"time"

	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// maxReportedPartitions is the number of partitions whose load is reported one
// by one. With this limit and the report of the total load, the control traffic
// of each node stays below 3 KB/s.
const maxReportedPartitions = 32

// Load is the load of this node since the last report. Heaviest has the
// partitions with the most requests, in descending order.
type Load struct {
	RequestsPerSecond float32
	Heaviest          []*wirev1.PartitionLoad
}

// Load returns the load since the last call and resets the counts. The argument
// is the time since that call.
func (s *Server) Load(since time.Duration) Load {
	if since <= 0 {
		return Load{}
	}
	seconds := float32(since.Seconds())
	s.mu.Lock()
	total := s.unkeyedCount
	s.unkeyedCount = 0
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
	return Load{RequestsPerSecond: float32(total) / seconds, Heaviest: list[:min(len(list), maxReportedPartitions)]}
}
