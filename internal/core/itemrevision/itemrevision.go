// Package itemrevision decides which changes of a store's items are older than what a process
// knows. Changes reach a process in several ways, as events of a watch, in listings and in
// replies to checks, which may overtake each other.
package itemrevision

import "github.com/masticwing/masticwing/internal/core/storeera"

// Table holds the newest known state of each item by key. It is not safe for concurrent use;
// the lock of its owner guards it.
type Table struct {
	states map[string]state
	// listedAt is the highest revision of a listing. Older removals are not kept: an item
	// that is not known and not newer was removed before the listing.
	listedAt int64
}

type state struct {
	// revision is that of the item, or of its removal.
	revision int64
	removed  bool
}

// New returns an empty table.
func New() *Table { return &Table{states: map[string]state{}} }

// Apply records a change of an item and reports whether the known state is not newer.
func (t *Table) Apply(key string, revision int64, removed bool) bool {
	old, ok := t.states[key]
	if ok && revision < old.revision || !ok && revision <= t.listedAt {
		return false
	}
	t.states[key] = state{revision, removed}
	return true
}

// ApplyListing records a listing, which has the revision of each item. at is a revision whose
// changes and earlier ones are part of the listing; the listing may have later ones as well.
// It returns the keys of the items whose known state was not newer, and of the known items that
// have been removed.
func (t *Table) ApplyListing(items map[string]int64, at int64) (current map[string]bool, removed []string) {
	current = map[string]bool{}
	for k, revision := range items {
		current[k] = t.Apply(k, revision, false)
	}
	for k, s := range t.states {
		switch _, listed := items[k]; {
		case s.revision > at:
		case s.removed:
			delete(t.states, k)
		case !listed:
			delete(t.states, k)
			removed = append(removed, k)
		}
	}
	t.listedAt = max(t.listedAt, at)
	return current, removed
}

// Existing returns the revision of each item that exists. It is zero for an item that is kept although the
// store lacks it since it was restored from an older copy.
func (t *Table) Existing() map[string]int64 {
	out := make(map[string]int64, len(t.states))
	for k, s := range t.states {
		switch {
		case s.removed:
		case storeera.Era(s.revision) < storeera.Era(t.listedAt):
			out[k] = 0
		default:
			out[k] = s.revision
		}
	}
	return out
}
