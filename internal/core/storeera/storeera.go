// Package storeera orders the revisions of a store that may be restored from an older copy. Its
// revisions go back then and are given out again, while its era rises. A stamped revision is one
// number that holds both: it is higher than all stamped revisions of lower eras, so that
// comparisons of stamped revisions are right across restores. In era 0, which a store without eras
// is in, a stamped revision is the store's own one.
package storeera

const (
	// Max is the highest era.
	Max = 1<<31 - 1
	// earlyEras is the number of eras with revisions of earlyBits; the others have revisions of
	// lateBits. Both kinds take half of the numbers of an int64. 2^52 revisions are never reached;
	// eras count drills, so that only a faulty store is likely to reach the late ones.
	earlyEras = 1 << 10
	earlyBits = 52
	lateBits  = 31
	lateBase  = earlyEras << earlyBits
)

// Stamp returns the stamped revision. Both numbers are limited to their ranges: one beyond them is
// never meant. In era 0, negative revisions stay as they are.
func Stamp(era, revision int64) int64 {
	era = min(era, Max)
	switch {
	case era <= 0:
		return min(revision, 1<<earlyBits-1)
	case era < earlyEras:
		return era<<earlyBits | min(max(revision, 0), 1<<earlyBits-1)
	default:
		return lateBase + (era-earlyEras)<<lateBits | min(max(revision, 0), 1<<lateBits-1)
	}
}

// Split returns the era and the store's revision of a stamped one. Negative numbers, which stand
// for positions before all revisions, are in era 0.
func Split(stamped int64) (era, revision int64) {
	switch {
	case stamped < 0:
		return 0, stamped
	case stamped < lateBase:
		return stamped >> earlyBits, stamped & (1<<earlyBits - 1)
	default:
		stamped -= lateBase
		return earlyEras + stamped>>lateBits, stamped & (1<<lateBits - 1)
	}
}

// Era returns the era of a stamped revision.
func Era(stamped int64) int64 {
	era, _ := Split(stamped)
	return era
}
