package queue

// indexedHeap is a binary heap whose elements store their index, so that any
// element can be moved or removed in logarithmic time.
type indexedHeap[T any] struct {
	elems []*T
	less  func(a, b *T) bool
	index func(*T) *int // the field that stores the element's index
}

func (h *indexedHeap[T]) len() int { return len(h.elems) }

// min returns the first element, or nil if the heap is empty.
func (h *indexedHeap[T]) min() *T {
	if len(h.elems) == 0 {
		return nil
	}
	return h.elems[0]
}

func (h *indexedHeap[T]) push(e *T) {
	h.elems = append(h.elems, e)
	*h.index(e) = len(h.elems) - 1
	h.up(len(h.elems) - 1)
}

func (h *indexedHeap[T]) remove(e *T) {
	i := *h.index(e)
	last := len(h.elems) - 1
	h.swap(i, last)
	h.elems[last] = nil
	h.elems = h.elems[:last]
	*h.index(e) = -1
	if i < last {
		h.fix(h.elems[i])
	}
}

// fix restores the heap order after e's key has changed.
func (h *indexedHeap[T]) fix(e *T) {
	i := *h.index(e)
	if !h.down(i) {
		h.up(i)
	}
}

func (h *indexedHeap[T]) swap(i, j int) {
	h.elems[i], h.elems[j] = h.elems[j], h.elems[i]
	*h.index(h.elems[i]) = i
	*h.index(h.elems[j]) = j
}

func (h *indexedHeap[T]) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(h.elems[i], h.elems[parent]) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

func (h *indexedHeap[T]) down(i int) bool {
	start := i
	for {
		child := 2*i + 1
		if child >= len(h.elems) {
			break
		}
		if right := child + 1; right < len(h.elems) && h.less(h.elems[right], h.elems[child]) {
			child = right
		}
		if !h.less(h.elems[child], h.elems[i]) {
			break
		}
		h.swap(i, child)
		i = child
	}
	return i > start
}
