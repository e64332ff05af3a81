// Package intake decides what a process keeps of what callers have sent. It answers
// crowds of callers that are not under control: they send headers and bodies that never
// end, requests ahead, and read no answers, so that what they hold would fill the memory.
package intake

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

// Stage says what a connection or stream of a caller waits for.
type Stage uint8

const (
	// StageRunning means that a request runs, or waits to run. It is never dropped.
	StageRunning Stage = iota
	// StageHeader means that the header of a request has not arrived whole.
	StageHeader
	// StageBody means that a body has not arrived whole and nothing of its request runs.
	StageBody
	// StageAnswer means that the caller has not read its answer.
	StageAnswer
	// StageIdle means that the caller has no request.
	StageIdle
)

// String returns the name of the stage in camel case.
func (s Stage) String() string {
	switch s {
	case StageRunning:
		return "running"
	case StageHeader:
		return "header"
	case StageBody:
		return "body"
	case StageAnswer:
		return "answer"
	case StageIdle:
		return "idle"
	}
	return "unknown"
}

// Costs in memory of what callers send, in bytes.
const (
	// fieldCost is the cost of a header field beside its bytes: entries of up to three
	// maps with a slice each, because a header is renamed and filtered on its way.
	fieldCost = 300
	// byteCost is the number of copies of a header: the strings, what is sent on, and
	// buffers of which a half is used.
	byteCost = 4
	// ConnectionCost is the cost of a connection: goroutine, buffers and state.
	ConnectionCost = 24 << 10
	// RequestCost is the cost of a request beside its header and body.
	RequestCost = 16 << 10
)

// HeaderCost returns the cost of a header with a number of bytes and fields.
func HeaderCost(bytes, fields int) int64 { return int64(bytes)*byteCost + int64(fields)*fieldCost }

const (
	// sharePercent is the part of the soft memory limit that callers may fill. The rest
	// is for the process itself, responses on their way, and garbage.
	sharePercent = 50
	// sparePart is the part of the bound that is freed beyond the need, so that few
	// decisions are taken while a crowd comes.
	sparePart = 16
)

// Bound returns how much of the memory callers may fill, for a process with a soft memory
// limit in bytes.
func Bound(softLimit int64) int64 { return softLimit / 100 * sharePercent }

// Holder is a connection or stream that holds memory.
type Holder struct {
	ID      uint64
	Address netip.Addr
	Stage   Stage
	// Since is when the stage began. What arrives slowly does not renew it.
	Since time.Time
	// Bytes is the memory that the holder keeps.
	Bytes int64
}

const (
	// minUnread is the time for which an answer counts as being read.
	minUnread = time.Second
	// minArrival is the time for which a header or body counts as arriving, so that its
	// connection keeps its place although a new one needs it.
	minArrival = 500 * time.Millisecond
	// maxArrivingBytes is the most that an ordinary request holds while it arrives: its
	// connection, a header of a few KiB, and no long body.
	maxArrivingBytes = 64 << 10
	// minIdle is the same as minArrival for a connection without a request. Callers use connections
	// again that have been idle for less.
	minIdle = 15 * time.Second
)

// DropConnection returns the connection that gives its place to a new one, and false if
// none does: the one that Drop would drop first of those that have been in their stage for
// some time.
func DropConnection(now time.Time, connections []Holder) (uint64, bool) {
	list := slices.DeleteFunc(slices.Clone(connections), func(h Holder) bool {
		if h.Stage == StageIdle {
			return now.Sub(h.Since) < minIdle
		}
		return now.Sub(h.Since) < minArrival
	})
	ids := Drop(now, 0, 1, list)
	if len(ids) == 0 {
		return 0, false
	}
	return ids[0], true
}

// rank orders holders by what is lost with them. A lower rank is dropped first.
type rank uint8

const (
	// rankStalled is that of headers and bodies that are large or arrive slowly, and of
	// answers that are not read.
	rankStalled rank = iota
	rankIdle
	// rankArriving is that of new connections and ordinary requests.
	rankArriving
)

func rankOf(now time.Time, h Holder) rank {
	switch {
	case h.Stage == StageIdle:
		return rankIdle
	case now.Sub(h.Since) < minArrival && h.Bytes <= maxArrivingBytes:
		return rankArriving
	}
	return rankStalled
}

// spare returns what is freed beyond the need by dropping holders of a rank.
func spare(bound int64, r rank) int64 {
	switch r {
	case rankStalled:
		return bound / sparePart
	case rankIdle:
		return bound / sparePart / 4
	}
	return 0
}

// Drop returns the holders to be dropped so that need bytes, and a reserve of a part of
// bound, come free: the cheapest to lose first. The price of a holder falls with the
// memory that it has kept without an end of its stage, in bytes times seconds, and with
// the part of all memory that its address holds. A caller who sends and reads without
// delay therefore comes last. Idle connections come after those of stalled callers, those
// that have been idle for the longest time first, and before small requests that have just
// begun to arrive. Running requests are never dropped, and answers only once they have not
// been read for a second. If the need cannot be met, Drop returns nil.
func Drop(now time.Time, bound, need int64, holders []Holder) []uint64 {
	byAddress, total := map[netip.Addr]int64{}, int64(0)
	for _, h := range holders {
		byAddress[h.Address] += h.Bytes
		total += h.Bytes
	}
	type candidate struct {
		Holder
		rank  rank
		waste float64
	}
	var list []candidate
	for _, h := range holders {
		if h.Stage == StageRunning || h.Stage == StageAnswer && now.Sub(h.Since) < minUnread {
			continue
		}
		c := candidate{Holder: h, rank: rankOf(now, h)}
		if c.rank != rankIdle {
			kept := float64(h.Bytes) * max(now.Sub(h.Since).Seconds(), 0)
			c.waste = kept * (1 + float64(byAddress[h.Address])/float64(total))
		}
		list = append(list, c)
	}
	slices.SortFunc(list, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(b.waste, a.waste), a.Since.Compare(b.Since), cmp.Compare(a.ID, b.ID))
	})
	var dropped []uint64
	var freed int64
	for _, c := range list {
		if freed >= need+spare(bound, c.rank) {
			break
		}
		dropped, freed = append(dropped, c.ID), freed+c.Bytes
	}
	if freed < need {
		return nil
	}
	return dropped
}
