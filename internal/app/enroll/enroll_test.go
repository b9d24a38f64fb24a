package enroll

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

// quick is a clock on which waits take a hundredth of their time.
type quick struct{}

func (quick) Now() time.Time                         { return time.Now() }
func (quick) After(d time.Duration) <-chan time.Time { return time.After(d / 100) }

// TestEntryComesBack guards against a process that nobody finds any more after
// its lease ended or the store was away, and against an entry that outlives it.
func TestEntryComesBack(t *testing.T) {
	s := porttest.NewStore()
	s.SetDown(true)
	e := Enrolment{
		Store: s, Prefix: "members/", Self: port.StoredMember{ID: "vm", Kind: "agent"}, Clock: quick{},
		Log: logging.New(io.Discard, "x", "1"),
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	wg.Go(func() { e.Run(ctx) })
	time.Sleep(20 * time.Millisecond)
	s.SetDown(false)
	wait(t, s, true)
	s.Expire()
	wait(t, s, true)
	cancel()
	wg.Wait()
	wait(t, s, false)
}

func wait(t *testing.T, s *porttest.Store, want bool) {
	t.Helper()
	for start := time.Now(); time.Since(start) < 5*time.Second; time.Sleep(time.Millisecond) {
		if v, ok := s.Get("members/vm"); ok == want && (!ok || strings.Contains(v, `"kind":"agent"`)) {
			return
		}
	}
	t.Fatalf("entry present: %v, want %v", !want, want)
}
