package loader

import (
	"context"
	"encoding/json"
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

// TestLateRecordOfLoad guards against a loader that starts again and does not find the record of the last load,
// since the store has executed the write of an earlier record late.
func TestLateRecordOfLoad(t *testing.T) {
	l, _ := newLoaderOnClock(&stagingEngine{fakeEngine: newEngine(0)})
	s := porttest.NewLateStore()
	l.deps.Store = s
	s.KeepNext()
	ctx := context.Background()
	if err := l.writeRecord(ctx, loadRecord{Started: 1, Orders: 1, Number: 1}); err == nil {
		t.Fatal("the store has answered")
	}
	last := loadRecord{Started: 1, Orders: 2, Number: 2}
	if err := l.writeRecord(ctx, last); err != nil {
		t.Fatal(err)
	}
	s.ExecuteKept()
	var got loadRecord
	if v, _ := s.Get(l.recordKey()); json.Unmarshal([]byte(v), &got) != nil || got != last {
		t.Errorf("the record is %+v, want %+v", got, last)
	}
}

var _ port.EraWatcher = restorableStore{}
