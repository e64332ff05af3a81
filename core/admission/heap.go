package admission

import "container/heap"

// indexedHeap is a binary heap from which any item can be removed by its index.
// The callbacks less and moved must be set. moved is called with the new index
// of an item, -1 when it has left the heap.
type indexedHeap[T any] struct {
	items []T
	less  func(a, b T) bool
	moved func(item T, index int)
}

func (h *indexedHeap[T]) push(item T)      { heap.Push((*heapItems[T])(h), item) }
func (h *indexedHeap[T]) remove(index int) { heap.Remove((*heapItems[T])(h), index) }
func (h *indexedHeap[T]) fix(index int)    { heap.Fix((*heapItems[T])(h), index) }

func (h *indexedHeap[T]) top() (item T, ok bool) {
	if len(h.items) == 0 {
		return item, false
	}
	return h.items[0], true
}

// heapItems implements heap.Interface on an indexedHeap.
type heapItems[T any] indexedHeap[T]

// Len implements heap.Interface.
func (h *heapItems[T]) Len() int { return len(h.items) }

// Less implements heap.Interface.
func (h *heapItems[T]) Less(i, j int) bool { return h.less(h.items[i], h.items[j]) }

// Swap implements heap.Interface.
func (h *heapItems[T]) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.moved(h.items[i], i)
	h.moved(h.items[j], j)
}

// Push implements heap.Interface.
func (h *heapItems[T]) Push(x any) {
	item := x.(T)
	h.moved(item, len(h.items))
	h.items = append(h.items, item)
}

// Pop implements heap.Interface.
func (h *heapItems[T]) Pop() any {
	last := len(h.items) - 1
	item := h.items[last]
	var zero T
	h.items[last] = zero
	h.items = h.items[:last]
	h.moved(item, -1)
	return item
}
