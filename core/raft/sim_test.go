package raft_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/jujubeknot/jujubeknot/core/raft"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// fataler is the part of testing.T and rapid.T that the checks need.
type fataler interface {
	Fatalf(format string, args ...any)
	Helper()
}

// stored is a fake disk: it holds what was synced.
type stored struct{ raft.StoredState }

func (d *stored) persist(e raft.Persist) {
	if e.Hard != nil {
		d.Hard = *e.Hard
	}
	if len(e.Entries) > 0 {
		keep := e.Entries[0].Index - d.BaseIndex - 1
		d.Entries = append(slices.Clone(d.Entries[:keep]), e.Entries...)
	}
}

func (d *stored) persistSnapshot(e raft.PersistSnapshot) {
	d.Snapshot = e.Snapshot
	if e.Reset {
		d.BaseIndex, d.BaseTerm, d.Entries = e.Snapshot.Index, e.Snapshot.Term, nil
		return
	}
	for d.BaseIndex+1 < e.FirstIndex {
		d.BaseIndex, d.BaseTerm, d.Entries = d.BaseIndex+1, d.Entries[0].Term, d.Entries[1:]
	}
}

// process is one member with its disk, clock and applied state.
type process struct {
	id      uint64
	folder  uint64
	member  *raft.Member
	disk    stored
	applied []string
	paused  bool
	// inbox has what arrived while the process was paused.
	inbox  []*wirev1.RaftMessage
	halted raft.HaltReason
	isOut  bool
	rate   float64
	offset time.Duration
	role   raft.RoleChanged
}

type delivery struct {
	at      time.Duration
	message *wirev1.RaftMessage
}

// group is a set of processes, a network with faults and what the checks
// remember.
type group struct {
	t         fataler
	random    *rand.Rand
	now       time.Duration
	processes map[uint64]*process
	ids       []uint64
	network   []delivery
	// lossy turns on loss, duplication and delay.
	lossy bool
	cut   map[[2]uint64]bool
	// drop loses the messages for which it returns true.
	drop func(*wirev1.RaftMessage) bool
	// candidate is the only member whose campaigns are heard, 0 for all.
	candidate uint64
	nextID    uint64

	leaders   map[uint64]uint64
	entries   map[[2]uint64]string
	committed map[uint64]string
	// proposed maps request ids to their data, acked has what was confirmed.
	proposed map[uint64][2]uint64
	acked    map[uint64]string
	ackedTop uint64
	reads    map[uint64]uint64
	ready    map[uint64]bool
	failed   map[uint64]raft.Rejected
	// promotions has, by index and term of a membership entry, the new voter and
	// what its leader had applied.
	promotions map[[2]uint64][2]uint64
	// crashAfter ends a process after that many further effects, below 0 never.
	crashAfter int
}

var start = time.Unix(1_700_000_000, 0)

func newGroup(t fataler, seed uint64, size int) *group {
	g := &group{
		t: t, random: rand.New(rand.NewPCG(seed, 1)), processes: map[uint64]*process{}, cut: map[[2]uint64]bool{},
		leaders: map[uint64]uint64{}, entries: map[[2]uint64]string{}, committed: map[uint64]string{},
		proposed: map[uint64][2]uint64{}, acked: map[uint64]string{}, reads: map[uint64]uint64{},
		ready: map[uint64]bool{}, failed: map[uint64]raft.Rejected{}, promotions: map[[2]uint64][2]uint64{}, crashAfter: -1,
	}
	var members []*wirev1.Member
	for id := uint64(1); id <= uint64(size); id++ {
		members = append(members, &wirev1.Member{Id: id, Address: fmt.Sprint("m", id), Folder: 100 + id})
	}
	first, err := raft.Bootstrap(members)
	if err != nil {
		t.Fatalf("bootstrap: %v", err)
	}
	for _, m := range members {
		g.add(m.Id, m.Folder, first)
	}
	return g
}

// add starts a process with what its disk holds.
func (g *group) add(id, folder uint64, disk raft.StoredState) *process {
	p := &process{id: id, folder: folder, disk: stored{disk}, rate: 1}
	if g.processes[id] == nil {
		g.ids = append(g.ids, id)
	}
	g.processes[id] = p
	g.start(p)
	return p
}

func (g *group) start(p *process) {
	g.nextID++
	member, err := raft.New(raft.Config{ID: p.id, Folder: p.folder, Seed: g.nextID, MaxMessageBytes: 300, MaxInFlightMessages: 4}, g.clock(p), p.disk.StoredState)
	if err != nil {
		g.t.Fatalf("restart of %d: %v", p.id, err)
	}
	p.member, p.applied, p.role = member, nil, raft.RoleChanged{}
	g.step(p, raft.Tick{})
}

