package chain

import (
	"fmt"
	"testing"
	"time"
)

// TestAllMembersStartAgain guards against members that skip each other for seconds after a loss of
// power of all VMs, because they asked before the others were back, and then each fetch from the
// origin. They start one after the other within 1.2 s and hold nothing.
func TestAllMembersStartAgain(t *testing.T) {
	// maxCopies allows for a few chunks besides the one copy: the origin's link is the bottleneck.
	const starts, maxCopies = 1200 * time.Millisecond, 1.1
	for _, s := range sites {
		for _, n := range []int{14, 24, 58, 98, 138} {
			t.Run(fmt.Sprintf("%d chunks, %d members", s.chunks, n), func(t *testing.T) {
				t.Parallel()
				r := s.run(n, 0, &simVersion{spread: starts})
				r.returnsAfter = 0
				if err := r.run(30 * time.Second); err != nil {
					t.Fatal(err)
				}
				copies := float64(r.fromOrigin) / float64(s.chunks)
				t.Logf("complete after the first start: first %v, half %v, last %v; %.2f copies", ms(r.first), ms(r.half), ms(r.last), copies)
				if copies > maxCopies {
					t.Errorf("the origin sends %.2f copies", copies)
				}
			})
		}
	}
}
