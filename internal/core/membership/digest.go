package membership

import "sync/atomic"

const (
	// Groups is the number of groups of a table, Leaves the number of leaves of a
	// group. A hash of the failure domain determines the group of a member, and a
	// hash of its id the leaf. With 2,790 members in 14 failure domains, a leaf
	// contains about ten.
	Groups = 16
	Leaves = 32
)

// leafIndex returns the index of a record's leaf among the leaves of all groups.
func leafIndex[P any](r *Record[P]) int {
	return int(stableHash(string(r.Domain))%Groups)*Leaves + int(stableHash(r.ID)%Leaves)
}

// digestTree holds the sum of the record hashes of each leaf. A record is added and
// removed under the lock of its shard. The sums are atomic, so that computing a
// digest needs no lock.
type digestTree struct {
	leafSums [Groups * Leaves]atomic.Uint64
}

// recordHash is the contribution of a record to a digest. It is zero for dead
// members, since each process forgets them at another time.
func recordHash[P any](r *Record[P]) uint64 {
	if r.State == Dead {
		return 0
	}
	h := stableHash(r.ID)
	h = mix(h ^ r.Incarnation)
	h = mix(h ^ r.Version)
	return mix(h ^ uint64(r.State))
}

// truncateSum reduces a sum to a digest of 32 bits, which is zero only if the sum
// is.
func truncateSum(sum uint64) uint32 {
	if sum == 0 {
		return 0
	}
	return max(1, uint32(mix(sum)))
}

// Digest returns the digest of the whole table. Tables with the same records have
// the same digest, regardless of the order in which they received the records.
func (t *Table[P]) Digest() uint64 {
	var sum uint64
	for i := range t.digestTree.leafSums {
		sum += t.digestTree.leafSums[i].Load()
	}
	return sum
}

// GroupDigests returns the digest of each group, zero for an empty group.
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

// LeafDigests returns the digest of each leaf of a group, zero for an empty leaf.
func (t *Table[P]) LeafDigests(group int) []uint32 {
	out := make([]uint32, Leaves)
	for i := range out {
		out[i] = truncateSum(t.digestTree.leafSums[group*Leaves+i].Load())
	}
	return out
}

// update wraps shard.Map.Update and keeps the digests up to date. Every change of
// the table must use it.
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
