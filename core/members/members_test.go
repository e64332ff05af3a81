package members_test

import (
	"testing"
	"time"

	"github.com/jujubeknot/jujubeknot/core/members"
)

const unresponsiveAfter = 5 * time.Second

func threeVoters(sinceResponse time.Duration) []members.Member {
	return []members.Member{{ID: 1, Address: "a"}, {ID: 2, Address: "b", SinceResponse: time.Millisecond}, {ID: 3, Address: "c", SinceResponse: sinceResponse}}
}

func view(list []members.Member, candidates ...members.Candidate) members.View {
	return members.View{Members: list, Candidates: candidates, TargetVoters: 3, MaxMembers: 7, UnresponsiveAfter: unresponsiveAfter}
}

// TestEmptiedDiskIsReplaced guards against a group that counts a member whose disk
// was emptied as a voter. The loss of another voter would then leave it without a
// quorum.
func TestEmptiedDiskIsReplaced(t *testing.T) {
	successor := members.Candidate{ID: 9, Address: "c"}
	if got := members.NextChange(view(threeVoters(time.Second), successor)); got.Remove != 3 || got.Reason != members.ReasonFolderEmptied {
		t.Fatalf("the first change is %+v, want the removal of member 3", got)
	}
	list := threeVoters(time.Second)[:2]
	if got := members.NextChange(view(list, successor)); got.Add == nil || got.Add.ID != 9 {
		t.Fatalf("the second change is %+v, want member 9 added", got)
	}
	list = append(list, members.Member{ID: 9, Address: "c", SinceResponse: time.Millisecond})
	if got := members.NextChange(view(list, successor)); got != (members.Change{}) {
		t.Fatalf("the third change is %+v, want none", got)
	}
}

// TestUnresponsiveVoterIsRemovedOnlyOnceReplaced guards against a group that loses
// a voter with each machine that restarts.
func TestUnresponsiveVoterIsRemovedOnlyOnceReplaced(t *testing.T) {
	if got := members.NextChange(view(threeVoters(time.Minute))); got != (members.Change{}) {
		t.Errorf("without another voter the change is %+v, want none", got)
	}
	list := append(threeVoters(time.Minute), members.Member{ID: 4, Address: "d", SinceResponse: time.Millisecond})
	if got := members.NextChange(view(list)); got.Remove != 3 || got.Reason != members.ReasonReplaced {
		t.Errorf("with another voter the change is %+v, want the removal of member 3", got)
	}
	list[2].SinceResponse = time.Second
	if got := members.NextChange(view(list)); got != (members.Change{}) {
		t.Errorf("with a voter that responds again the change is %+v, want none", got)
	}
}

// TestFullGroupReplacesUnresponsiveMembers guards against a group that stays full of
// members on machines that no longer exist, so that no candidate can join.
func TestFullGroupReplacesUnresponsiveMembers(t *testing.T) {
	list := threeVoters(time.Millisecond)
	for id := uint64(4); id <= 7; id++ {
		list = append(list, members.Member{ID: id, Address: string(rune('a' + id)), Learner: true, SinceResponse: time.Millisecond})
	}
	candidate := members.Candidate{ID: 20, Address: "z"}
	if got := members.NextChange(view(list, candidate)); got != (members.Change{}) {
		t.Errorf("in a full group whose members respond the change is %+v, want none", got)
	}
	list[5].SinceResponse = 6 * time.Second
	if got := members.NextChange(view(list, candidate)); got.Remove != 6 {
		t.Errorf("the change is %+v, want the removal of the unresponsive learner 6", got)
	}
}
