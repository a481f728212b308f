package admit

import "container/heap"

// heapElement is an element that stores its position in a heap. Position 0 means
// that it is in none; the first element has position 1.
type heapElement interface{ position() *int }

// indexedHeap is a binary heap that supports removal of any element.
type indexedHeap[T heapElement] struct {
	elements []T
	less     func(a, b T) bool
}

func (h *indexedHeap[T]) Len() int           { return len(h.elements) }
func (h *indexedHeap[T]) Less(i, j int) bool { return h.less(h.elements[i], h.elements[j]) }

func (h *indexedHeap[T]) Swap(i, j int) {
	h.elements[i], h.elements[j] = h.elements[j], h.elements[i]
	*h.elements[i].position(), *h.elements[j].position() = i+1, j+1
}

// Push implements heap.Interface.
func (h *indexedHeap[T]) Push(x any) {
	v := x.(T)
	h.elements = append(h.elements, v)
	*v.position() = len(h.elements)
}

// Pop implements heap.Interface.
func (h *indexedHeap[T]) Pop() any {
	var zero T
	v := h.elements[len(h.elements)-1]
	h.elements[len(h.elements)-1] = zero
	h.elements = h.elements[:len(h.elements)-1]
	*v.position() = 0
	return v
}

// put inserts v, or restores the heap order if v is present and has changed.
func (h *indexedHeap[T]) put(v T) {
	if p := *v.position(); p > 0 {
		heap.Fix(h, p-1)
		return
	}
	heap.Push(h, v)
}

func (h *indexedHeap[T]) remove(v T) {
	if p := *v.position(); p > 0 {
		heap.Remove(h, p-1)
	}
}
