package raft

import (
	"google.golang.org/protobuf/proto"

	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// entryLog holds the consecutive entries after a base. The base is the entry at
// baseIndex with baseTerm, which the log itself does not hold.
type entryLog struct {
	baseIndex uint64
	baseTerm  uint64
	entries   []*wirev1.Entry
}

func (l *entryLog) lastIndex() uint64 {
	return l.baseIndex + uint64(len(l.entries))
}

func (l *entryLog) lastTerm() uint64 {
	term, _ := l.term(l.lastIndex())
	return term
}

// term returns the term of the entry at an index, or false if the log does not
// have it.
func (l *entryLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.baseIndex:
		return l.baseTerm, true
	case index < l.baseIndex || index > l.lastIndex():
		return 0, false
	}
	return l.entries[index-l.baseIndex-1].Term, true
}

func (l *entryLog) matches(index, term uint64) bool {
	got, ok := l.term(index)
	return ok && got == term
}

// entriesFrom returns the entries from an index on, at most maxBytes of encoded
// entries but at least one entry if there is any. Later operations on the log
// do not change the result.
func (l *entryLog) entriesFrom(index uint64, maxBytes int) []*wirev1.Entry {
	rest := l.entries[index-l.baseIndex-1:]
	size := 0
	for i, e := range rest {
		size += proto.Size(e)
		if i > 0 && size > maxBytes {
			rest = rest[:i]
			break
		}
	}
	return append([]*wirev1.Entry(nil), rest...)
}

// entriesBetween returns the entries after one index up to and including
// another. Later operations on the log do not change the result.
func (l *entryLog) entriesBetween(after, upTo uint64) []*wirev1.Entry {
	return append([]*wirev1.Entry(nil), l.entries[after-l.baseIndex:upTo-l.baseIndex]...)
}

func (l *entryLog) append(entries ...*wirev1.Entry) {
	l.entries = append(l.entries, entries...)
}

// truncate removes the entry at an index and all after it.
func (l *entryLog) truncate(index uint64) {
	clear(l.entries[index-l.baseIndex-1:])
	l.entries = l.entries[:index-l.baseIndex-1]
}

// firstKept returns the index of the first of at most count entries up to and
// including an index that fit into maxBytes with their encoded size, or the
// index after it if there are none. maxBytes 0 means no limit on the size.
func (l *entryLog) firstKept(index, count uint64, maxBytes int) uint64 {
	first, size := index+1, 0
	for first > l.baseIndex+1 && index+1-first < count {
		size += proto.Size(l.entries[first-1-l.baseIndex-1])
		if maxBytes > 0 && size > maxBytes {
			break
		}
		first--
	}
	return first
}

// compact removes the entries up to and including an index, which becomes the
// base.
func (l *entryLog) compact(index uint64) {
	if index <= l.baseIndex {
		return
	}
	term, _ := l.term(index)
	l.entries = append([]*wirev1.Entry(nil), l.entries[index-l.baseIndex:]...)
	l.baseIndex, l.baseTerm = index, term
}

// upToDate reports whether a log that ends with an entry of the given index and
// term is at least as up to date as this one.
func (l *entryLog) upToDate(index, term uint64) bool {
	return term > l.lastTerm() || term == l.lastTerm() && index >= l.lastIndex()
}

// conflictHint returns the last index, up to the given one, of an entry whose
// term is not above the given term. A leader that probes for a match can skip
// the indexes in between.
func (l *entryLog) conflictHint(index, term uint64) uint64 {
	index = min(index, l.lastIndex())
	for index > l.baseIndex {
		if got, _ := l.term(index); got <= term {
			break
		}
		index--
	}
	return index
}
