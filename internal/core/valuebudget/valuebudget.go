// Package valuebudget decides which values of a listing of the platform's store are kept within a limit of memory.
package valuebudget

import "container/heap"

// Budget bounds the keys and values of one listing in bytes. If they exceed the limit, the longest values are given
// up: registrations take some hundred bytes each, while another writer of the same prefix may have stored values
// of any length, which must not make the whole listing fail. It is not safe for concurrent use.
type Budget struct {
	limit, used int
	values      byLength
}

// New returns the budget of a listing with a limit in bytes.
func New(limit int) *Budget { return &Budget{limit: limit} }

// Add records an item by its index in the listing and the lengths of its key and value, and returns the indices of
// the items whose values have to be given up. Keys are always kept.
func (b *Budget) Add(index, keyBytes, valueBytes int) (givenUp []int) {
	b.used += keyBytes + valueBytes
	if valueBytes > 0 {
		heap.Push(&b.values, value{index, valueBytes})
	}
	for b.Exceeded() && len(b.values) > 0 {
		longest := heap.Pop(&b.values).(value)
		b.used -= longest.bytes
		givenUp = append(givenUp, longest.index)
	}
	return givenUp
}

// Exceeded reports whether the keys alone are above the limit.
func (b *Budget) Exceeded() bool { return b.used > b.limit }

type value struct{ index, bytes int }

// byLength is a heap with the longest value first, and the last one of equally long ones.
type byLength []value

func (h byLength) Len() int { return len(h) }

func (h byLength) Less(i, j int) bool {
	if h[i].bytes != h[j].bytes {
		return h[i].bytes > h[j].bytes
	}
	return h[i].index > h[j].index
}

func (h byLength) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *byLength) Push(x any)   { *h = append(*h, x.(value)) }

func (h *byLength) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
