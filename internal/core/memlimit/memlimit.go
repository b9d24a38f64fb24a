// Package memlimit bounds the memory that all requests of a process hold together.
package memlimit

import "sync/atomic"

// Budget is a number of bytes that requests reserve and release. It is safe for
// concurrent use.
type Budget struct {
	limit int64
	used  atomic.Int64
}

// New returns a budget of limit bytes.
func New(limit int64) *Budget { return &Budget{limit: limit} }

// TryReserve reserves n bytes. It returns false, and reserves nothing, if fewer are left.
func (b *Budget) TryReserve(n int64) bool {
	if b.used.Add(n) <= b.limit {
		return true
	}
	b.used.Add(-n)
	return false
}

// Release returns n reserved bytes.
func (b *Budget) Release(n int64) { b.used.Add(-n) }

// Used returns the number of reserved bytes.
func (b *Budget) Used() int64 { return b.used.Load() }
