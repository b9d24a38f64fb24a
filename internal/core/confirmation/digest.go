package confirmation

import (
	"crypto/sha256"
	"maps"
	"slices"
)

// Digest identifies a set of keys and their revisions. Zero identifies none, and is what builds
// state that do not know digests.
type Digest uint64

// DigestOf returns the digest of keys and their revisions; an absent key has revision zero.
// Processes of different builds compare digests, so that its form must not change.
func DigestOf(revisions map[string]int64) Digest {
	var b []byte
	for _, k := range slices.Sorted(maps.Keys(revisions)) {
		b = appendNumber(b, uint64(len(k)), 4)
		b = append(b, k...)
		b = appendNumber(b, uint64(revisions[k]), 8)
	}
	d := Digest(0)
	sum := sha256.Sum256(b)
	for _, x := range sum[:8] {
		d = d<<8 | Digest(x)
	}
	return max(1, d)
}

// appendNumber appends the lowest bytes of a number, the highest one first.
func appendNumber(b []byte, n uint64, bytes int) []byte {
	for i := bytes - 1; i >= 0; i-- {
		b = append(b, byte(n>>(8*i)))
	}
	return b
}
