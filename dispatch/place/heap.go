package place

// heapItem is an element that knows its own position, so that it can be removed
// or moved in O(log n) without a search.
type heapItem[T any] interface {
	before(other T) bool
	setPos(pos int)
}

// absent is the position of an item outside its heap.
const absent = -1

// indexedHeap is a binary min-heap. Unlike container/heap it boxes nothing, so
// that pushing and popping does not allocate once the slice has grown.
type indexedHeap[T heapItem[T]] struct {
	items []T
}

func (h *indexedHeap[T]) len() int { return len(h.items) }

func (h *indexedHeap[T]) push(item T) {
	h.items = append(h.items, item)
	item.setPos(len(h.items) - 1)
	h.up(len(h.items) - 1)
}

func (h *indexedHeap[T]) remove(pos int) {
	last := len(h.items) - 1
	removed := h.items[pos]
	h.swap(pos, last)
	var zero T
	h.items[last] = zero
	h.items = h.items[:last]
	removed.setPos(absent)
	if pos < last {
		h.fix(pos)
	}
}

func (h *indexedHeap[T]) fix(pos int) {
	if !h.down(pos) {
		h.up(pos)
	}
}

func (h *indexedHeap[T]) swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.items[i].setPos(i)
	h.items[j].setPos(j)
}

func (h *indexedHeap[T]) up(pos int) {
	for pos > 0 {
		parent := (pos - 1) / 2
		if !h.items[pos].before(h.items[parent]) {
			return
		}
		h.swap(pos, parent)
		pos = parent
	}
}

func (h *indexedHeap[T]) down(pos int) bool {
	start := pos
	for {
		child := 2*pos + 1
		if child >= len(h.items) {
			break
		}
		if right := child + 1; right < len(h.items) && h.items[right].before(h.items[child]) {
			child = right
		}
		if !h.items[child].before(h.items[pos]) {
			break
		}
		h.swap(pos, child)
		pos = child
	}
	return pos > start
}
