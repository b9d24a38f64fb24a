package directory

import (
	"context"
	"testing"
	"time"

	"github.com/masticwing/masticwing/internal/port"
)

// repeatingKV is a platform whose watches return the entry at once, whatever revision they
// watch for. It counts them.
type repeatingKV struct {
	port.KV
	entry   port.KVEntry
	watches int
}

func (k *repeatingKV) Watch(context.Context, string, int64, time.Duration) (port.KVEntry, error) {
	k.watches++
	return k.entry, nil
}

// TestWatchWithoutProgressPauses guards against a reader that calls the platform without a
// pause because the stated revision is missing, malformed or does not increase.
func TestWatchWithoutProgressPauses(t *testing.T) {
	for _, rev := range []int64{0, -1, 7} {
		kv := &repeatingKV{entry: port.KVEntry{Value: encodedDocument(t, 4), Rev: rev}}
		w := watcher{d: newTestDirectory(kv, nil)}
		failed := 0
		for range 10 {
			if w.step(context.Background()) != nil {
				failed++
			}
		}
		if failed < 9 {
			t.Errorf("with the revision %d, %d of 10 watches without progress count as successful", rev, 10-failed)
		}
		if got := w.d.rev.Revision(); got != 4 {
			t.Errorf("with the revision %d, the declaration %d is in force, want 4", rev, got)
		}
	}
}
