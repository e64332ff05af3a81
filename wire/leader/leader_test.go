package leader_test

import (
	"fmt"
	"net/netip"
	"testing"

	"connectrpc.com/connect"

	"github.com/jujubeknot/jujubeknot/wire/headers"
	"github.com/jujubeknot/jujubeknot/wire/leader"
)

// TestEachMemberIsAskedOnce guards against clients that follow the hints of two
// members, of which each names the other, without end.
func TestEachMemberIsAskedOnce(t *testing.T) {
	members := []string{"a", "b", "c"}
	q := leader.NewQueue(members)
	q.PushFront("b")
	hints := map[string]string{"b": "d", "d": "b", "a": "d", "c": "a"}
	asked := ""
	for {
		m, ok := q.Next()
		if !ok {
			break
		}
		asked += m
		q.PushFront(hints[m])
		if len(asked) > 10 {
			break
		}
	}
	// The member that no hint leads to is named by an empty one.
	if asked != "bdac" {
		t.Errorf("asked %q, want bdac", asked)
	}
	if fmt.Sprint(members) != "[a b c]" {
		t.Errorf("the caller's list became %v", members)
	}
}

// TestNamed guards against answers of others that are taken for hints.
func TestNamed(t *testing.T) {
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
			t.Errorf("%v names %v", err, got)
		}
	}
}
