package scheduler

import "container/heap"

// node is an element of an indexedHeap. The heap calls setIndex whenever the
// element's index changes; -1 means that the element was removed.
type node[T any] interface {
	before(other T) bool
	setIndex(index int)
}

// indexedHeap is a binary heap whose nodes know their index, so that any node can
// be removed or reordered in logarithmic time. The first node in order is on top.
type indexedHeap[T node[T]] struct{ nodes []T }

func (h *indexedHeap[T]) Len() int           { return len(h.nodes) }
func (h *indexedHeap[T]) Less(i, j int) bool { return h.nodes[i].before(h.nodes[j]) }

func (h *indexedHeap[T]) Swap(i, j int) {
	h.nodes[i], h.nodes[j] = h.nodes[j], h.nodes[i]
	h.nodes[i].setIndex(i)
	h.nodes[j].setIndex(j)
}

func (h *indexedHeap[T]) Push(x any) {
	n, _ := x.(T)
	n.setIndex(len(h.nodes))
	h.nodes = append(h.nodes, n)
}

func (h *indexedHeap[T]) Pop() any {
	last := len(h.nodes) - 1
	n := h.nodes[last]
	var zero T
	h.nodes[last] = zero
	h.nodes = h.nodes[:last]
	n.setIndex(-1)
	return n
}

func (h *indexedHeap[T]) add(n T)         { heap.Push(h, n) }
func (h *indexedHeap[T]) top() T          { return h.nodes[0] }
func (h *indexedHeap[T]) removeAt(i int)  { heap.Remove(h, i) }
func (h *indexedHeap[T]) reorderAt(i int) { heap.Fix(h, i) }
func (i *Item) before(other *Item) bool   { return i.key < other.key }
func (i *Item) setIndex(index int)        { i.index = index }
