// Package indexheap implements a binary min-heap whose items know their own positions.
package indexheap

// Item is an element that knows its own position, so that it can be removed or moved in O(log
// n) without a search.
type Item[T any] interface {
	// Before reports whether the item sorts before other.
	Before(other T) bool
	// SetPos sets the item's position, or Absent if it is no longer in the heap.
	SetPos(pos int)
}

// Absent is the position of an item outside its heap.
const Absent = -1

// Heap is a binary min-heap; its zero value is empty and ready to use. Unlike container/heap it
// boxes no items, so pushing and popping does not allocate once the slice has grown.
type Heap[T Item[T]] struct {
	items []T
}

// Len returns the number of items.
func (h *Heap[T]) Len() int { return len(h.items) }

// First returns the minimum item. The heap must not be empty.
func (h *Heap[T]) First() T { return h.items[0] }

// Push adds an item.
func (h *Heap[T]) Push(item T) {
	h.items = append(h.items, item)
	item.SetPos(len(h.items) - 1)
	h.up(len(h.items) - 1)
}

// Remove removes the item at a position.
func (h *Heap[T]) Remove(pos int) {
	last := len(h.items) - 1
	removed := h.items[pos]
	h.swap(pos, last)
	var zero T
	h.items[last] = zero
	h.items = h.items[:last]
	removed.SetPos(Absent)
	if pos < last {
		h.Fix(pos)
	}
}

// Fix restores the heap order after the order of the item at a position has changed.
func (h *Heap[T]) Fix(pos int) {
	if !h.down(pos) {
		h.up(pos)
	}
}

func (h *Heap[T]) swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.items[i].SetPos(i)
	h.items[j].SetPos(j)
}

func (h *Heap[T]) up(pos int) {
	for pos > 0 {
		parent := (pos - 1) / 2
		if !h.items[pos].Before(h.items[parent]) {
			return
		}
		h.swap(pos, parent)
		pos = parent
	}
}

func (h *Heap[T]) down(pos int) bool {
	start := pos
	for {
		child := 2*pos + 1
		if child >= len(h.items) {
			break
		}
		if right := child + 1; right < len(h.items) && h.items[right].Before(h.items[child]) {
			child = right
		}
		if !h.items[child].Before(h.items[pos]) {
			break
		}
		h.swap(pos, child)
		pos = child
	}
	return pos > start
}
