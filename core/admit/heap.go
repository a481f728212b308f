package admit

import "container/heap"

// indexed is an element that stores its position in a queue.
type indexed interface{ position() *int }

// ordered is a priority queue with removal from any position.
type ordered[T indexed] struct {
	list []T
	less func(a, b T) bool
}

func (o *ordered[T]) Len() int           { return len(o.list) }
func (o *ordered[T]) Less(i, j int) bool { return o.less(o.list[i], o.list[j]) }

func (o *ordered[T]) Swap(i, j int) {
	o.list[i], o.list[j] = o.list[j], o.list[i]
	*o.list[i].position(), *o.list[j].position() = i+1, j+1
}

// Push implements heap.Interface.
func (o *ordered[T]) Push(x any) {
	v := x.(T)
	o.list = append(o.list, v)
	*v.position() = len(o.list)
}

// Pop implements heap.Interface.
func (o *ordered[T]) Pop() any {
	var zero T
	v := o.list[len(o.list)-1]
	o.list[len(o.list)-1] = zero
	o.list = o.list[:len(o.list)-1]
	*v.position() = 0
	return v
}

// put inserts v or restores the order after v changed.
func (o *ordered[T]) put(v T) {
	if p := *v.position(); p > 0 {
		heap.Fix(o, p-1)
		return
	}
	heap.Push(o, v)
}

func (o *ordered[T]) drop(v T) {
	if p := *v.position(); p > 0 {
		heap.Remove(o, p-1)
	}
}
