package confirmation

import (
	"crypto/sha256"
	"encoding/binary"
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
		b = binary.BigEndian.AppendUint32(b, uint32(len(k)))
		b = append(b, k...)
		b = binary.BigEndian.AppendUint64(b, uint64(revisions[k]))
	}
	sum := sha256.Sum256(b)
	return Digest(max(1, binary.BigEndian.Uint64(sum[:])))
}
