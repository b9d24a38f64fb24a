package registration

import (
	"context"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/masticwing/masticwing/internal/adapter/logging"
	"github.com/masticwing/masticwing/internal/port"
	"github.com/masticwing/masticwing/internal/port/porttest"
)

// fastClock shortens every wait to a hundredth.
type fastClock struct{}

func (fastClock) Now() time.Time                         { return time.Now() }
func (fastClock) After(d time.Duration) <-chan time.Time { return time.After(d / 100) }

// TestReregistersAfterLeaseLoss guards against a process that stays
// unregistered after its lease expired or the store was unavailable, and
// against a registration that remains after the process stopped.
func TestReregistersAfterLeaseLoss(t *testing.T) {
	s := porttest.NewStore()
	s.SetUnavailable(true)
	r := Registrar{
		Store: s, Prefix: "members/", Self: port.StoredMember{ID: "vm", Kind: "agent"}, Clock: fastClock{},
		Log: logging.New(io.Discard, "x", "1"),
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	wg.Go(func() { r.Run(ctx) })
	time.Sleep(20 * time.Millisecond)
	s.SetUnavailable(false)
	waitForRegistration(t, s, true)
	s.ExpireLeases()
	waitForRegistration(t, s, true)
	cancel()
	wg.Wait()
	waitForRegistration(t, s, false)
}

func waitForRegistration(t *testing.T, s *porttest.Store, wantPresent bool) {
	t.Helper()
	for start := time.Now(); time.Since(start) < 5*time.Second; time.Sleep(time.Millisecond) {
		if v, ok := s.Get("members/vm"); ok == wantPresent && (!ok || strings.Contains(v, `"kind":"agent"`)) {
			return
		}
	}
	t.Fatalf("registration present: %v, want %v", !wantPresent, wantPresent)
}
