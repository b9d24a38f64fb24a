package inflight

import (
	"testing"
	"time"

	"github.com/sourcegraph/conc"
)

// TestIdleSignalWakesWaiter guards against a waiter that is not woken when the
// last operation ends, and against one that returns early because of a stale
// signal.
func TestIdleSignalWakesWaiter(t *testing.T) {
	for range 200 {
		c := New()
		c.Start()
		c.Done() // leaves a stale signal
		const operations = 8
		for range operations {
			c.Start()
		}
		var wg conc.WaitGroup
		for range operations {
			wg.Go(c.Done)
		}
		for !c.Idle() {
			select {
			case <-c.IdleSignal():
			case <-time.After(10 * time.Second):
				t.Fatal("no signal after the last operation ended")
			}
		}
		wg.Wait()
	}
}
