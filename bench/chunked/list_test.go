package chunked

import (
	"slices"
	"testing"
)

// Guards against moving elements, which stops everyone who waits for the lock
// round the list, and against losing elements at the end of a chunk.
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
		t.Error("the first element has moved")
	}
	if l.Len() != len(want) || !slices.Equal(l.Slice(), want) {
		t.Errorf("%d elements of %d, or in another order", l.Len(), len(want))
	}
}
