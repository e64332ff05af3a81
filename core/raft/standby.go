package raft

import (
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// standsBy reports whether a learner is not needed as a voter now: there are
// enough, or another learner that answers would spread them over more
// availability zones.
func (m *Member) standsBy(learner *wirev1.Member) bool {
	if m.config.MaxVoters == 0 {
		return false
	}
	voters, zones := 0, map[string]bool{}
	for _, p := range m.Membership().Members {
		if !p.Learner && !m.silent(p.Id) {
			voters++
			zones[p.AvailabilityZone] = true
		}
	}
	if voters >= m.config.MaxVoters {
		return true
	}
	if !zones[learner.AvailabilityZone] {
		return false
	}
	for _, p := range m.Membership().Members {
		if p.Learner && !zones[p.AvailabilityZone] && !m.silent(p.Id) {
			return true
		}
	}
	return false
}

// silent reports whether another member has not answered for UnresponsiveAfter.
func (m *Member) silent(id uint64) bool {
	f := m.leading.followers[id]
	return f != nil && m.now.Sub(f.heard) >= m.config.UnresponsiveAfter
}
