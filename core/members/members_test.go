package members_test

import (
	"testing"
	"time"

	"github.com/jujubeknot/jujubeknot/core/members"
)

const silentAfter = 5 * time.Second

func three(silent time.Duration) []members.Member {
	return []members.Member{{ID: 1, Address: "a"}, {ID: 2, Address: "b", SinceResponse: time.Millisecond}, {ID: 3, Address: "c", SinceResponse: silent}}
}

func view(list []members.Member, candidates ...members.Candidate) members.View {
	return members.View{Members: list, Candidates: candidates, TargetVoters: 3, MaxMembers: 7, UnresponsiveAfter: silentAfter}
}

// TestEmptiedDiskIsReplaced guards against a group that keeps the vote of a
// member whose disk is gone: the next loss would then stop it.
func TestEmptiedDiskIsReplaced(t *testing.T) {
	again := members.Candidate{ID: 9, Address: "c"}
	if got := members.NextChange(view(three(time.Second), again)); got.Remove != 3 || got.Reason != members.ReasonFolderEmptied {
		t.Fatalf("first change is %+v, want the removal of member 3", got)
	}
	list := three(time.Second)[:2]
	if got := members.NextChange(view(list, again)); got.Add == nil || got.Add.ID != 9 {
		t.Fatalf("second change is %+v, want member 9 added", got)
	}
	list = append(list, members.Member{ID: 9, Address: "c", SinceResponse: time.Millisecond})
	if got := members.NextChange(view(list, again)); got != (members.Change{}) {
		t.Fatalf("a third change %+v, want none", got)
	}
}

// TestSilentVoterIsRemovedOnlyOnceReplaced guards against a group that shrinks
// with each machine that restarts.
func TestSilentVoterIsRemovedOnlyOnceReplaced(t *testing.T) {
	if got := members.NextChange(view(three(time.Minute))); got != (members.Change{}) {
		t.Errorf("without another voter the change is %+v, want none", got)
	}
	list := append(three(time.Minute), members.Member{ID: 4, Address: "d", SinceResponse: time.Millisecond})
	if got := members.NextChange(view(list)); got.Remove != 3 || got.Reason != members.ReasonReplaced {
		t.Errorf("with another voter the change is %+v, want the removal of member 3", got)
	}
	list[2].SinceResponse = time.Second
	if got := members.NextChange(view(list)); got != (members.Change{}) {
		t.Errorf("a voter that answers is removed: %+v", got)
	}
}

// TestFullGroupTakesNewcomersForSilentMembers guards against a group that
// removed machines fill up, so that their successors never get in.
func TestFullGroupTakesNewcomersForSilentMembers(t *testing.T) {
	list := three(time.Millisecond)
	for id := uint64(4); id <= 7; id++ {
		list = append(list, members.Member{ID: id, Address: string(rune('a' + id)), Learner: true, SinceResponse: time.Millisecond})
	}
	newcomer := members.Candidate{ID: 20, Address: "z"}
	if got := members.NextChange(view(list, newcomer)); got != (members.Change{}) {
		t.Errorf("a full group whose members answer changes: %+v", got)
	}
	list[5].SinceResponse = 6 * time.Second
	if got := members.NextChange(view(list, newcomer)); got.Remove != 6 {
		t.Errorf("change is %+v, want the removal of the silent learner 6", got)
	}
}
