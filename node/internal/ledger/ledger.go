// Package ledger counts the memory that callers hold: connections, headers, bodies, and
// answers that they have not read. Beyond a bound, it drops the connections and streams
// that core/intake chooses.
package ledger

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jujubeknot/jujubeknot/core/clock"
	"github.com/jujubeknot/jujubeknot/core/intake"
)

// retryInterval is the time between two drops if the first found nobody to drop.
const retryInterval = 5 * time.Millisecond

// waitInterval and maxWaits bound the wait for the memory of dropped entries.
const (
	waitInterval = time.Millisecond
	maxWaits     = 50
)

// maxLeavingPart bounds the memory of dropped entries that is not free yet, as a part of
// the bound.
const maxLeavingPart = 4

// Config has the settings of a Ledger. Bound and Clock are required.
type Config struct {
	// Bound is the memory that callers may hold, in bytes.
	Bound int64
	Clock clock.Clock
	// Dropped is called with the stage of each entry that is dropped. Nil means that
	// nobody counts them.
	Dropped func(intake.Stage)
}

// Ledger counts the memory that callers of one process hold. It is safe for concurrent
// use. Use New.
type Ledger struct {
	cfg Config
	// used is the memory of all entries. leaving is the part of it whose entries were
	// dropped.
	used, leaving atomic.Int64

	mu      sync.Mutex
	lastID  uint64
	entries map[uint64]*Entry
	// fullUntil is when drops are tried again after one that found nobody to drop.
	fullUntil time.Time
}

// New returns an empty Ledger. It panics if the bound or the clock is missing.
func New(cfg Config) *Ledger {
	if cfg.Bound <= 0 || cfg.Clock == nil {
		panic("ledger: bound and clock are required")
	}
	if cfg.Dropped == nil {
		cfg.Dropped = func(intake.Stage) {}
	}
	return &Ledger{cfg: cfg, entries: map[uint64]*Entry{}}
}

// Used returns the memory that callers hold, in bytes.
func (l *Ledger) Used() int64 { return l.used.Load() }

// IsRoomy reports whether at most half of the bound is held, so that work may begin whose
// caller can wait.
func (l *Ledger) IsRoomy() bool { return l == nil || l.used.Load() <= l.cfg.Bound/2 }

// Reserve counts memory that belongs to no connection of this process, such as a body that
// another node forwards. It reports false, and counts nothing, if callers hold more than
// three quarters of the bound.
func (l *Ledger) Reserve(n int64) bool {
	if l == nil {
		return true
	}
	if l.used.Add(n) > l.cfg.Bound/4*3 {
		l.used.Add(-n)
		return false
	}
	return true
}

// Unreserve takes back what Reserve counted.
func (l *Ledger) Unreserve(n int64) {
	if l != nil {
		l.used.Add(-n)
	}
}

// Entry is a connection or stream of a caller. All methods can be called on a nil Entry,
// for which nothing is counted. It is safe for concurrent use.
type Entry struct {
	ledger     *Ledger
	id         uint64
	address    netip.Addr
	connection bool
	drop       func()

	mu      sync.Mutex
	stage   intake.Stage
	since   time.Time
	bytes   int64
	dropped bool
	// closed implies dropped.
	closed bool
}

// OpenConnection returns an entry for a new connection. When the entry is dropped, drop is
// called. It returns nil if there is no room.
func (l *Ledger) OpenConnection(remote net.Addr, drop func()) *Entry {
	return l.open(remote.String(), true, intake.StageHeader, intake.ConnectionCost, drop)
}

// OpenStream returns an entry for a request whose connection has other requests too. It
// returns nil if there is no room.
func (l *Ledger) OpenStream(remote string, stage intake.Stage, bytes int64, drop func()) *Entry {
	return l.open(remote, false, stage, bytes, drop)
}

func (l *Ledger) open(remote string, connection bool, stage intake.Stage, bytes int64, drop func()) *Entry {
	// Addresses of other kinds than IP share one zero address.
	address, _ := netip.ParseAddrPort(remote)
	e := &Entry{ledger: l, address: address.Addr().Unmap(), connection: connection, drop: drop, stage: stage, since: l.cfg.Clock.Now()}
	l.mu.Lock()
	l.lastID++
	e.id = l.lastID
	l.entries[e.id] = e
	l.mu.Unlock()
	if !e.Hold(bytes) {
		e.Close()
		return nil
	}
	return e
}

// Hold counts further bytes. If they are too many, it drops other entries. It reports
// false, and counts nothing, if the entry was dropped or there is no room for it.
func (e *Entry) Hold(n int64) bool {
	if e == nil {
		return true
	}
	l := e.ledger
	if used := l.used.Add(n); used > l.cfg.Bound && !l.makeRoom(e) || !e.add(n) {
		l.used.Add(-n)
		return false
	}
	return true
}

// TryHold is like Hold, but drops nothing and leaves half of the bound to others.
func (e *Entry) TryHold(n int64) bool {
	if e == nil {
		return true
	}
	l := e.ledger
	if l.used.Add(n) > l.cfg.Bound/2 || !e.add(n) {
		l.used.Add(-n)
		return false
	}
	return true
}

// add counts bytes at the entry only.
func (e *Entry) add(n int64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.dropped {
		return false
	}
	e.bytes += n
	return true
}

