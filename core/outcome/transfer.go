package outcome

import (
	"slices"
	"strings"
	"time"
)

// RecordState is the state of a request that is handed over in a planned move.
type RecordState int

// States of records. The numbers are those of wire.RequestRecord.State.
const (
	// RecordStarted means that the request may have run. It is also the state
	// of a record with an empty ID, which stands for an unplanned change of
	// owner.
	RecordStarted RecordState = iota + 1
	// RecordFinished means that the request has run and its response is in the
	// record.
	RecordFinished
	// RecordBarred means that ID is the id of a sending, which is one
	// transmission of a request (see BeginRequest), and that this sending must
	// never run. Export does not return such records, but Import accepts them.
	RecordBarred
)

// Record is one request that is handed over to the next owner in a planned
// move.
type Record struct {
	// ID is the request id, or the id of a sending if State is RecordBarred. An
	// empty ID means that the partition had an unplanned change of owner, so
	// that the ids of requests before that change are unknown.
	ID        string
	Upstream  string
	Partition uint32
	State     RecordState
	Response  Response
	// Age is the time since the request ended, 0 if it is running. For an empty
	// ID it is the time since the change of owner. If State is RecordBarred, it
	// is the time since the sending was barred.
	Age time.Duration
}

// Export returns the records that the next owner of a partition needs, ordered
// by id. The table keeps its entries, so that Settle still works. A running
// request is exported as RecordStarted. Barred sendings are not exported.
// Export takes O(n log n) in the size of the table.
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
			Upstream: upstream, Partition: partition, State: RecordStarted, Age: now.Sub(r.unknownSince[id]),
		})
	}
	slices.SortFunc(records, func(a, b Record) int { return strings.Compare(a.ID, b.ID) })
	return records
}

// Import adds the records of an earlier owner. They are added even if the table
// is full, because a resend of an id that is not in the table would run again.
// A response is stored only if MaxBody and MaxBytes of the RequestTableConfig
// allow it. Otherwise resends of the request are refused, because the request
// has run and there is no response to replay. If the table has an entry with
// the id of a record already, a RecordFinished replaces it if the entry has no
// response and its request is not running. Other records do not replace it,
// because the entry says as much about the request or more.
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

// importRequest adds the record of a request. The request ended at the time
// since; one that was running when it was exported counts as ended at that
// time.
func (r *RequestTable) importRequest(since time.Time, id partitionID, record Record) {
	old := r.entries[record.ID]
	if old != nil && (old.state == stateRunning || old.state == stateFinished || record.State != RecordFinished) {
		return
	}
	e := &entry{id: record.ID, partition: id, heapIndex: -1}
	if old != nil {
		// remove also removes the sendings that the entry lists. They are moved
		// to the new entry before, so that Settle still finds the request by
		// them.
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
