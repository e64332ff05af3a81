package raft

import (
	wirev1 "github.com/jujubeknot/jujubeknot/wire/v1"
)

// isStandby reports whether a learner is not needed as a voter now. A learner
// is not needed if the group has Config.MaxVoters responsive voters. It is not
// needed either if its availability zone has a responsive voter and another
// responsive learner is in a zone without one.
func (m *Member) isStandby(learner *wirev1.Member) bool {
	if m.config.MaxVoters == 0 {
		return false
	}
	voters, zones := 0, map[string]bool{}
	for _, p := range m.Membership().Members {
		if !p.Learner && !m.isUnresponsive(p.Id) {
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
		if p.Learner && !zones[p.AvailabilityZone] && !m.isUnresponsive(p.Id) {
			return true
		}
	}
	return false
}

// isUnresponsive reports whether another member has not responded for
// Config.UnresponsiveAfter.
func (m *Member) isUnresponsive(id uint64) bool {
	f := m.leaderState.followers[id]
	return f != nil && m.now.Sub(f.lastResponse) >= m.config.UnresponsiveAfter
}
