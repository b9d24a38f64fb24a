// Package routing decides where an entry sends a request: which agents it watches
// for their status, which target it tries next, and whether it may retry.
package routing

import (
	"cmp"
	"slices"

	"github.com/masticwing/masticwing/internal/core/fleet"
)

const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// Hash returns a hash of the parts that is the same in every process. Parts are
// delimited, so ("a", "bc") and ("ab", "c") have different hashes.
func Hash(parts ...string) uint64 {
	h := uint64(fnvOffset)
	for _, p := range parts {
		for i := range len(p) {
			h = (h ^ uint64(p[i])) * fnvPrime
		}
		h = (h ^ 0xff) * fnvPrime
	}
	return mix(h)
}

// mix is a finalizer for FNV hashes, whose high bits depend little on the last
// bytes of short inputs.
func mix(h uint64) uint64 {
	h = (h ^ h>>33) * 0xff51afd7ed558ccd
	h = (h ^ h>>33) * 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// RendezvousRank returns the ids in the order of rendezvous hashing for a key.
// Every process computes the same order, and adding or removing an id does not
// change the order of the others.
func RendezvousRank(key uint64, ids []string) []string {
	type scored struct {
		id    string
		score uint64
	}
	s := make([]scored, len(ids))
	for i, id := range ids {
		s[i] = scored{id, score(key, id)}
	}
	slices.SortFunc(s, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.id, b.id))
	})
	out := make([]string, len(s))
	for i := range s {
		out[i] = s[i].id
	}
	return out
}

// score returns the weight of an id for a key in rendezvous hashing.
func score(key uint64, id string) uint64 { return mix(key ^ Hash(id)) }

// LedgerPartitionKey returns the rendezvous key that determines the agent of a
// partition of a service's ledger.
func LedgerPartitionKey(s fleet.Service, partition int) uint64 {
	return mix(Hash("once", string(s)) + uint64(partition))
}