// Release takes back bytes that Hold counted. After Close it has no effect.
func (e *Entry) Release(n int64) {
	if e == nil || n == 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.closed {
		e.release(n)
	}
}

func (e *Entry) release(n int64) {
	e.bytes -= n
	e.ledger.used.Add(-n)
	if e.dropped {
		e.ledger.leaving.Add(-n)
	}
}

// Enter begins a stage. It reports false if the entry was dropped, so that nothing may run
// for it any more.
func (e *Entry) Enter(s intake.Stage) bool {
	if e == nil {
		return true
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.dropped {
		return false
	}
	if e.stage != s {
		e.stage, e.since = s, e.ledger.cfg.Clock.Now()
	}
	return true
}

// Close removes the entry with all that it holds. It may be called more than once.
func (e *Entry) Close() {
	if e == nil {
		return
	}
	l := e.ledger
	l.mu.Lock()
	delete(l.entries, e.id)
	l.mu.Unlock()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.release(e.bytes)
	e.dropped, e.closed = true, true
}

// snapshot returns what the entry holds, and false if it was dropped.
func (e *Entry) snapshot() (intake.Holder, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return intake.Holder{ID: e.id, Address: e.address, Stage: e.stage, Since: e.since, Bytes: e.bytes}, !e.dropped
}

// tryDrop drops the entry unless it was closed or has entered another stage than that of
// a snapshot. The function drop is called under the mutex, so that it never runs after
// Close.
func (e *Entry) tryDrop(s intake.Stage) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.dropped || e.stage != s {
		return false
	}
	e.dropped = true
	e.ledger.leaving.Add(e.bytes)
	e.drop()
	return true
}

// makeRoom drops other entries until what is held beyond the bound is free or about to be.
// It waits while much of the memory of dropped entries is not free yet. It reports false if
// there is no room, or if the entry itself is the first that should be dropped.
func (l *Ledger) makeRoom(e *Entry) bool {
	for range maxWaits {
		l.mu.Lock()
		leaving := l.leaving.Load()
		need := l.used.Load() - l.cfg.Bound - leaving
		if leaving <= l.cfg.Bound/maxLeavingPart || need+leaving <= 0 {
			chosen, found := l.chooseFor(e, need)
			l.mu.Unlock()
			l.dropAll(chosen)
			return found
		}
		l.mu.Unlock()
		time.Sleep(waitInterval)
	}
	return false
}

// chooseFor returns the entries to be dropped so that need bytes come free for an entry, and
// whether there are enough. l.mu must be held.
func (l *Ledger) chooseFor(e *Entry, need int64) (map[*Entry]intake.Stage, bool) {
	now := l.cfg.Clock.Now()
	switch {
	case need <= 0:
		return nil, true
	case now.Before(l.fullUntil):
		return nil, false
	}
	holders := l.holders(func(*Entry) bool { return true })
	chosen := l.chosen(holders, intake.Drop(now, l.cfg.Bound, need, holders))
	if len(chosen) == 0 {
		l.fullUntil = now.Add(retryInterval)
		return nil, false
	}
	if _, refused := chosen[e]; refused {
		// Its end frees what it holds.
		return nil, false
	}
	return chosen, true
}

// DropConnection drops the connection that gives its place to a new one. It reports false
// if there is none.
func (l *Ledger) DropConnection() bool {
	l.mu.Lock()
	holders := l.holders(func(e *Entry) bool { return e.connection })
	var chosen map[*Entry]intake.Stage
	if id, found := intake.DropConnection(l.cfg.Clock.Now(), holders); found {
		chosen = l.chosen(holders, []uint64{id})
	}
	l.mu.Unlock()
	return l.dropAll(chosen)
}

// holders returns what the selected entries hold that were not dropped. l.mu must be held.
func (l *Ledger) holders(selects func(*Entry) bool) []intake.Holder {
	list := make([]intake.Holder, 0, len(l.entries))
	for _, e := range l.entries {
		if h, live := e.snapshot(); live && selects(e) {
			list = append(list, h)
		}
	}
	return list
}

// chosen returns the entries with the given ids and their stages. l.mu must be held.
func (l *Ledger) chosen(holders []intake.Holder, ids []uint64) map[*Entry]intake.Stage {
	stages := make(map[uint64]intake.Stage, len(holders))
	for _, h := range holders {
		stages[h.ID] = h.Stage
	}
	chosen := make(map[*Entry]intake.Stage, len(ids))
	for _, id := range ids {
		chosen[l.entries[id]] = stages[id]
	}
	return chosen
}

// dropAll drops entries unless they have entered another stage. It reports whether any was
// chosen.
func (l *Ledger) dropAll(chosen map[*Entry]intake.Stage) bool {
	for e, stage := range chosen {
		if e.tryDrop(stage) {
			l.cfg.Dropped(stage)
		}
	}
	return len(chosen) > 0
}

type contextKey struct{}

// WithEntry returns a context that FromContext returns e for.
func WithEntry(ctx context.Context, e *Entry) context.Context {
	return context.WithValue(ctx, contextKey{}, e)
}

// FromContext returns the entry of the connection on which a request came, or nil.
func FromContext(ctx context.Context) *Entry {
	e, _ := ctx.Value(contextKey{}).(*Entry)
	return e
}
