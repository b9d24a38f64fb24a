package membership

import (
	"cmp"
	"math/bits"
	"slices"
	"time"
)

// initialSends marks a change that has not been passed on yet; Changed then
// bounds it by the size of the table.
const initialSends = 1 << 20

// sendFactor times one more than the logarithm of the number of members is how often a
// change is passed on. Each process does so, so that nearly all members hear
// of it; the digest finds the rest.
const sendFactor = 1

// Changed returns at most limit records that changed lately, those passed on
// least first, and counts them as passed on once more. The record of the
// process itself is always the first.
func (t *Table[P]) Changed(limit int, now time.Time) []Seen[P] {
	type item struct {
		id    string
		sends int
	}
	var items []item
	t.m.Range(func(id string, e entry[P]) bool {
		if e.sends > 0 && id != t.self {
			items = append(items, item{id, e.sends})
		}
		return true
	})
	slices.SortFunc(items, func(a, b item) int {
		return cmp.Or(cmp.Compare(b.sends, a.sends), cmp.Compare(a.id, b.id))
	})
	self, _ := t.Get(t.self, now)
	out := []Seen[P]{self}
	times := sendFactor * (1 + bits.Len(uint(t.Len())))
	for _, it := range items[:min(len(items), max(0, limit-1))] {
		t.m.Update(it.id, func(e entry[P], ok bool) (entry[P], bool) {
			if ok {
				e.sends = min(e.sends, times) - 1
				out = append(out, t.seen(e, now))
			}
			return e, ok
		})
	}
	return out
}

// Pending reports whether changes wait to be passed on.
func (t *Table[P]) Pending() bool {
	found := false
	t.m.Range(func(id string, e entry[P]) bool {
		found = e.sends > 0 && id != t.self
		return !found
	})
	return found
}

// Digest identifies the contents of the table. Tables with the same records
// have the same digest, whatever the order in which they learnt them. Dead
// members do not count, since each process forgets them at its own time.
func (t *Table[P]) Digest() uint64 {
	var sum uint64
	t.m.Range(func(id string, e entry[P]) bool {
		if e.rec.State != Dead {
			h := hash(id)
			h = mix(h ^ e.rec.Incarnation)
			h = mix(h ^ e.rec.Version)
			sum += mix(h ^ uint64(e.rec.State))
		}
		return true
	})
	return sum
}
