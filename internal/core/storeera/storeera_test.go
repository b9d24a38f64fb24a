package storeera

import (
	"testing"

	"pgregory.net/rapid"
)

// TestStampOrdersByEraThenRevision guards against a revision of an older era that counts as newer,
// and against one that is sent to the store as another one.
func TestStampOrdersByEraThenRevision(t *testing.T) {
	eras := rapid.OneOf(rapid.Int64Range(0, 3), rapid.Int64Range(earlyEras-2, earlyEras+2), rapid.Int64Range(0, Max))
	revisions := rapid.OneOf(rapid.Int64Range(0, 3), rapid.Int64Range(0, 1<<lateBits-1))
	rapid.Check(t, func(t *rapid.T) {
		e1, r1, e2, r2 := eras.Draw(t, "e1"), revisions.Draw(t, "r1"), eras.Draw(t, "e2"), revisions.Draw(t, "r2")
		a, b := Stamp(e1, r1), Stamp(e2, r2)
		if e, r := Split(a); e != e1 || r != r1 {
			t.Fatalf("era %d, revision %d become %d, %d", e1, r1, e, r)
		}
		if older := e1 < e2 || e1 == e2 && r1 < r2; older != (a < b) {
			t.Fatalf("%d/%d is %d, %d/%d is %d", e1, r1, a, e2, r2, b)
		}
	})
}

// TestStampRange guards against an overflow into another era, and against a change for stores without eras.
func TestStampRange(t *testing.T) {
	for _, c := range [][4]int64{
		{0, -1, 0, -1}, {0, 1<<earlyBits - 1, 0, 1<<earlyBits - 1}, {0, 1 << earlyBits, 0, 1<<earlyBits - 1},
		{1, -1, 1, 0}, {1, 1 << earlyBits, 1, 1<<earlyBits - 1}, {earlyEras, 1 << lateBits, earlyEras, 1<<lateBits - 1},
		{Max + 1, 1, Max, 1}, {-1, 7, 0, 7},
	} {
		if e, r := Split(Stamp(c[0], c[1])); e != c[2] || r != c[3] {
			t.Errorf("%v becomes %d, %d", c, e, r)
		}
	}
}
