package loader

import (
	"context"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/masticwing/masticwing/internal/port"
	"github.com/masticwing/masticwing/internal/port/porttest"
)

// restorableStore is a fake store whose first era ends when ended is closed.
type restorableStore struct {
	*porttest.Store
	ended chan struct{}
}

func (s restorableStore) Era() int64 {
	select {
	case <-s.ended:
		return 1
	default:
		return 0
	}
}

func (s restorableStore) EraEnded(era int64) <-chan struct{} {
	if era > 0 {
		return nil
	}
	return s.ended
}

// TestLoadIsRecordedAfterRestore guards against a load whose record is lost with a restore of the store, so that
// a loader which starts again repeats it.
func TestLoadIsRecordedAfterRestore(t *testing.T) {
	const patience = 5 * time.Second
	e := &stagingEngine{fakeEngine: newEngine(0)}
	l, _ := newLoaderOnClock(e)
	s := restorableStore{l.deps.Store.(*porttest.Store), make(chan struct{})}
	l.deps.Store = s
	l.runUntilIntact(t, e, initialNumber)
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	var wg conc.WaitGroup
	defer wg.Wait()
	defer cancel()
	wg.Go(func() { l.recordLoads(ctx) })
	recorded := func() bool {
		for ; ctx.Err() == nil; time.Sleep(5 * time.Millisecond) {
			if _, ok := s.Get(l.recordKey()); ok {
				return true
			}
		}
		return false
	}
	if !recorded() {
		t.Fatal("the load is not recorded")
	}
	s.ExpireLeases()
	close(s.ended)
	if !recorded() {
		t.Error("the load is not recorded again")
	}
}

var _ port.EraWatcher = restorableStore{}
