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

// raise notes the fencing tokens that partitions are granted with.
func raise(list []*partition, grants []dialect.Grant, count uint32) {
	at := 0
	for _, p := range list {
		first, _ := keyspace.NumericKeyRange(p.id.Partition, count)
		for grants[at].Last < first {
			at++
		}
		p.fence = grants[at].Fence
	}
}

// size returns the bytes that grants take as rows of numbers and a quoted token.
func size(grants []dialect.Grant) int {
	const punctuation = len(`[,,,""],`)
	total := 0
	for _, g := range grants {
		total += punctuation + len(strconv.Itoa(int(g.First))) + len(strconv.Itoa(int(g.Last))) +
			len(strconv.FormatUint(g.Fence, 10)) + len(g.Handover)
	}
	return total
}

// fit returns the grants of as many partitions as a limit allows: an answer over
// its bound would cost the backend server all. Where not all fit, partitions
// that are not held yet go without their handovers first, those with the least
// calls before others, since rows without handovers are shorter and can be
// joined: keys without their state are served slowly, keys that are left out are
// not served at all. Partitions are left out in the same order.
func fit(list []*partition, count uint32, limit int) ([]*partition, []dialect.Grant) {
	grants := grantsOf(list, count)
	if size(grants) <= limit {
		return list, grants
	}
	var fresh []*partition
	for _, p := range list {
		if !p.held && p.handover != "" {
			fresh = append(fresh, p)
		}
	}
	slices.SortStableFunc(fresh, func(a, b *partition) int { return cmp.Compare(b.count, a.count) })
	handovers := make([]string, len(fresh))
	for i, p := range fresh {
		handovers[i] = p.handover
	}
	// The bytes grow with the number of handovers.
	with := sort.Search(len(fresh)+1, func(n int) bool {
		for i, p := range fresh {
			p.handover = ""
			if i < n {
				p.handover = handovers[i]
			}
		}
		return size(grantsOf(list, count)) > limit
	})
	for i, p := range fresh {
		p.handover = ""
		if i < with-1 {
			p.handover = handovers[i]
		}
	}
	if grants = grantsOf(list, count); size(grants) <= limit {
		return list, grants
	}
	return cut(list, count, limit)
}

// cut leaves out partitions until the grants of the others are within a limit.
// Those that the backend server holds stay longest, then those with the most
// calls.
func cut(list []*partition, count uint32, limit int) ([]*partition, []dialect.Grant) {
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
	most := sort.Search(len(list)+1, func(n int) bool { return size(grantsOf(slices.Clone(list[:min(n, len(list))]), count)) > limit }) - 1
	for ; most > 0; most-- {
		kept := slices.Clone(list[:most])
		if grants := grantsOf(kept, count); size(grants) <= limit {
			return kept, grants
		}
	}
	return nil, nil
}

// grantsOf joins neighbouring partitions without different handovers, because
// the answer to a beat is bounded. They get the highest of their fencing tokens:
// it is below that of each later assignment, because tokens are indexes of the
// log. What was granted once never gets a lower one.
func grantsOf(list []*partition, count uint32) []dialect.Grant {
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

// grant returns the partition as the project's own grants name it.
func (p *partition) grant() lease.GrantedPartition {
	return lease.GrantedPartition{Partition: p.id.Partition, Epoch: p.epoch}
}
