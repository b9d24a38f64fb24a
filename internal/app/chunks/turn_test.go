package chunks

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/masticwing/masticwing/internal/adapter/logging"
	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/manifest"
)

// TestOlderVersionAfterOutage guards against an older version that is never complete although it can
// still serve when the origin is back, and against the links of members that carry one that can't.
func TestOlderVersionAfterOutage(t *testing.T) {
	for name, until := range map[string]time.Duration{"may serve": time.Minute, "may not serve": 0} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tc := newTestCluster(1, 1)
				tc.originRate = 64 * chunkBytes
				f := tc.fetchers[tc.members[0].Address]
				f.deps.Log = logging.New(io.Discard, "loader", "vm")
				f.deps.Uses = func(n fleet.Version) Uses { return Uses{Until: until, Limited: n == "m@1"} }
				older := manifest.Split("m", tc.weights[:6*chunkBytes], chunkBytes)
				tc.originDown.Store(true)
				ctx, cancel := context.WithCancel(t.Context())
				go f.Run(ctx)
				f.SetVersion("m@1", older.Version(), older)
				time.Sleep(3 * time.Second)
				f.SetVersion("m@2", tc.man.Version(), tc.man)
				time.Sleep(3 * time.Second)
				if kept := f.findVersion("m@1") != nil; kept != (until > 0) {
					t.Errorf("older version kept: %v", kept)
				}
				tc.originDown.Store(false)
				start := time.Now()
				if until > 0 {
					<-f.Completed(older.Version())
					if d := time.Since(start); d > 500*time.Millisecond {
						t.Errorf("the older version is complete %v after the return", d)
					}
				}
				<-f.Completed(tc.man.Version())
				if d := time.Since(start); d > 5*time.Second {
					t.Errorf("the newer version is complete %v after the return", d)
				}
				cancel()
				synctest.Wait()
			})
		})
	}
}
