package registration

import (
	"context"
	"encoding/json"
	"io"
	"strings"
	"sync"
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

// lateCommit is a store whose first commit ends without a response and is executed after the
// second one. It records the lease of the registration and the lease that is kept alive after
// that; the call that extends the lease before the second commit doesn't count.
type lateCommit struct {
	*porttest.Store
	mu          sync.Mutex
	commits     int
	late        []port.StoreWrite
	lease, kept port.LeaseID
}

func (s *lateCommit) Commit(ctx context.Context, expect []port.Precondition, writes []port.StoreWrite) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.commits++; s.commits == 1 {
		s.late = writes
		return port.ErrUnknownOutcome
	}
	for _, w := range [][]port.StoreWrite{writes, s.late} {
		if err := s.Store.Commit(ctx, nil, w); err == nil {
			s.lease = w[0].Lease
		}
	}
	return nil
}

func (s *lateCommit) KeepAlive(ctx context.Context, id port.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.commits > 1 {
		s.kept = id
	}
	return s.Store.KeepAlive(ctx, id)
}

// TestLateCommitKeepsLease guards against a registration that expires although its process
// renews a lease, because a call without a response was executed after its repetition and
// put the registration under an earlier lease.
func TestLateCommitKeepsLease(t *testing.T) {
	s := &lateCommit{Store: porttest.NewStore()}
	r := Registrar{
		Store: s, Prefix: "members/", Self: port.StoredMember{ID: "vm", Kind: "agent"}, Clock: fastClock{},
		Log: logging.New(io.Discard, "x", "1"),
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	wg.Go(func() { r.Run(ctx) })
	defer wg.Wait()
	defer cancel()
	for start := time.Now(); time.Since(start) < 5*time.Second; time.Sleep(time.Millisecond) {
		s.mu.Lock()
		lease, kept := s.lease, s.kept
		s.mu.Unlock()
		if kept != port.NoLease {
			if lease != kept {
				t.Errorf("the registration is under lease %s, and lease %s is kept alive", lease, kept)
			}
			return
		}
	}
	t.Error("no lease is kept alive")
}

// TestUnlistedRegistrationIsWrittenAgain guards against a process that renews its lease for ever although the
// store has lost its registration, or holds it under a lease of an earlier process.
func TestUnlistedRegistrationIsWrittenAgain(t *testing.T) {
	for name, change := range map[string]func(*porttest.Store){
		"removed":             func(s *porttest.Store) { s.Remove("members/vm") },
		"of an earlier lease": func(s *porttest.Store) { s.Put("members/vm", `{"id":"vm","lease":"earlier"}`) },
	} {
		s := porttest.NewStore()
		listed := func() port.LeaseID {
			var m port.StoredMember
			v, _ := s.Get("members/vm")
			_ = json.Unmarshal([]byte(v), &m)
			return m.Lease
		}
		r := Registrar{
			Store: s, Prefix: "members/", Self: port.StoredMember{ID: "vm", Kind: "agent"}, Listed: listed, Clock: fastClock{},
			Log: logging.New(io.Discard, "x", "1"),
		}
		ctx, cancel := context.WithCancel(context.Background())
		var wg conc.WaitGroup
		wg.Go(func() { r.Run(ctx) })
		waitForRegistration(t, s, true)
		lease := listed()
		change(s)
		waitForRegistration(t, s, true)
		if got := listed(); got != lease {
			t.Errorf("%s: registered under lease %q, want %q", name, got, lease)
		}
		cancel()
		wg.Wait()
	}
}
