// Package heap implements a binary heap whose elements know their index.
package heap

// Heap is a binary heap that reports the index of each element, so that any element can be removed.
type Heap[T any] struct {
	// Less orders the elements; the least one is at the top.
	Less func(a, b T) bool
	// Moved is called with the new index of an element, or -1 when it is removed.
	Moved    func(element T, index int)
	elements []T
}

// Len returns the number of elements.
func (h *Heap[T]) Len() int { return len(h.elements) }

// Top returns the least element. The heap must not be empty.
func (h *Heap[T]) Top() T { return h.elements[0] }

// All returns the elements in no particular order. The caller must not change the slice.
func (h *Heap[T]) All() []T { return h.elements }

// Push adds an element.
func (h *Heap[T]) Push(element T) {
	h.elements = append(h.elements, element)
	last := len(h.elements) - 1
	h.Moved(element, last)
	h.up(last)
}

// Remove removes the element at index.
func (h *Heap[T]) Remove(index int) {
	last := len(h.elements) - 1
	h.swap(index, last)
	h.Moved(h.elements[last], -1)
	var zero T
	h.elements[last] = zero
	h.elements = h.elements[:last]
	if index < last {
		h.Fix(index)
	}
}

// Init restores the order after any number of elements changed.
func (h *Heap[T]) Init() {
	for index := len(h.elements)/2 - 1; index >= 0; index-- {
		h.down(index)
	}
}

// Fix restores the order after the element at index changed.
func (h *Heap[T]) Fix(index int) {
	h.down(index)
	h.up(index)
}

func (h *Heap[T]) up(index int) {
	for index > 0 {
		parent := (index - 1) / 2
		if !h.Less(h.elements[index], h.elements[parent]) {
			return
		}
		h.swap(index, parent)
		index = parent
	}
}

func (h *Heap[T]) down(index int) {
	for {
		child := 2*index + 1
		if child >= len(h.elements) {
			return
		}
		if right := child + 1; right < len(h.elements) && h.Less(h.elements[right], h.elements[child]) {
			child = right
		}
		if !h.Less(h.elements[child], h.elements[index]) {
			return
		}
		h.swap(index, child)
		index = child
	}
}

func (h *Heap[T]) swap(i, j int) {
	if i == j {
		return
	}
	h.elements[i], h.elements[j] = h.elements[j], h.elements[i]
	h.Moved(h.elements[i], i)
	h.Moved(h.elements[j], j)
}
