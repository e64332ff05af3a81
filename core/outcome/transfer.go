package outcome

import (
	"slices"
	"strings"
	"time"
)

// RecordState is the state of a request that travels with a planned move.
type RecordState int

// States of records, in the order of wire.RequestRecord.
const (
	// RecordStarted means that the request may have run. With an empty id it
	// stands for the window after an unplanned change of owner.
	RecordStarted RecordState = iota + 1
	// RecordFinished means that the response is in the record.
	RecordFinished
	// RecordBarred means that the sending with this id never runs.
	RecordBarred
)

// Record is one request that travels with a planned move.
type Record struct {
	// ID is empty in a record that says that ids from before Age are unknown,
	// because the partition changed owner unplanned at that time.
	ID        string
	Upstream  string
	Partition uint32
	State     RecordState
	Response  Response
	// Age is the time since the request ended.
	Age time.Duration
}

// Export returns what the next owner of a partition must know, ordered by id.
// The table keeps everything, so that Settle can still answer. A request that
// still runs is exported as started. Takes O(n log n) in the size of the table.
func (r *RequestTable) Export(now time.Time, upstream string, partition uint32) []Record {
	r.expire(now)
	id := partitionID{upstream, partition}
	var records []Record
	for _, e := range r.entries {
		if e.partition != id {
			continue
		}
		record := Record{ID: e.id, Upstream: upstream, Partition: partition, State: RecordStarted}
		if e.state != stateRunning {
			record.Age = now.Sub(e.ended)
		}
		if e.state == stateFinished {
			record.State = RecordFinished
			record.Response = e.response
		}
		records = append(records, record)
	}
	if r.inUnknownWindow(now, id) {
		records = append(records, Record{
			Upstream: upstream, Partition: partition, State: RecordStarted, Age: now.Sub(r.unknown[id]),
		})
	}
	slices.SortFunc(records, func(a, b Record) int { return strings.Compare(a.ID, b.ID) })
	return records
}

// Import adds the records of an earlier owner. They are kept even where the
// table is full, because a resend of a forgotten id would run again; responses
// are kept only as far as the bounds in bytes allow. A record never replaces
// better knowledge of the same id: running, then finished, then undecided.
func (r *RequestTable) Import(now time.Time, records []Record) {
	r.expire(now)
	for _, record := range records {
		since := now.Add(-max(record.Age, 0))
		id := partitionID{record.Upstream, record.Partition}
		switch {
		case record.ID == "":
			r.startUnknownWindow(since, id)
		case record.State == RecordBarred:
			if r.sendings[record.ID] == nil && r.entries[record.ID] == nil {
				r.addBar(since, record.ID)
			}
		default:
			r.importRequest(since, id, record)
		}
	}
	r.expire(now)
}

func (r *RequestTable) importRequest(since time.Time, id partitionID, record Record) {
	old := r.entries[record.ID]
	if old != nil && (old.state == stateRunning || old.state == stateFinished || record.State != RecordFinished) {
		return
	}
	e := &entry{id: record.ID, partition: id, index: -1}
	if old != nil {
		e.sendings, old.sendings = old.sendings, nil
		r.remove(old)
		for _, s := range e.sendings {
			r.sendings[s] = e
		}
	}
	r.entries[record.ID] = e
	response := record.Response
	response.Complete = record.State == RecordFinished
	r.end(since, e, response)
}
