package scheduler

import "container/heap"

// node is an element that knows its own place in a heap.
type node[T any] interface {
	before(other T) bool
	moved(index int)
}

// ordered is a binary heap of nodes, the first in order on top.
type ordered[T node[T]] struct{ nodes []T }

func (o *ordered[T]) Len() int           { return len(o.nodes) }
func (o *ordered[T]) Less(i, j int) bool { return o.nodes[i].before(o.nodes[j]) }

func (o *ordered[T]) Swap(i, j int) {
	o.nodes[i], o.nodes[j] = o.nodes[j], o.nodes[i]
	o.nodes[i].moved(i)
	o.nodes[j].moved(j)
}

func (o *ordered[T]) Push(x any) {
	n, _ := x.(T)
	n.moved(len(o.nodes))
	o.nodes = append(o.nodes, n)
}

func (o *ordered[T]) Pop() any {
	last := len(o.nodes) - 1
	n := o.nodes[last]
	var none T
	o.nodes[last] = none
	o.nodes = o.nodes[:last]
	n.moved(-1)
	return n
}

func (o *ordered[T]) add(n T)           { heap.Push(o, n) }
func (o *ordered[T]) top() T            { return o.nodes[0] }
func (o *ordered[T]) removeAt(i int)    { heap.Remove(o, i) }
func (o *ordered[T]) reorderAt(i int)   { heap.Fix(o, i) }
func (i *Item) before(other *Item) bool { return i.key < other.key }
func (i *Item) moved(index int)         { i.index = index }
