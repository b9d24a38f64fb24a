package membership

import "sync/atomic"

const (
	// Groups and Leaves divide a table. A member belongs to the group of its
	// failure domain and, by its id, to a leaf of it. At 2,790 members in 14
	// failure domains a leaf holds about ten.
	Groups = 16
	Leaves = 32
)

// leafIndex returns the leaf of a record, counted over all groups.
func leafIndex[P any](r *Record[P]) int {
	return int(stableHash(string(r.Domain))%Groups)*Leaves + int(stableHash(r.ID)%Leaves)
}

// digestTree holds the sum of the hashes of the records of each leaf. A record is
// added and removed under the lock of its shard; the sums are atomic, so that
// a digest needs no lock.
type digestTree struct {
	leafSums [Groups * Leaves]atomic.Uint64
}

// recordHash is the contribution of a record to a digest. Dead members do not
// count, since each process forgets them at its own time.
func recordHash[P any](r *Record[P]) uint64 {
	if r.State == Dead {
		return 0
	}
	h := stableHash(r.ID)
	h = mix(h ^ r.Incarnation)
	h = mix(h ^ r.Version)
	return mix(h ^ uint64(r.State))
}

// truncateSum makes 32 bits of a sum; zero only for an empty part.
func truncateSum(sum uint64) uint32 {
	if sum == 0 {
		return 0
	}
	return max(1, uint32(mix(sum)))
}

// Digest identifies the contents of the table. Tables with the same records
// have the same digest, whatever the order in which they received them.
func (t *Table[P]) Digest() uint64 {
	var sum uint64
	for i := range t.digestTree.leafSums {
		sum += t.digestTree.leafSums[i].Load()
	}
	return sum
}

// GroupDigests returns the digest of each group, zero for an empty one.
func (t *Table[P]) GroupDigests() []uint32 {
	out := make([]uint32, Groups)
	for g := range out {
		var sum uint64
		for i := range Leaves {
			sum += t.digestTree.leafSums[g*Leaves+i].Load()
		}
		out[g] = truncateSum(sum)
	}
	return out
}

// LeafDigests returns the digest of each leaf of a group.
func (t *Table[P]) LeafDigests(group int) []uint32 {
	out := make([]uint32, Leaves)
	for i := range out {
		out[i] = truncateSum(t.digestTree.leafSums[group*Leaves+i].Load())
	}
	return out
}

// update is shard.Map.Update that keeps the digests. All changes of the table
// go through it.
func (t *Table[P]) update(id string, f func(e tableEntry[P], ok bool) (tableEntry[P], bool)) {
	t.m.Update(id, func(e tableEntry[P], ok bool) (tableEntry[P], bool) {
		old, had := e.record, ok
		next, keep := f(e, ok)
		if had && keep && old.Incarnation == next.record.Incarnation && old.Version == next.record.Version &&
			old.State == next.record.State && old.Domain == next.record.Domain {
			return next, keep
		}
		if had {
			t.digestTree.leafSums[leafIndex(&old)].Add(-recordHash(&old))
		}
		if keep {
			t.digestTree.leafSums[leafIndex(&next.record)].Add(recordHash(&next.record))
		}
		return next, keep
	})
}
