package raft

import (
	"fmt"
	"slices"
	"unicode/utf8"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// indexedMembership is a membership and the index of its entry.
type indexedMembership struct {
	index      uint64
	membership *wirev1.Membership
}

// Membership returns the membership in force, which is that of the last
// membership entry in the log, committed or not. It must not be changed.
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

// membershipAt returns the last membership at or below an index.
func (m *Member) membershipAt(index uint64) *wirev1.Membership {
	for i := len(m.memberships) - 1; i >= 0; i-- {
		if m.memberships[i].index <= index {
			return m.memberships[i].membership
		}
	}
	return &wirev1.Membership{}
}

// addMembership puts the membership of an entry in force.
func (m *Member) addMembership(index uint64, membership *wirev1.Membership) {
	m.memberships = append(m.memberships, indexedMembership{index: index, membership: membership})
	m.membershipChanged = true
	m.trackMembers()
}

// dropMemberships takes back the memberships from an index on.
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

// mayCampaign reports whether this member may start elections. A voter whose
// removal is in its log but not known to be committed still may: it can be the
// only one whose log is complete enough to lead. Its own vote then does not
// count.
func (m *Member) mayCampaign() bool {
	for i := len(m.memberships) - 1; i >= 0; i-- {
		self := findMember(m.memberships[i].membership, m.config.ID)
		if self != nil {
			return !self.Learner && self.Folder == m.config.Folder
		}
		if m.memberships[i].index <= m.commit {
			return false
		}
	}
	return false
}

// quorum reports whether the voters for which has returns true are a majority.
func (m *Member) quorum(has func(id uint64) bool) bool {
	voters, yes := 0, 0
	for _, p := range m.Membership().Members {
		if p.Learner {
			continue
		}
		voters++
		if has(p.Id) {
			yes++
		}
	}
	return voters > 0 && yes > voters/2
}

// changed returns the membership after a requested change, or an error.
func changed(current *wirev1.Membership, add *wirev1.Member, remove uint64) (*wirev1.Membership, error) {
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

// promoted returns the membership with a learner made a voter.
func promoted(current *wirev1.Membership, id, folder uint64) *wirev1.Membership {
	next := proto.Clone(current).(*wirev1.Membership)
	learner := findMember(next, id)
	learner.Learner, learner.Folder = false, folder
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
		return errors.Errorf("%d members are more than %d", len(membership.Members), MaxMembers)
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

// encodeMembership panics where protobuf cannot encode, which happens only
// with invalid UTF-8 in an address.
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
