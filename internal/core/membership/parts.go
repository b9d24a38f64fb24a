package membership

import "sync/atomic"

const (
	// Groups and Leaves divide a table. A member belongs to the group of its
	// failure domain and, by its id, to a leaf of it. At 2,790 members in 14
	// failure domains a leaf holds about ten.
	Groups = 16
	Leaves = 32
)

// leafOf returns the leaf of a record, counted over all groups.
func leafOf[P any](r *Record[P]) int {
	return int(hash(string(r.Domain))%Groups)*Leaves + int(hash(r.ID)%Leaves)
}

// parts holds the sum of the hashes of the records of each leaf. A record is
// added and removed under the lock of its shard; the sums are atomic, so that
// a digest needs no lock.
type parts struct {
	leaf [Groups * Leaves]atomic.Uint64
}

// stamp is the contribution of a record to a digest. Dead members do not
// count, since each process forgets them at its own time.
func stamp[P any](r *Record[P]) uint64 {
	if r.State == Dead {
		return 0
	}
	h := hash(r.ID)
	h = mix(h ^ r.Incarnation)
	h = mix(h ^ r.Version)
	return mix(h ^ uint64(r.State))
}

// fold makes 32 bits of a sum; zero only for an empty part.
func fold(sum uint64) uint32 {
	if sum == 0 {
		return 0
	}
	return max(1, uint32(mix(sum)))
}

// Digest identifies the contents of the table. Tables with the same records
// have the same digest, whatever the order in which they received them.
func (t *Table[P]) Digest() uint64 {
	var sum uint64
	for i := range t.parts.leaf {
		sum += t.parts.leaf[i].Load()
	}
	return sum
}

// GroupDigests returns the digest of each group, zero for an empty one.
func (t *Table[P]) GroupDigests() []uint32 {
	out := make([]uint32, Groups)
	for g := range out {
		var sum uint64
		for i := range Leaves {
			sum += t.parts.leaf[g*Leaves+i].Load()
		}
		out[g] = fold(sum)
	}
	return out
}

// LeafDigests returns the digest of each leaf of a group.
func (t *Table[P]) LeafDigests(group int) []uint32 {
	out := make([]uint32, Leaves)
	for i := range out {
		out[i] = fold(t.parts.leaf[group*Leaves+i].Load())
	}
	return out
}

// update is shard.Map.Update that keeps the digests. All changes of the table
// go through it.
func (t *Table[P]) update(id string, f func(e entry[P], ok bool) (entry[P], bool)) {
	t.m.Update(id, func(e entry[P], ok bool) (entry[P], bool) {
		old, had := e.rec, ok
		next, keep := f(e, ok)
		if had && keep && old.Incarnation == next.rec.Incarnation && old.Version == next.rec.Version &&
			old.State == next.rec.State && old.Domain == next.rec.Domain {
			return next, keep
		}
		if had {
			t.parts.leaf[leafOf(&old)].Add(-stamp(&old))
		}
		if keep {
			t.parts.leaf[leafOf(&next.rec)].Add(stamp(&next.rec))
		}
		return next, keep
	})
}
