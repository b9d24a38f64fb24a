// Package confirmation records when the platform's store last confirmed a process's view of
// its keys, and which keys each confirmation covers. A check of some keys says nothing about
// the others, not even that they do not exist.
//
// All times are times since the machine booted. One lock guards a record; it is held for map
// operations only.
package confirmation

import (
	"sync"
	"sync/atomic"
	"time"
)

// Record holds the confirmations of one view. The zero value has none.
type Record struct {
	// newest is the time of the newest confirmation in nanoseconds, or zero.
	newest atomic.Int64

	mu sync.Mutex // guards the fields below
	// listedAt and checkedAt are the times of the newest confirmations of each kind.
	listedAt, checkedAt time.Duration
	// checkedSince maps each key that checks cover to the time since when they do.
	checkedSince map[string]time.Duration
}

// SetChecked sets the keys that checks cover from now on, among them keys that are checked
// to be absent. Keys that were covered before keep the time since when they are.
func (r *Record) SetChecked(keys []string, now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	next := make(map[string]time.Duration, len(keys))
	for _, k := range keys {
		next[k] = now
		if since, ok := r.checkedSince[k]; ok {
			next[k] = since
		}
	}
	r.checkedSince = next
}

// Check records that all covered keys were as in the view at a time, which is the start of
// the call that checked them.
func (r *Record) Check(at time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.checkedAt = max(r.checkedAt, at)
	r.newest.Store(int64(max(r.checkedAt, r.listedAt)))
}

// List records that a listing of all keys, which began at a time, is part of the view.
func (r *Record) List(at time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listedAt = max(r.listedAt, at)
	r.newest.Store(int64(max(r.checkedAt, r.listedAt)))
}

// Newest returns the time of the newest confirmation of the covered keys, or false if there
// is none.
func (r *Record) Newest() (time.Duration, bool) {
	at := r.newest.Load()
	return time.Duration(at), at > 0
}

// NewestOf returns the time of the newest confirmation that covers a key, or false if there
// is none. A change of the key that is not in the view was made after it.
func (r *Record) NewestOf(key string) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := r.listedAt
	// A check that another process passes on may be older than the coverage of the key.
	if since, ok := r.checkedSince[key]; ok && since <= r.checkedAt {
		at = max(at, r.checkedAt)
	}
	return at, at > 0
}
