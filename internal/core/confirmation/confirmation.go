// Package confirmation records when the platform's store last confirmed a process's view of
// its keys, and which keys each confirmation covers. A check of some keys says nothing about
// the others, not even that they do not exist. A process may adopt the confirmation of another
// one, but only if it holds exactly the keys and revisions that this one covers.
//
// All times are times since the machine booted. One lock guards a record; it is held for map
// operations only.
package confirmation

import (
	"strings"
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
	// refutation is that of the view, or zero if the view has been confirmed or has changed since.
	refutation Refutation
	// refutedBy is the time at which the newest check of refutation began.
	refutedBy time.Duration
	// checked holds the keys that checks cover.
	checked map[string]checkedKey
}

// checkedKey is the state of a key that checks cover.
type checkedKey struct {
	// revision is that of the key in the view, or zero if the key is absent.
	revision int64
	// since is when this process's checks began to cover the key.
	since time.Duration
	// at is the time of the newest check that covered the key, or zero if none did.
	at time.Duration
}

// SetChecked sets the keys that checks cover from now on, with their revisions in the view; keys
// that are checked to be absent have revision zero. Keys that were covered before keep the time
// since when they are.
func (r *Record) SetChecked(revisions map[string]int64, now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	next := make(map[string]checkedKey, len(revisions))
	for k, revision := range revisions {
		c, ok := r.checked[k]
		if !ok {
			c.since = now
		}
		if c.revision != revision {
			r.refutation = Refutation{}
		}
		c.revision = revision
		next[k] = c
	}
	r.checked = next
}

// Check records that all covered keys were as in the view at a time, which is the start of
// the call that checked them.
func (r *Record) Check(at time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.confirm(at, func(c checkedKey) bool { return c.since <= at })
}

// confirm records a check of the covered keys that are selected. The caller holds mu.
func (r *Record) confirm(at time.Duration, selected func(checkedKey) bool) {
	for k, c := range r.checked {
		if selected(c) {
			c.at = max(c.at, at)
			r.checked[k] = c
		}
	}
	r.checkedAt = max(r.checkedAt, at)
	r.confirmed()
}

// confirmed records that one of the times of the newest confirmations has changed. The caller holds mu.
func (r *Record) confirmed() {
	newest := max(r.checkedAt, r.listedAt)
	r.newest.Store(int64(newest))
	if r.refutedBy <= newest {
		r.refutation = Refutation{}
	}
}

// Refutation says when checks found another revision of a covered key than that of the view.
type Refutation struct {
	// First and Last are the times at which the first and the newest of these checks ended.
	First, Last time.Duration
}

// Refute records that a check, which began at a time and ended now, found another revision of a covered key than
// that of the view.
func (r *Record) Refute(began, now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if began <= max(r.checkedAt, r.listedAt) {
		return
	}
	if r.refutation == (Refutation{}) {
		r.refutation.First = now
	}
	r.refutation.Last, r.refutedBy = now, max(r.refutedBy, began)
}

// Refuted returns the refutation of the view, or false if the view has been confirmed or has changed since.
func (r *Record) Refuted() (Refutation, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.refutation, r.refutation != Refutation{}
}

// List records that a listing of all keys, which began at a time, is part of the view.
func (r *Record) List(at time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listedAt = max(r.listedAt, at)
	r.confirmed()
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
	at := max(r.listedAt, r.checked[key].at)
	return at, at > 0
}

// Coverage is the newest confirmation of a view and the keys that it covers.
type Coverage struct {
	At   time.Duration
	Keys []string
}

// Coverage returns the newest confirmation and the keys under a prefix that it covers, or false
// if there is none.
func (r *Record) Coverage(prefix string) (Coverage, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := Coverage{At: max(r.checkedAt, r.listedAt)}
	for k, key := range r.checked {
		if strings.HasPrefix(k, prefix) && max(r.listedAt, key.at) == c.At {
			c.Keys = append(c.Keys, k)
		}
	}
	return c, c.At > 0
}

// Statement is a confirmation that another process passes on: at a time, no key of a view was
// newer in the store.
type Statement struct {
	At   time.Duration
	View Digest
}

// Adopt adopts the confirmation of another process if this one covers the same keys and has them
// at the same revisions, and reports whether it does. It then holds for all these keys, however
// short this process has covered them.
func (r *Record) Adopt(s Statement) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	revisions := make(map[string]int64, len(r.checked))
	for k, c := range r.checked {
		revisions[k] = c.revision
	}
	if s.View == 0 || s.View != DigestOf(revisions) {
		return false
	}
	r.confirm(s.At, func(checkedKey) bool { return true })
	return true
}
