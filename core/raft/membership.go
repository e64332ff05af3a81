package raft

import (
	"fmt"
	"slices"
	"unicode/utf8"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// indexedMembership is a membership and the index of its entry or snapshot.
type indexedMembership struct {
	index      uint64
	membership *wirev1.Membership
}

// Membership returns the membership in force. It is that of the last membership
// entry in the log, committed or not. The caller must not modify it.
func (m *Member) Membership() *wirev1.Membership {
	if len(m.memberships) == 0 {
		return &wirev1.Membership{}
	}
	return m.memberships[len(m.memberships)-1].membership
}

func (m *Member) membershipIndex() uint64 {
	if len(m.memberships) == 0 {
		return 0
	}
	return m.memberships[len(m.memberships)-1].index
}

// membershipAt returns the membership in force at an index of the log.
func (m *Member) membershipAt(index uint64) *wirev1.Membership {
	for i := len(m.memberships) - 1; i >= 0; i-- {
		if m.memberships[i].index <= index {
			return m.memberships[i].membership
		}
	}
	return &wirev1.Membership{}
}

// addMembership puts the membership of the entry at an index in force.
func (m *Member) addMembership(index uint64, membership *wirev1.Membership) {
	m.memberships = append(m.memberships, indexedMembership{index: index, membership: membership})
	m.membershipChanged = true
	m.updateFollowers()
}

// dropMemberships removes the memberships of entries from an index on, which
// were truncated. The one before is in force again.
func (m *Member) dropMemberships(from uint64) {
	for len(m.memberships) > 0 && m.membershipIndex() >= from {
		m.memberships = m.memberships[:len(m.memberships)-1]
		m.membershipChanged = true
	}
}

func findMember(membership *wirev1.Membership, id uint64) *wirev1.Member {
	for _, p := range membership.GetMembers() {
		if p.Id == id {
			return p
		}
	}
	return nil
}

// mayCampaign reports whether this member may start elections. Learners may
// not. A voter may while its removal is in its log but not known to be
// committed, because it can be the only member with a log complete enough to
// lead. The vote of such a voter for itself does not count.
func (m *Member) mayCampaign() bool {
	for i := len(m.memberships) - 1; i >= 0; i-- {
		self := findMember(m.memberships[i].membership, m.config.ID)
		if self != nil {
			return !self.Learner && (self.Folder == 0 || self.Folder == m.config.Folder)
		}
		if m.memberships[i].index <= m.commitIndex {
			return false
		}
	}
	return false
}

// hasQuorum reports whether the voters for which counts returns true are a
// majority.
func (m *Member) hasQuorum(counts func(id uint64) bool) bool {
	voters, yes := 0, 0
	for _, p := range m.Membership().Members {
		if p.Learner {
			continue
		}
		voters++
		if counts(p.Id) {
			yes++
		}
	}
	return voters > 0 && yes > voters/2
}

// changedMembership returns the membership with a member added as a learner or,
// if add is nil, with a member removed.
func changedMembership(current *wirev1.Membership, add *wirev1.Member, remove uint64) (*wirev1.Membership, error) {
	next := proto.Clone(current).(*wirev1.Membership)
	if add != nil {
		if slices.Contains(current.RemovedIds, add.Id) {
			return nil, errors.Errorf("member id %d was used before", add.Id)
		}
		next.Members = sortedMembers(append(next.Members, &wirev1.Member{
			Id: add.Id, Address: add.Address, AvailabilityZone: add.AvailabilityZone, Learner: true,
		}))
		return next, checkMembership(next)
	}
	if findMember(current, remove) == nil {
		return nil, errors.Errorf("no member has id %d", remove)
	}
	next.Members = slices.DeleteFunc(next.Members, func(p *wirev1.Member) bool { return p.Id == remove })
	next.RemovedIds = append(next.RemovedIds, remove)
	return next, checkMembership(next)
}

// promotedMembership returns the membership with a member made a voter with the
// given folder id.
func promotedMembership(current *wirev1.Membership, id, folder uint64) *wirev1.Membership {
	next := proto.Clone(current).(*wirev1.Membership)
	voter := findMember(next, id)
	voter.Learner, voter.Folder = false, folder
	return next
}

func checkMembership(membership *wirev1.Membership) error {
	voters := 0
	for i, p := range membership.Members {
		if p.Id == 0 || p.Address == "" || !utf8.ValidString(p.Address) {
			return errors.Errorf("member %d at %q needs an id above 0 and an address", p.Id, p.Address)
		}
		for _, q := range membership.Members[:i] {
			if q.Id == p.Id || q.Address == p.Address {
				return errors.Errorf("members %d at %s and %d at %s have the same id or address", q.Id, q.Address, p.Id, p.Address)
			}
		}
		if !p.Learner {
			voters++
		}
	}
	if voters == 0 {
		return errors.New("no voter is left")
	}
	if len(membership.Members) > MaxMembers {
		return errors.Errorf("membership has %d members, more than the limit of %d", len(membership.Members), MaxMembers)
	}
	return nil
}

func sortedMembers(members []*wirev1.Member) []*wirev1.Member {
	return slices.SortedFunc(slices.Values(members), func(a, b *wirev1.Member) int {
		switch {
		case a.Id < b.Id:
			return -1
		case a.Id > b.Id:
			return 1
		}
		return 0
	})
}

// encodeMembership returns the membership as the data of an entry. It panics if
// protobuf cannot encode it, which happens only if an address is not valid
// UTF-8.
func encodeMembership(membership *wirev1.Membership) []byte {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(membership)
	if err != nil {
		panic(fmt.Errorf("encode membership: %w", err))
	}
	return data
}

func decodeMembership(data []byte) (*wirev1.Membership, error) {
	membership := &wirev1.Membership{}
	if err := proto.Unmarshal(data, membership); err != nil {
		return nil, fmt.Errorf("decode membership: %w", err)
	}
	return membership, checkMembership(membership)
}
