// Package shard provides a map whose entries are spread over shards, each
// under its own lock. It is the only container for state that several
// goroutines share.
//
// No method holds more than one shard lock at a time. Callbacks run while the
// lock of one shard is held, so they must not block, do I/O, or call the same
// map again.
package shard

import (
	"hash/maphash"
	"sync"
)

// DefaultShards is the number of shards used when New is given zero. It is a
// small multiple of the cores of an entry VM, so that two cores rarely meet
// on one lock.
const DefaultShards = 32

// Map is a sharded map. Create one with New.
type Map[K comparable, V any] struct {
	seed   maphash.Seed
	shards []bucket[K, V]
}

type bucket[K comparable, V any] struct {
	mu sync.Mutex
	m  map[K]V
}

// New returns a map with n shards, or DefaultShards if n is not positive.
func New[K comparable, V any](n int) *Map[K, V] {
	if n <= 0 {
		n = DefaultShards
	}
	s := &Map[K, V]{seed: maphash.MakeSeed(), shards: make([]bucket[K, V], n)}
	for i := range s.shards {
		s.shards[i].m = make(map[K]V)
	}
	return s
}

func (s *Map[K, V]) bucket(k K) *bucket[K, V] {
	h := maphash.Comparable(s.seed, k)
	return &s.shards[h%uint64(len(s.shards))]
}

// Get returns the value of k and whether it is present.
func (s *Map[K, V]) Get(k K) (V, bool) {
	b := s.bucket(k)
	b.mu.Lock()
	defer b.mu.Unlock()
	v, ok := b.m[k]
	return v, ok
}

// Put sets the value of k.
func (s *Map[K, V]) Put(k K, v V) {
	b := s.bucket(k)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.m[k] = v
}

// Delete removes k and reports whether it was present.
func (s *Map[K, V]) Delete(k K) bool {
	b := s.bucket(k)
	b.mu.Lock()
	defer b.mu.Unlock()
	_, ok := b.m[k]
	delete(b.m, k)
	return ok
}

// Update calls f with the current value of k while the lock of its shard is
// held. The result replaces the value if keep is true; otherwise k is removed.
func (s *Map[K, V]) Update(k K, f func(v V, ok bool) (next V, keep bool)) {
	b := s.bucket(k)
	b.mu.Lock()
	defer b.mu.Unlock()
	v, ok := b.m[k]
	next, keep := f(v, ok)
	if keep {
		b.m[k] = next
		return
	}
	delete(b.m, k)
}

// Range calls f for each entry, one shard at a time, until f returns false.
// It is not a snapshot: entries of shards not yet visited may change.
func (s *Map[K, V]) Range(f func(k K, v V) bool) {
	for i := range s.shards {
		if !s.shards[i].rangeLocked(f) {
			return
		}
	}
}

func (b *bucket[K, V]) rangeLocked(f func(k K, v V) bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for k, v := range b.m {
		if !f(k, v) {
			return false
		}
	}
	return true
}

// Len returns the number of entries, summed over the shards one at a time.
func (s *Map[K, V]) Len() int {
	n := 0
	for i := range s.shards {
		s.shards[i].mu.Lock()
		n += len(s.shards[i].m)
		s.shards[i].mu.Unlock()
	}
	return n
}
