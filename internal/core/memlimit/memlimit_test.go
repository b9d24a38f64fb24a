package memlimit

import (
	"testing"

	"github.com/sourcegraph/conc"
)

// TestBudget guards against reservations beyond the limit and against bytes that stay reserved after a refusal.
func TestBudget(t *testing.T) {
	b := New(10)
	if !b.TryReserve(6) || b.TryReserve(5) || !b.TryReserve(4) || b.TryReserve(1) || b.Used() != 10 {
		t.Errorf("%d bytes are reserved", b.Used())
	}
	b.Release(10)
	if !b.TryReserve(10) {
		t.Error("released bytes can't be reserved")
	}
}

// TestConcurrentReservations guards against a limit that holds for one goroutine only.
func TestConcurrentReservations(t *testing.T) {
	const limit, goroutines, rounds = 5, 8, 1000
	b := New(limit)
	var wg conc.WaitGroup
	for range goroutines {
		wg.Go(func() {
			for range rounds {
				if b.TryReserve(2) {
					b.Release(2)
				}
			}
		})
	}
	wg.Wait()
	if b.Used() != 0 {
		t.Errorf("%d bytes stay reserved", b.Used())
	}
}
