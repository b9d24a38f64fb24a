package weightsbound

import (
	"testing"
	"time"

	"github.com/masticwing/masticwing/internal/core/moment"
)

// TestStatementDoesNotReviveOldWeights guards against a process that adopts a statement and then
// uses weights that the process which made it may no longer use: the bound of an earlier
// declaration is over, or its time is not known.
func TestStatementDoesNotReviveOldWeights(t *testing.T) {
	const now = 10 * time.Second
	for name, ds := range map[string]Declarations{
		"the first bound is over":     {{2, moment.KnownTime(time.Second)}, {3, moment.KnownTime(9 * time.Second)}},
		"the first time is not known": {{2, moment.Time{}}, {3, moment.KnownTime(9 * time.Second)}},
	} {
		stated := ds.Statement(testBound, now)
		learned, changed := Declarations{}.Add(Declaration{Version: 3}, testBound, now).Adopt(stated)
		if !changed {
			t.Errorf("%s: nothing is stated", name)
		}
		own, _ := ds.Limit(1, testBound, now)
		if ownLimit, _ := ds.Limit(2, testBound, now); ownLimit.Left <= 0 {
			t.Errorf("%s: the case does not allow version 2", name)
		} else if limit, _ := learned.Limit(2, testBound, now); limit != ownLimit {
			t.Errorf("%s: weights 2 may be used for %v more, want %v", name, limit, ownLimit)
		}
		if limit, limited := learned.Limit(1, testBound, now); own.Left <= 0 && limited && limit.Left > 0 {
			t.Errorf("%s: weights 1 may be used for %v more by a process that adopts %+v", name, limit.Left, stated)
		}
	}
}
