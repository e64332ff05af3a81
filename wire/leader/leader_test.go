package leader_test

import (
	"fmt"
	"net/netip"
	"testing"

	"connectrpc.com/connect"

	"github.com/jujubeknot/jujubeknot/wire/headers"
	"github.com/jujubeknot/jujubeknot/wire/leader"
)

// TestMembersAreCalledOnce guards against clients that call two members in an
// endless loop because each of the two names the other one as the leader.
func TestMembersAreCalledOnce(t *testing.T) {
	members := []string{"a", "b", "c"}
	q := leader.NewQueue(members)
	q.PushFront("b")
	hints := map[string]string{"b": "d", "d": "b", "a": "d", "c": "a"}
	called := ""
	for {
		m, ok := q.Next()
		if !ok {
			break
		}
		called += m
		q.PushFront(hints[m])
		if len(called) > 10 {
			break
		}
	}
	// d is only named by a hint, and c is in the list but named by no hint.
	if called != "bdac" {
		t.Errorf("called members %q, want bdac", called)
	}
	if fmt.Sprint(members) != "[a b c]" {
		t.Errorf("list of the caller after the round: got %v, want [a b c]", members)
	}
}

// TestFromError guards against errors without a valid leader address that are
// taken for a hint.
func TestFromError(t *testing.T) {
	refused := func(hint string) error {
		err := connect.NewError(connect.CodeUnavailable, nil)
		err.Meta().Set(headers.Leader, hint)
		return fmt.Errorf("status: %w", err)
	}
	if got, want := leader.FromError(refused("127.0.0.1:80")), netip.MustParseAddrPort("127.0.0.1:80"); got != want {
		t.Errorf("got %v, want %v", got, want)
	}
	for _, err := range []error{refused(""), refused("somewhere:80"), fmt.Errorf("127.0.0.1:80"), nil} {
		if got := leader.FromError(err); got.IsValid() {
			t.Errorf("error %v: got address %v, want an invalid one", err, got)
		}
	}
}
