package leader_test

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/jujubeknot/jujubeknot/control/internal/leader"
	"github.com/jujubeknot/jujubeknot/core/lease"
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

const (
	deskRules  = "upstream desk keyed partitions=8 # t: test\n"
	partitions = 8
)

// held is a partition at a node.
type held struct {
	epoch    uint64
	released bool
	// complete nodes know every request id that earlier owners knew.
	complete bool
	ids      map[string]bool
}

// node is a node by the design page: it admits with a valid lease what its
// table gives it and has not released.
type node struct {
	server, zone string
	incarnation  uint64
	holder       lease.Holder
	sequence     uint64
	index        uint64
	revision     uint64
	held         map[uint32]*held
	sink         *leader.WatchStream
	sentTo       *member
	draining     bool
	cold         bool
	requests     int
	// busy nodes have requests that do not finish, unheard ones lose their
	// reports of releases.
	busy, unheard bool
	// Until then the node reaches only this member, or none if it is nil.
	cutUntil time.Duration
	reaches  *member
}

type message struct {
	from    *node
	renew   *wirev1.RenewRequest
	release *wirev1.ReleasedRequest
	answer  *wirev1.RenewResponse
	// incarnation that the sender had.
	incarnation uint64
}

type world struct {
	*group
	nodes    []*node
	messages []message
	// ids has the request ids that the latest owner of each partition knew.
	ids              map[uint32]map[string]bool
	moves, takeovers int
	carried          int
	// random is seeded by each case. Rapid's own draws favour small numbers,
	// which would make rare events, such as an election, the rule. Without it
	// nothing is lost, late or repeated.
	random *rand.Rand
}

// chance reports true once in n times.
func (w *world) chance(n int) bool { return w.random != nil && w.random.IntN(n) == 0 }

// below returns a number from 0 to n-1.
func (w *world) below(n int) int {
	if w.random == nil {
		return 0
	}
	return w.random.IntN(n)
}

// newWorld has three control members and four registered nodes in two zones.
func newWorld(t tester) *world {
	w := &world{group: newGroup(3), ids: map[uint32]map[string]bool{}}
	w.applyRules(t, deskRules)
	for i, zone := range []string{"a", "a", "b", "b"} {
		w.nodes = append(w.nodes, &node{server: fmt.Sprint("s", i+1), zone: zone, held: map[uint32]*held{}})
	}
	for _, n := range w.nodes {
		w.register(n)
	}
	return w
}

func (w *world) clockOf(n *node) time.Time {
	// Nodes run up to 1% slower than control.
	slow := time.Duration(slices.Index(w.nodes, n)) * w.now / 250
	return time.Unix(50, 0).Add(w.now - min(slow, w.now/101))
}

// admits returns the nodes that would run a request of a partition now.
func (w *world) admits(p uint32) []*node {
	var admitting []*node
	for _, n := range w.nodes {
		if h := n.held[p]; h != nil && !h.released && n.holder.Valid(w.clockOf(n)) {
			admitting = append(admitting, n)
		}
	}
	return admitting
}

func (w *world) register(n *node) {
	now := w.clockOf(n)
	if n.incarnation != 0 && n.holder.Valid(now) {
		return
	}
	n.holder.Invalidate()
	holder := lease.Holder{}
	holder.Sent(now, 0)
	previous := n.incarnation
	if w.chance(2) {
		previous = 0
	}
	response, err := w.current().leader.Register(context.Background(), &wirev1.RegisterRequest{
		Node: nodeOf(n.server, n.zone), Previous: previous, RequestId: fmt.Sprint(n.server, w.index),
	})
	if err != nil {
		return
	}
	*n = node{server: n.server, zone: n.zone, incarnation: response.GetIncarnation(), holder: holder, held: map[uint32]*held{}}
	n.holder.Granted(w.clockOf(n), 0, time.Duration(response.GetLeaseMs())*time.Millisecond)
}

func (w *world) renew(n *node) {
	n.sequence++
	n.holder.Sent(w.clockOf(n), n.sequence)
	r := &wirev1.RenewRequest{
		Incarnation: n.incarnation, Sequence: n.sequence, Index: n.index, RulesRevision: n.revision,
		Draining: n.draining, Cold: n.cold, RequestsPerSecond: 100, BackendServer: nodeOf(n.server, n.zone).GetBackendServer(),
	}
	for p, h := range n.held {
		if h.released {
			r.Released = append(r.Released, &wirev1.ReleasedPartition{Upstream: "desk", Partition: p, Epoch: h.epoch})
		}
	}
	w.messages = append(w.messages, message{from: n, renew: r, incarnation: n.incarnation})
}

