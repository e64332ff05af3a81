package raft

import (
	"google.golang.org/protobuf/proto"

	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// entryLog has the entries after the base, without gaps.
type entryLog struct {
	baseIndex uint64
	baseTerm  uint64
	entries   []*wirev1.Entry
}

func (l *entryLog) last() uint64 {
	return l.baseIndex + uint64(len(l.entries))
}

func (l *entryLog) lastTerm() uint64 {
	term, _ := l.term(l.last())
	return term
}

// term returns the term of the entry at an index, false where it is unknown.
func (l *entryLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.baseIndex:
		return l.baseTerm, true
	case index < l.baseIndex || index > l.last():
		return 0, false
	}
	return l.entries[index-l.baseIndex-1].Term, true
}

func (l *entryLog) matches(index, term uint64) bool {
	got, ok := l.term(index)
	return ok && got == term
}

// from returns entries from an index on, at least one if there is one and then
// as many as fit in the bytes. The result is not changed by later operations.
func (l *entryLog) from(index uint64, maxBytes int) []*wirev1.Entry {
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

// between returns the entries after one index up to and including another.
func (l *entryLog) between(after, upTo uint64) []*wirev1.Entry {
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

// compact removes the entries up to and including an index.
func (l *entryLog) compact(index uint64) {
	if index <= l.baseIndex {
		return
	}
	term, _ := l.term(index)
	l.entries = append([]*wirev1.Entry(nil), l.entries[index-l.baseIndex:]...)
	l.baseIndex, l.baseTerm = index, term
}

// upToDate reports whether a log that ends with the given entry has at least
// what this one has.
func (l *entryLog) upToDate(index, term uint64) bool {
	return term > l.lastTerm() || term == l.lastTerm() && index >= l.last()
}

// conflictHint returns the last index up to the given one whose term is not
// above the given one: a leader need not probe the indexes between.
func (l *entryLog) conflictHint(index, term uint64) uint64 {
	index = min(index, l.last())
	for index > l.baseIndex {
		if got, _ := l.term(index); got <= term {
			break
		}
		index--
	}
	return index
}