func (g *group) crash(p *process) {
	p.member, p.inbox, p.paused = nil, nil, false
}

func (g *group) clock(p *process) time.Time {
	return start.Add(p.offset + time.Duration(float64(g.now)*p.rate))
}

func (g *group) step(p *process, event raft.Event) {
	for _, effect := range p.member.Step(g.clock(p), event) {
		if g.crashAfter >= 0 {
			if g.crashAfter--; g.crashAfter < 0 {
				g.crash(p)
				return
			}
		}
		g.carryOut(p, effect)
	}
}

func (g *group) carryOut(p *process, effect raft.Effect) {
	switch e := effect.(type) {
	case raft.Persist:
		p.disk.persist(e)
		g.checkLogMatching(p)
		g.notePromotions(p, e.Entries)
	case raft.PersistSnapshot:
		p.disk.persistSnapshot(e)
	case raft.Send:
		g.send(e.Message)
	case raft.Restore:
		p.applied = decodeState(e.Snapshot.Data)
		if uint64(len(p.applied)) != e.Snapshot.Index {
			g.t.Fatalf("snapshot at %d restores %d entries", e.Snapshot.Index, len(p.applied))
		}
	case raft.Apply:
		g.apply(p, e.Entries)
	case raft.Proposed:
		g.proposed[e.ID] = [2]uint64{e.Index, e.Term}
		if uint64(len(p.applied)) >= e.Index {
			g.t.Fatalf("entry %d is applied before its proposal %d is answered", e.Index, e.ID)
		}
	case raft.ReadReady:
		if required := g.reads[e.ID]; e.Index < required || uint64(len(p.applied)) < required {
			g.t.Fatalf("stale read: member %d in term %d answers read %d at %d with %d applied, %d was acknowledged before",
				p.id, p.role.Term, e.ID, e.Index, len(p.applied), required)
		}
		g.ready[e.ID] = true
	case raft.Rejected:
		g.failed[e.ID] = e
	case raft.RoleChanged:
		p.role = e
		if e.Role == raft.RoleLeader {
			g.checkLeader(p, e.Term)
		}
	case raft.Halted:
		p.halted, p.isOut = e.Reason, true
	}
}

func (g *group) send(m *wirev1.RaftMessage) {
	if g.cut[[2]uint64{m.From, m.To}] || g.drop != nil && g.drop(m) {
		return
	}
	if g.candidate != 0 && m.Kind == wirev1.RaftMessage_KIND_PRE_VOTE && m.From != g.candidate {
		return
	}
	copies := 1
	delay := time.Duration(1+g.random.IntN(3)) * time.Millisecond
	if g.lossy {
		switch g.random.IntN(10) {
		case 0:
			copies = 0
		case 1:
			copies = 2
		case 2:
			delay = time.Duration(g.random.IntN(800)) * time.Millisecond
		}
	}
	for range copies {
		g.network = append(g.network, delivery{at: g.now + delay, message: proto.Clone(m).(*wirev1.RaftMessage)})
		delay += time.Duration(g.random.IntN(100)) * time.Millisecond
	}
}

// run lets time pass in steps of 5 ms.
func (g *group) run(d time.Duration) {
	for end := g.now + d; g.now < end; g.now += 5 * time.Millisecond {
		var due []delivery
		g.network = slices.DeleteFunc(g.network, func(m delivery) bool {
			if m.at <= g.now {
				due = append(due, m)
			}
			return m.at <= g.now
		})
		for _, m := range due {
			g.deliver(m.message)
		}
		for _, id := range g.ids {
			p := g.processes[id]
			if p.member == nil || p.paused {
				continue
			}
			if at := p.member.NextDeadline(); !at.IsZero() && !g.clock(p).Before(at) {
				g.step(p, raft.Tick{})
			}
		}
	}
}

func (g *group) deliver(m *wirev1.RaftMessage) {
	p := g.processes[m.To]
	switch {
	case p == nil || p.member == nil:
	case p.paused:
		p.inbox = append(p.inbox, m)
	default:
		g.step(p, raft.Receive{Message: m})
	}
}

// resume continues a paused process with what it received meanwhile in one
// batch, before its clock had a tick.
func (g *group) resume(p *process) {
	if !p.paused {
		return
	}
	p.paused = false
	var batch raft.Batch
	for _, m := range p.inbox {
		batch = append(batch, raft.Receive{Message: m})
	}
	p.inbox = nil
	if p.member != nil {
		g.step(p, batch)
	}
}
