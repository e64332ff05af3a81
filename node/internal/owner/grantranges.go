package owner

import (
	"cmp"
	"slices"
	"sort"
	"strconv"

	"github.com/jujubeknot/jujubeknot/core/keyspace"
	"github.com/jujubeknot/jujubeknot/core/lease"
	"github.com/jujubeknot/jujubeknot/node/dialect"
)

// recordFences records the fencing tokens with which the partitions are
// granted.
func recordFences(list []*partition, grants []dialect.Grant, count uint32) {
	at := 0
	for _, p := range list {
		first, _ := keyspace.NumericKeyRange(p.id.Partition, count)
		for grants[at].Last < first {
			at++
		}
		p.fence = grants[at].Fence
	}
}

// grantBytes returns the encoded size of grants in bytes. Each grant is an
// array of three numbers and a quoted token.
func grantBytes(grants []dialect.Grant) int {
	const punctuation = len(`[,,,""],`)
	total := 0
	for _, g := range grants {
		total += punctuation + len(strconv.Itoa(int(g.First))) + len(strconv.Itoa(int(g.Last))) +
			len(strconv.FormatUint(g.Fence, 10)) + len(g.Handover)
	}
	return total
}

// fitGrants returns the grants of as many partitions as fit into a limit in
// bytes, and those partitions. A response above the limit would cause the
// backend server to lose all its keys. If not all grants fit, handover tokens
// are omitted first. Only partitions that are not held yet lose theirs,
// beginning with those with the fewest calls. Grants without handover tokens
// are shorter and can be merged. Keys whose state is not handed over are served
// slowly, whereas keys that are left out are not served at all. If the grants
// still do not fit, partitions are left out in the same order.
func fitGrants(list []*partition, count uint32, limit int) ([]*partition, []dialect.Grant) {
	grants := mergeGrants(list, count)
	if grantBytes(grants) <= limit {
		return list, grants
	}
	var added []*partition
	for _, p := range list {
		if !p.held && p.handover != "" {
			added = append(added, p)
		}
	}
	slices.SortStableFunc(added, func(a, b *partition) int { return cmp.Compare(b.count, a.count) })
	handovers := make([]string, len(added))
	for i, p := range added {
		handovers[i] = p.handover
	}
	// The size grows with the number of handover tokens.
	with := sort.Search(len(added)+1, func(n int) bool {
		for i, p := range added {
			p.handover = ""
			if i < n {
				p.handover = handovers[i]
			}
		}
		return grantBytes(mergeGrants(list, count)) > limit
	})
	for i, p := range added {
		p.handover = ""
		if i < with-1 {
			p.handover = handovers[i]
		}
	}
	if grants = mergeGrants(list, count); grantBytes(grants) <= limit {
		return list, grants
	}
	return dropPartitions(list, count, limit)
}

// dropPartitions leaves out partitions until the grants of the others fit into
// a limit in bytes. Partitions that the backend server holds are left out last.
// Among partitions that are all held, or all not held, those with the most
// calls are left out last.
func dropPartitions(list []*partition, count uint32, limit int) ([]*partition, []dialect.Grant) {
	list = slices.Clone(list)
	slices.SortStableFunc(list, func(a, b *partition) int {
		switch {
		case a.held != b.held && a.held:
			return -1
		case a.held != b.held:
			return 1
		default:
			return cmp.Compare(b.count, a.count)
		}
	})
	most := sort.Search(len(list)+1, func(n int) bool {
		return grantBytes(mergeGrants(slices.Clone(list[:min(n, len(list))]), count)) > limit
	}) - 1
	for ; most > 0; most-- {
		kept := slices.Clone(list[:most])
		if grants := mergeGrants(kept, count); grantBytes(grants) <= limit {
			return kept, grants
		}
	}
	return nil, nil
}

// mergeGrants returns the grants of partitions. It merges adjacent partitions
// with equal handover tokens, because the size of the response to a heartbeat
// is limited. A merged grant gets the highest of the fencing tokens. That token
// is lower than that of each later assignment, because fencing tokens are
// indexes of the log. A partition never gets a lower token than it was granted
// with before.
func mergeGrants(list []*partition, count uint32) []dialect.Grant {
	slices.SortFunc(list, func(a, b *partition) int { return cmp.Compare(a.id.Partition, b.id.Partition) })
	var grants []dialect.Grant
	for _, p := range list {
		first, last := keyspace.NumericKeyRange(p.id.Partition, count)
		if n := len(grants); n > 0 && grants[n-1].Handover == p.handover && grants[n-1].Last+1 == first {
			grants[n-1].Last, grants[n-1].Fence = last, max(grants[n-1].Fence, p.fence)
			continue
		}
		grants = append(grants, dialect.Grant{FencedRange: dialect.FencedRange{First: first, Last: last, Fence: p.fence}, Handover: p.handover})
	}
	return grants
}

// grantedPartition returns the partition in the form of the grants of package
// lease.
func (p *partition) grantedPartition() lease.GrantedPartition {
	return lease.GrantedPartition{Partition: p.id.Partition, Epoch: p.epoch}
}