// renewCut lets a node that is cut off renew with the member it reaches.
func (w *world) renewCut(n *node) {
	if n.reaches == nil {
		return
	}
	n.sequence++
	n.holder.Sent(w.clockOf(n), n.sequence)
	answer, err := n.reaches.leader.Renew(context.Background(), &wirev1.RenewRequest{Incarnation: n.incarnation, Sequence: n.sequence, RulesRevision: n.revision})
	if err == nil && !answer.GetLost() {
		n.holder.Granted(w.clockOf(n), n.sequence, time.Duration(answer.GetLeaseMs())*time.Millisecond)
	}
}

// deliver takes one message, out of order, perhaps leaving a copy of it.
func (w *world) deliver() {
	if len(w.messages) == 0 {
		return
	}
	i := w.below(min(4, len(w.messages)))
	m := w.messages[i]
	if !w.chance(4) {
		w.messages = slices.Delete(w.messages, i, i+1)
	}
	to := w.current()
	if w.chance(4) {
		to = w.members[w.below(3)]
	}
	switch {
	case m.renew != nil:
		if answer, err := to.leader.Renew(context.Background(), m.renew); err == nil {
			w.messages = append(w.messages, message{from: m.from, answer: answer, incarnation: m.incarnation})
		}
	case m.release != nil:
		// A failure is a message that was lost: renewals repeat the report.
		_ = to.leader.Released(m.release)
	case m.incarnation == m.from.incarnation && m.answer.GetLost():
		m.from.holder.Invalidate()
	case m.incarnation == m.from.incarnation:
		m.from.holder.Granted(w.clockOf(m.from), m.answer.GetSequence(), time.Duration(m.answer.GetLeaseMs())*time.Millisecond)
	}
}

// watch lets a node receive its next update.
func (w *world) watch(t tester, n *node) {
	if n.sink == nil || w.chance(10) {
		from := n.index
		if w.chance(2) {
			from = 0
		}
		sink, err := w.current().leader.Watch(context.Background(), &wirev1.WatchRequest{Incarnation: n.incarnation, FromIndex: from})
		if err != nil {
			return
		}
		n.sink = sink
	}
	u, err := n.sink.Next()
	if err != nil {
		n.sink = nil
		return
	}
	if u == nil || w.chance(10) {
		// A broken stream loses the update; the node connects anew.
		if u != nil {
			n.sink = nil
		}
		return
	}
	if u.GetRules() != nil {
		if u.GetRules().GetRevision() < n.revision {
			t.Fatalf("%s went from revision %d to %d", n.server, n.revision, u.GetRules().GetRevision())
		}
		n.revision = u.GetRules().GetRevision()
	}
	n.index = u.GetIndex()
	for _, a := range u.GetAssignments() {
		w.take(t, n, a, u.GetMovedRequests())
	}
	for _, order := range u.GetReleases() {
		w.release(n, order)
	}
}

func (w *world) take(t tester, n *node, a *wirev1.Assignment, moved []*wirev1.MovedRequests) {
	p := a.GetPartition()
	h := n.held[p]
	switch {
	case h != nil && a.GetEpoch() <= h.epoch:
		if a.GetEpoch() == h.epoch && a.GetOwner() != n.incarnation {
			t.Fatalf("epoch %d of %d has owners %d and %d", h.epoch, p, n.incarnation, a.GetOwner())
		}
		return
	case a.GetOwner() != n.incarnation:
		delete(n.held, p)
		return
	}
	h = &held{epoch: a.GetEpoch(), ids: map[string]bool{}}
	n.held[p] = h
	if !a.GetPlanned() {
		w.takeovers++
		return
	}
	w.moves++
	for _, m := range moved {
		if m.GetPartition() == p && m.GetEpoch() == a.GetEpoch() {
			h.complete = true
			for _, r := range m.GetRecords() {
				h.ids[r.GetRequestId()] = true
				w.carried++
			}
		}
	}
	if !h.complete {
		t.Fatalf("planned move of %d to %s at epoch %d came without its request ids", p, n.server, a.GetEpoch())
	}
	if n.holder.Valid(w.clockOf(n)) && !maps.Equal(h.ids, w.ids[p]) {
		t.Fatalf("%s got request ids %v of %d, the owner before it had %v", n.server, h.ids, p, w.ids[p])
	}
}

