// Package members decides which control members a group takes in and which it
// gives up, for groups that find their members themselves.
package members

import "time"

// LearnerUnresponsiveAfter is the time without an answer after which a learner is
// given up. A learner has no vote, so that it costs nothing to wait for a
// machine that restarts.
const LearnerUnresponsiveAfter = 30 * time.Second

// Member is one member as the leader sees it.
type Member struct {
	ID      uint64
	Address string
	Learner bool
	// SinceResponse is the time since its last answer, 0 for the leader itself.
	SinceResponse time.Duration
}

// Candidate is a process that asks to become a member.
type Candidate struct {
	ID               uint64
	Address          string
	AvailabilityZone string
}

// View is what a decision rests on.
type View struct {
	Members    []Member
	Candidates []Candidate
	// TargetVoters is the number of voters wanted, MaxMembers that of members allowed.
	TargetVoters, MaxMembers int
	// UnresponsiveAfter is the time without an answer after which a voter may be
	// replaced.
	UnresponsiveAfter time.Duration
}

// Reason says why a member is added or removed.
type Reason string

// Reasons.
const (
	// ReasonJoins: a process that is not a member yet.
	ReasonJoins Reason = "joins"
	// ReasonFolderEmptied: another process answers at the member's address, so its
	// data folder is gone.
	ReasonFolderEmptied Reason = "emptied"
	// ReasonReplaced: a voter is silent and another member votes in its place.
	ReasonReplaced Reason = "replaced"
	// ReasonUnresponsive: a learner is silent, or its place is wanted.
	ReasonUnresponsive Reason = "silent"
)

// Change is one change of the membership. The zero value changes nothing.
type Change struct {
	// Add is nil unless a candidate becomes a learner.
	Add *Candidate
	// Remove is the id of a member, 0 for none.
	Remove uint64
	Reason Reason
}

// NextChange returns the change that is due next. It depends on the view alone.
func NextChange(v View) Change {
	if c := v.emptied(); c.Remove != 0 {
		return c
	}
	if c := v.replaced(); c.Remove != 0 {
		return c
	}
	for _, c := range v.Candidates {
		if v.has(c.ID) {
			continue
		}
		if len(v.Members) < v.MaxMembers {
			return Change{Add: &c, Reason: ReasonJoins}
		}
		if m, ok := v.mostSilent(); ok {
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

func (v View) has(id uint64) bool {
	for _, m := range v.Members {
		if m.ID == id {
			return true
		}
	}
	return false
}

// emptied removes a member whose address a candidate has.
func (v View) emptied() Change {
	for _, c := range v.Candidates {
		for _, m := range v.Members {
			if m.Address == c.Address && m.ID != c.ID && m.SinceResponse > 0 {
				return Change{Remove: m.ID, Reason: ReasonFolderEmptied}
			}
		}
	}
	return Change{}
}

// replaced removes a silent voter once enough others vote.
func (v View) replaced() Change {
	voters, silent := 0, Member{}
	for _, m := range v.Members {
		if m.Learner {
			continue
		}
		voters++
		if m.SinceResponse >= v.UnresponsiveAfter && m.SinceResponse > silent.SinceResponse {
			silent = m
		}
	}
	if voters > v.TargetVoters && silent.ID != 0 {
		return Change{Remove: silent.ID, Reason: ReasonReplaced}
	}
	return Change{}
}

// mostSilent returns the member that has not answered for longest, a learner
// if there is one.
func (v View) mostSilent() (Member, bool) {
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
