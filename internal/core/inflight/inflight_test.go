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
		c.Enter()
		c.Leave() // leaves an old signal behind
		const works = 8
		for range works {
			c.Enter()
		}
		var wg conc.WaitGroup
		for range works {
			wg.Go(c.Leave)
		}
		for !c.Idle() {
			select {
			case <-c.Left():
			case <-time.After(10 * time.Second):
				t.Fatal("the end of the last piece of work woke nobody")
			}
		}
		wg.Wait()
	}
}
