package chunked

import (
	"slices"
	"testing"
)

// TestAppendMovesNothing guards against appends that copy earlier elements,
// which blocks every goroutine that waits for the lock of the list's owner, and
// against elements that are lost where one chunk ends and the next begins.
func TestAppendMovesNothing(t *testing.T) {
	var l List[int]
	var first *int
	var want []int
	for i := range 3*chunkLength + 1 {
		l.Append(i)
		want = append(want, i)
		if i == 0 {
			first = &l.chunks[0][0]
		}
	}
	if first != &l.chunks[0][0] {
		t.Error("the first element was moved to another address, want the same address")
	}
	if l.Len() != len(want) || !slices.Equal(l.Slice(), want) {
		t.Errorf("got %d elements, want %d in the order of the appends", l.Len(), len(want))
	}
}
