package valuebudget

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// TestLongestValuesAreGivenUp guards against a listing that exceeds its memory, and against a short value, as targets
// and processes write them, that is given up while a longer one is kept.
func TestLongestValuesAreGivenUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(0, 1000).Draw(t, "limit")
		keys := rapid.SliceOfN(rapid.IntRange(0, 20), 1, 40).Draw(t, "keys")
		lengths := rapid.SliceOfN(rapid.IntRange(0, 300), len(keys), len(keys)).Draw(t, "values")
		b := New(limit)
		kept := map[int]bool{}
		keyBytes, used := 0, 0
		for i, n := range lengths {
			keyBytes, used = keyBytes+keys[i], used+keys[i]+n
			kept[i] = true
			for _, x := range b.Add(i, keys[i], n) {
				if !kept[x] || lengths[x] == 0 {
					t.Fatalf("value %d is given up, kept: %v, %d bytes", x, kept[x], lengths[x])
				}
				kept[x] = false
				used -= lengths[x]
			}
			if b.Exceeded() != (keyBytes > limit) {
				t.Fatalf("exceeded is %v with keys of %d bytes and a limit of %d", b.Exceeded(), keyBytes, limit)
			}
			if used > limit && keyBytes <= limit {
				t.Fatalf("%d bytes are kept, more than %d", used, limit)
			}
		}
		longestKept, shortestGivenUp := 0, slices.Max(lengths)+1
		for i, n := range lengths {
			if kept[i] {
				longestKept = max(longestKept, n)
			} else {
				shortestGivenUp = min(shortestGivenUp, n)
			}
		}
		if longestKept > shortestGivenUp {
			t.Fatalf("a value of %d bytes is kept, and one of %d bytes given up", longestKept, shortestGivenUp)
		}
		if total := keyBytes + sum(lengths); total <= limit && shortestGivenUp <= slices.Max(lengths) {
			t.Fatalf("a value is given up although all take %d bytes of %d", total, limit)
		}
	})
}

func sum(xs []int) (s int) {
	for _, x := range xs {
		s += x
	}
	return s
}
