package inflight

import (
	"testing"
	"time"

	"github.com/sourcegraph/conc"
)

// TestLeftWakes guards against a waiter that sleeps on after the last piece of
// work has ended, and against one that an old signal ends too early.
func TestLeftWakes(t *testing.T) {
	for range 200 {
		c := New()
		c.Start()
		c.Done() // leaves an old signal behind
		const works = 8
		for range works {
			c.Start()
		}
		var wg conc.WaitGroup
		for range works {
			wg.Go(c.Done)
		}
		for !c.Idle() {
			select {
			case <-c.IdleSignal():
			case <-time.After(10 * time.Second):
				t.Fatal("the end of the last piece of work woke nobody")
			}
		}
		wg.Wait()
	}
}
