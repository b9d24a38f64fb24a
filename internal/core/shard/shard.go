// Package shard provides a map whose entries are spread over shards, each with
// its own lock. It is the usual container for keyed state that several
// goroutines share.
//
// No method holds the locks of two shards at once. Callbacks run under the lock
// of one shard, so they must not block, do I/O, or call methods of the same
// map.
package shard

import (
	"hash/maphash"
	"sync"
)

// DefaultShards is the number of shards used if New gets no positive number. It
// is a small multiple of the cores of an entry VM, so that two cores rarely
// contend for a lock.
const DefaultShards = 32

// Map is a sharded map. Create one with New.
type Map[K comparable, V any] struct {
	seed   maphash.Seed
	shards []lockedMap[K, V]
}

type lockedMap[K comparable, V any] struct {
	mu      sync.Mutex
	entries map[K]V
}

// New returns a map with n shards, or DefaultShards if n is not positive.
func New[K comparable, V any](n int) *Map[K, V] {
	if n <= 0 {
		n = DefaultShards
	}
	m := &Map[K, V]{seed: maphash.MakeSeed(), shards: make([]lockedMap[K, V], n)}
	for i := range m.shards {
		m.shards[i].entries = make(map[K]V)
	}
	return m
}

func (m *Map[K, V]) shardOf(k K) *lockedMap[K, V] {
	h := maphash.Comparable(m.seed, k)
	return &m.shards[h%uint64(len(m.shards))]
}

// Get returns the value of k and whether k is present.
func (m *Map[K, V]) Get(k K) (V, bool) {
	sh := m.shardOf(k)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	v, ok := sh.entries[k]
	return v, ok
}

// Put sets the value of k.
func (m *Map[K, V]) Put(k K, v V) {
	sh := m.shardOf(k)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.entries[k] = v
}

// Delete removes k and reports whether it was present.
func (m *Map[K, V]) Delete(k K) bool {
	sh := m.shardOf(k)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	_, ok := sh.entries[k]
	delete(sh.entries, k)
	return ok
}

// Update calls f with the current value of k under the lock of the shard. If
// keep is true, next replaces the value; otherwise k is removed.
func (m *Map[K, V]) Update(k K, f func(v V, ok bool) (next V, keep bool)) {
	sh := m.shardOf(k)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	v, ok := sh.entries[k]
	next, keep := f(v, ok)
	if keep {
		sh.entries[k] = next
		return
	}
	delete(sh.entries, k)
}

// Range calls f for each entry, one shard at a time, until f returns false. It
// is not a snapshot: entries of shards not yet visited may change meanwhile.
func (m *Map[K, V]) Range(f func(k K, v V) bool) {
	for i := range m.shards {
		if !m.shards[i].rangeLocked(f) {
			return
		}
	}
}

func (sh *lockedMap[K, V]) rangeLocked(f func(k K, v V) bool) bool {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	for k, v := range sh.entries {
		if !f(k, v) {
			return false
		}
	}
	return true
}

// Len returns the number of entries. Shards are counted one after the other.
func (m *Map[K, V]) Len() int {
	n := 0
	for i := range m.shards {
		m.shards[i].mu.Lock()
		n += len(m.shards[i].entries)
		m.shards[i].mu.Unlock()
	}
	return n
}