func (w *world) release(n *node, order *wirev1.Release) {
	h := n.held[order.GetPartition()]
	if h == nil || h.epoch != order.GetEpoch() || h.released {
		return
	}
	report := &wirev1.ReleasedPartition{Upstream: "desk", Partition: order.GetPartition(), Epoch: h.epoch}
	r := &wirev1.ReleasedRequest{Incarnation: n.incarnation, Partitions: []*wirev1.ReleasedPartition{report}}
	if w.chance(6) || n.busy {
		report.PutOff = true
	} else {
		h.released = true
		w.ids[order.GetPartition()] = maps.Clone(h.ids)
		m := &wirev1.MovedRequests{Upstream: "desk", Partition: order.GetPartition(), Epoch: h.epoch}
		for id := range h.ids {
			m.Records = append(m.Records, &wirev1.RequestRecord{RequestId: id})
		}
		r.MovedRequests = []*wirev1.MovedRequests{m}
	}
	if !w.chance(3) && !n.unheard && w.current().leader.Released(r) == nil {
		return
	}
	if n.unheard {
		return
	}
	w.messages = append(w.messages, message{from: n, release: r, incarnation: n.incarnation})
}

func (w *world) check(t tester) {
	for p := range uint32(partitions) {
		admitting := w.admits(p)
		if len(admitting) > 1 {
			t.Fatalf("partition %d is admitted by %s (%d) and %s (%d) at %v in term %d", p,
				admitting[0].server, admitting[0].incarnation, admitting[1].server, admitting[1].incarnation, w.now, w.term)
		}
		for _, n := range admitting {
			if !w.chance(30) {
				continue
			}
			n.requests++
			n.held[p].ids[fmt.Sprint(n.server, n.requests)] = true
			w.ids[p] = maps.Clone(n.held[p].ids)
		}
	}
}

func (w *world) anyNode() *node { return w.nodes[w.below(len(w.nodes))] }

// lead lets a member do its leader's work, mostly the one that leads.
func (w *world) lead() {
	m := w.current()
	if w.chance(5) {
		m = w.members[w.below(3)]
	}
	// Errors are lost answers and members that learn that they do not lead.
	_, _ = m.leader.Step(context.Background())
}

func (w *world) disturb(t tester) {
	switch w.below(6) {
	case 4:
		n := w.anyNode()
		n.cutUntil, n.reaches = w.now+time.Duration(w.below(4000))*time.Millisecond, nil
	case 5:
		// A node is cut off together with the leader, which is replaced.
		n := w.anyNode()
		n.cutUntil, n.reaches = w.now+time.Duration(w.below(4000))*time.Millisecond, w.current()
		w.elect((w.leads + 1) % 3)
	case 0:
		w.now += lease.Config{}.GranterDuration() - 10*time.Millisecond
	case 1:
		text := deskRules
		if w.chance(2) {
			text += "zone a out # t: test\n"
		}
		if text != w.state.Rules().GetText() {
			w.applyRules(t, text)
		}
	case 2:
		n := w.anyNode()
		n.draining = !n.draining
	case 3:
		w.elect(w.below(3))
	}
}

// round is what happens most of the time: nodes renew and follow.
func (w *world) round(t tester) {
	w.now += time.Duration(20+w.below(120)) * time.Millisecond
	w.lead()
	for _, n := range w.nodes {
		if w.now < n.cutUntil {
			w.renewCut(n)
			continue
		}
		if w.chance(5) {
			continue
		}
		w.register(n)
		w.renew(n)
		w.watch(t, n)
		w.check(t)
	}
	for len(w.messages) > 0 && !w.chance(25) {
		w.deliver()
		w.check(t)
	}
	if len(w.messages) > 12 {
		w.messages = w.messages[len(w.messages)-12:]
	}
}

func (w *world) step(t tester) {
	switch w.below(20) {
	case 0:
		w.disturb(t)
	case 1:
		w.lead()
	case 2:
		w.watch(t, w.anyNode())
	case 3:
		w.renew(w.anyNode())
	case 4, 5:
		w.deliver()
	default:
		w.round(t)
	}
	w.check(t)
}
