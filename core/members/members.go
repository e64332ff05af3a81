// Package members decides which members a control group adds and which it
// removes, for groups whose members discover one another.
package members

import "time"

// LearnerUnresponsiveAfter is the time without a response after which a learner
// is removed. A learner has no vote, so waiting for a machine that restarts
// costs nothing.
const LearnerUnresponsiveAfter = 30 * time.Second

// Member is the leader's view of one member.
type Member struct {
	ID      uint64
	Address string
	Learner bool
	// SinceResponse is the time since the member's last response, 0 for the leader
	// itself.
	SinceResponse time.Duration
}

// Candidate is a process that requests to become a member.
type Candidate struct {
	ID               uint64
	Address          string
	AvailabilityZone string
}

// View is the state of the group on which a decision depends.
type View struct {
	Members    []Member
	Candidates []Candidate
	// TargetVoters is the intended number of voters, MaxMembers the largest
	// allowed number of voters and learners.
	TargetVoters, MaxMembers int
	// UnresponsiveAfter is the time without a response after which a voter may be
	// replaced.
	UnresponsiveAfter time.Duration
}

// Reason is the reason why a member is added or removed. The values appear in
// the log.
type Reason string

// Reasons.
const (
	// ReasonJoins means that a candidate is not a member yet.
	ReasonJoins Reason = "joins"
	// ReasonFolderEmptied means that a candidate has the member's address but
	// another id. The member's data folder was lost.
	ReasonFolderEmptied Reason = "emptied"
	// ReasonReplaced means that a voter is unresponsive and that another voter
	// takes its place.
	ReasonReplaced Reason = "replaced"
	// ReasonUnresponsive means that a learner is unresponsive, or that an
	// unresponsive member is removed from a full group in favour of a candidate.
	ReasonUnresponsive Reason = "silent"
)

// Change is one change of the membership. The zero value is no change.
type Change struct {
	// Add is the candidate to add as a learner, nil for none.
	Add *Candidate
	// Remove is the id of the member to remove, 0 for none.
	Remove uint64
	Reason Reason
}

// NextChange returns the next change of the membership. The result depends only
// on the view.
func NextChange(v View) Change {
	if c := v.removeEmptied(); c.Remove != 0 {
		return c
	}
	if c := v.removeReplaced(); c.Remove != 0 {
		return c
	}
	for _, c := range v.Candidates {
		if v.hasMember(c.ID) {
			continue
		}
		if len(v.Members) < v.MaxMembers {
			return Change{Add: &c, Reason: ReasonJoins}
		}
		if m, ok := v.longestUnresponsive(); ok {
			return Change{Remove: m.ID, Reason: ReasonUnresponsive}
		}
	}
	for _, m := range v.Members {
		if m.Learner && m.SinceResponse >= LearnerUnresponsiveAfter {
			return Change{Remove: m.ID, Reason: ReasonUnresponsive}
		}
	}
	return Change{}
}

func (v View) hasMember(id uint64) bool {
	for _, m := range v.Members {
		if m.ID == id {
			return true
		}
	}
	return false
}

// removeEmptied removes a member if a candidate has the same address but
// another id.
func (v View) removeEmptied() Change {
	for _, c := range v.Candidates {
		for _, m := range v.Members {
			if m.Address == c.Address && m.ID != c.ID && m.SinceResponse > 0 {
				return Change{Remove: m.ID, Reason: ReasonFolderEmptied}
			}
		}
	}
	return Change{}
}

// removeReplaced removes the longest unresponsive voter once the group has more
// voters than intended.
func (v View) removeReplaced() Change {
	voters, unresponsive := 0, Member{}
	for _, m := range v.Members {
		if m.Learner {
			continue
		}
		voters++
		if m.SinceResponse >= v.UnresponsiveAfter && m.SinceResponse > unresponsive.SinceResponse {
			unresponsive = m
		}
	}
	if voters > v.TargetVoters && unresponsive.ID != 0 {
		return Change{Remove: unresponsive.ID, Reason: ReasonReplaced}
	}
	return Change{}
}

// longestUnresponsive returns the member that has been unresponsive for
// longest, or false if there is none. Learners take precedence over voters.
func (v View) longestUnresponsive() (Member, bool) {
	var best Member
	for _, m := range v.Members {
		if m.SinceResponse < v.UnresponsiveAfter {
			continue
		}
		if best.ID == 0 || m.Learner && !best.Learner || m.Learner == best.Learner && m.SinceResponse > best.SinceResponse {
			best = m
		}
	}
	return best, best.ID != 0
}
