package storeera

import "time"

// HoldTime is how long an item stays that the first listing of a new era lacks. Operators and targets
// write their items again after a restore; every process has to be consistent again within 3 s.
const HoldTime = 2500 * time.Millisecond

// Holdover keeps the items of an older era that are missing after a restore of the store, until they were
// missing for HoldTime. It holds all items of a prefix by key. It is not safe for concurrent use. The zero
// value is empty; times passed to its methods are of one clock that is never set.
type Holdover[T any] struct {
	listed bool
	era    int64
	items  map[string]T
	// missing holds the keys of items that the store lacks, which end at until.
	missing map[string]bool
	until   time.Duration
}

// Era returns the highest era of a listing.
func (h *Holdover[T]) Era() int64 { return h.era }

// List records a listing at a stamped revision, and returns the items that it lacks and that stay. rose
// is set for the first listing of a higher era than that of an earlier one.
func (h *Holdover[T]) List(items map[string]T, at int64, now time.Duration) (kept map[string]T, rose bool) {
	rose = h.listed && Era(at) > h.era
	kept = map[string]T{}
	for k, it := range h.items {
		_, exists := items[k]
		if !exists && (rose || h.missing[k] && now < h.until) {
			kept[k] = it
		}
	}
	h.listed, h.era = true, max(h.era, Era(at))
	h.items, h.missing = make(map[string]T, len(items)), map[string]bool{}
	for k, it := range items {
		h.items[k] = it
	}
	for k, it := range kept {
		h.items[k], h.missing[k] = it, true
	}
	if rose {
		h.until = now + HoldTime
	}
	return kept, rose
}

// Set records a written item.
func (h *Holdover[T]) Set(key string, item T) {
	h.items[key] = item
	delete(h.missing, key)
}

// Remove records a removed item.
func (h *Holdover[T]) Remove(key string) {
	delete(h.items, key)
	delete(h.missing, key)
}

// Postpone starts HoldTime anew: the store fails, so that missing items can't be written again.
func (h *Holdover[T]) Postpone(now time.Duration) { h.until = now + HoldTime }

// Left returns the time for which missing items stay, or false if none is missing.
func (h *Holdover[T]) Left(now time.Duration) (time.Duration, bool) {
	return max(0, h.until-now), len(h.missing) > 0
}

// End removes the missing items whose time is over and returns their keys.
func (h *Holdover[T]) End(now time.Duration) []string {
	if now < h.until {
		return nil
	}
	var out []string
	for k := range h.missing {
		out = append(out, k)
		delete(h.items, k)
	}
	h.missing = map[string]bool{}
	return out
}
