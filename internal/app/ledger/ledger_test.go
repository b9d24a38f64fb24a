package ledger

import (
	"bytes"
	"context"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/sourcegraph/conc"

	"github.com/masticwing/masticwing/internal/adapter/kvhttp"
	"github.com/masticwing/masticwing/internal/adapter/sysclock"
	core "github.com/masticwing/masticwing/internal/core/ledger"
	"github.com/masticwing/masticwing/internal/core/verdict"
	"github.com/masticwing/masticwing/internal/port"
	"github.com/masticwing/masticwing/internal/standin/platform"
)

// start returns a running ledger over the world's platform and a function that
// stops it.
func start(t testing.TB, w *world, o Options) (*Ledger, func()) {
	t.Helper()
	l := New(kvhttp.New(w.addr), sysclock.Clock{}, sysclock.Rand{}, o)
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	wg.Go(func() {
		if err := l.Run(ctx); err != nil {
			t.Errorf("Run: %v", err)
		}
	})
	stop := func() {
		cancel()
		wg.Wait()
	}
	t.Cleanup(stop)
	return l, stop
}

func newKey() port.LedgerKey {
	return port.LedgerKey{Service: "nursery", Customer: "c", Key: uuid.Must(uuid.NewV7()).String()}
}

func begin(t *testing.T, l *Ledger, k port.LedgerKey) port.LedgerClaim {
	t.Helper()
	tk, _, err := l.Begin(t.Context(), k, port.ContentDigest{})
	if err != nil || tk == nil {
		t.Fatalf("Begin = %v, %v; want a ticket", tk, err)
	}
	return tk
}

// want checks the verdict and code that a repeat of k is told.
func want(t *testing.T, l *Ledger, k port.LedgerKey, v verdict.Verdict, c verdict.Code) {
	t.Helper()
	_, _, err := l.Begin(t.Context(), k, port.ContentDigest{})
	if err == nil {
		t.Fatalf("Begin: no error, want %s (%s)", c, v)
	}
	if e := verdict.FromError(err); e.Verdict != v || e.Code != c {
		t.Fatalf("Begin: %v, want %s (%s)", err, c, v)
	}
}

func plainWorld(t testing.TB) *world {
	w := newWorld(t, 1)
	t.Cleanup(func() {
		w.end()
		w.wg.Wait()
	})
	return w
}

// TestOutage guards against a call that waits out its deadline, or is told
// anything but "not run", while the platform is down, and against a ledger that
// does not come back.
func TestOutage(t *testing.T) {
	w := plainWorld(t)
	l, _ := start(t, w, Options{})
	begin(t, l, newKey()).Done(nil)
	w.faults(t, platform.Faults{Down: true})
	k, at := newKey(), time.Now()
	want(t, l, k, verdict.NotRun, verdict.CodeLedgerUnavailable)
	if took := time.Since(at); took > time.Second {
		t.Errorf("the refusal took %v", took)
	}
	w.faults(t, platform.Faults{Hang: true})
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	if _, _, err := l.Begin(ctx, k, port.ContentDigest{}); verdict.FromError(err).Verdict != verdict.NotRun {
		t.Errorf("a platform that hangs: %v", err)
	}
	w.faults(t, platform.Faults{})
	// A call that joins a read which still hangs is refused with it.
	tk, _, err := l.Begin(t.Context(), k, port.ContentDigest{})
	for end := time.Now().Add(4 * time.Second); err != nil && time.Now().Before(end); {
		if verdict.FromError(err).Verdict != verdict.NotRun {
			t.Fatalf("after the outage: %v", err)
		}
		tk, _, err = l.Begin(t.Context(), k, port.ContentDigest{})
	}
	if err != nil {
		t.Fatalf("the ledger did not come back: %v", err)
	}
	tk.Done(nil)
	want(t, l, k, verdict.Ran, verdict.CodeDuplicate)
}

// TestLostAnswer guards against a call that is refused although its record was
// written and can be read.
func TestLostAnswer(t *testing.T) {
	w := plainWorld(t)
	l, _ := start(t, w, Options{})
	w.faults(t, platform.Faults{LoseWriteAnswers: 1})
	k := newKey()
	begin(t, l, k).Unknown()
	want(t, l, k, verdict.MayHaveRun, verdict.CodeDuplicate)
}

// TestStopWritesEnds guards against a planned stop after which a repeat is told
// "may have run" about a call whose end is known.
func TestStopWritesEnds(t *testing.T) {
	w := plainWorld(t)
	l, stop := start(t, w, Options{})
	done, notRun := newKey(), newKey()
	begin(t, l, done).Done(nil)
	begin(t, l, notRun).NotRun()
	stop()
	want(t, l, newKey(), verdict.NotRun, verdict.CodeShuttingDown)
	next, _ := start(t, w, Options{})
	want(t, next, done, verdict.Ran, verdict.CodeDuplicate)
	begin(t, next, notRun).Done(nil)
}

// signalClock fires no timer shorter than a second, so that a wait that relies
// on one does not end.
type signalClock struct{ sysclock.Clock }

func (c signalClock) After(d time.Duration) <-chan time.Time {
	if d < time.Second {
		return nil
	}
	return c.Clock.After(d)
}

// TestStopNeedsNoTimer guards against a planned stop that polls for the end of
// the last writes instead of being woken by it.
func TestStopNeedsNoTimer(t *testing.T) {
	w := plainWorld(t)
	l := New(kvhttp.New(w.addr), signalClock{}, sysclock.Rand{}, Options{WritesPerSecond: 100})
	for range 3 {
		begin(t, l, newKey()).Done(nil)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	began := time.Now()
	if err := l.Run(ctx); err != nil {
		t.Fatal(err)
	}
	if d := time.Since(began); d > stopTimeout/2 {
		t.Errorf("the stop took %v", d)
	}
}

// TestReplay guards against a repeat that gets another call's answer, and
// against answers that are kept above their size.
func TestReplay(t *testing.T) {
	w := plainWorld(t)
	l, _ := start(t, w, Options{})
	small, large := newKey(), newKey()
	begin(t, l, small).Done(&port.StoredAnswer{Head: port.AnswerHead{Status: 201}, Body: []byte("ordered")})
	begin(t, l, large).Done(&port.StoredAnswer{Body: bytes.Repeat([]byte{'x'}, core.MaxResponseBytes+1)})
	tk, a, err := l.Begin(t.Context(), small, port.ContentDigest{})
	if tk != nil || err != nil || string(a.Body) != "ordered" || a.Head.Status != 201 || !a.Head.Replayed {
		t.Errorf("repeat = %v, %+v, %v", tk, a, err)
	}
	want(t, l, large, verdict.Ran, verdict.CodeDuplicate)
	// A key that was used for another content must not get that call's answer.
	tk, a, err = l.Begin(t.Context(), small, port.ContentDigest{1})
	if e := verdict.FromError(err); tk != nil || a != nil || err == nil || e.Code != verdict.CodeKeyReused || e.Verdict != verdict.NotRun {
		t.Errorf("a reused key = %v, %+v, %v", tk, a, err)
	}
	other := small
	other.Customer = "rival"
	begin(t, l, other).NotRun()
}
