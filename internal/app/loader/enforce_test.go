package loader

import (
	"context"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/masticwing/masticwing/internal/app/feed"
	"github.com/masticwing/masticwing/internal/app/follow"
	"github.com/masticwing/masticwing/internal/core/confirmation"
	core "github.com/masticwing/masticwing/internal/core/feed"
	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/moment"
	"github.com/masticwing/masticwing/internal/port"
)

// runUntil runs the loader, whose weights can't be fetched, until done returns true or the time
// is over.
func (l *Loader) runUntil(e *fakeEngine, d time.Duration, done func(port.EngineReport) bool) bool {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	var wg conc.WaitGroup
	defer wg.Wait()
	defer cancel()
	wg.Go(func() { l.converge(ctx) })
	wg.Go(func() { l.enforceBound(ctx) })
	for ctx.Err() == nil {
		r, _ := e.Report(ctx)
		l.engineReport.set(&r)
		if done(r) {
			return true
		}
		time.Sleep(5 * time.Millisecond)
	}
	return false
}

func holdsNothing(r port.EngineReport) bool { return len(r.Held) == 0 }

// TestOldWeightsAreWithdrawnBeforeBound guards against an engine that begins requests on old
// weights after their bound: those that were sent in time and arrived or waited longer.
func TestOldWeightsAreWithdrawnBeforeBound(t *testing.T) {
	e := newEngine(1)
	e.refuseOrders = 2
	l := newLoader(e, &fakeOrigin{})
	const bound = 2500 * time.Millisecond
	l.settings.WeightsBound, l.view.settings.WeightsBound = bound, bound
	l.declareForTest(2)
	declared := time.Now()
	if !l.runUntil(e, 5*time.Second, holdsNothing) {
		t.Fatal("the engine still holds weights 1")
	}
	if d := time.Since(declared); d < 500*time.Millisecond || d > bound {
		t.Errorf("weights were withdrawn after %v, with a bound of %v", d, bound)
	}
	if w := e.withdrawals; len(w) != 1 || w[0].Number != 1 {
		t.Errorf("withdrawals %+v", w)
	}
}

// TestWeightsWithoutDateAreWithdrawn guards against an engine that keeps serving old weights
// because its loader has just started and does not know when newer ones were declared.
func TestWeightsWithoutDateAreWithdrawn(t *testing.T) {
	e := newEngine(1)
	l := newLoader(e, &fakeOrigin{})
	l.view.decoder = weightsDecoder{}
	l.view.applyWeights(follow.Event{Reset: true, Changes: []port.StoreChange{{StoreItem: port.StoreItem{Key: "weights/m"}}}})
	if d := l.view.enforced(); d.Number != 0 {
		t.Errorf("the loader states the declaration %+v, whose age it does not know", d)
	}
	if !l.runUntil(e, 3*time.Second, holdsNothing) {
		t.Fatal("the engine still holds weights 1")
	}
	if w := e.withdrawals; len(w) != 1 || w[0].Abort {
		t.Errorf("withdrawals %+v; want one that lets requests end", w)
	}
}

// TestListingIsDatedByConfirmation guards against an engine that is taken out of service too
// early because its loader lists the declarations again, although it knew shortly before that
// there were no others.
func TestListingIsDatedByConfirmation(t *testing.T) {
	l := newLoader(newEngine(1), &fakeOrigin{})
	l.view.decoder = weightsDecoder{}
	const ago = 2 * time.Second
	l.view.confirmations.List(l.deps.Clock.SinceBoot() - ago)
	l.view.applyWeights(follow.Event{Reset: true, Changes: []port.StoreChange{{StoreItem: port.StoreItem{Key: "weights/m"}}}})
	g, _ := l.view.goal(port.ModelWeights{Model: "m", Number: 1})
	if age, known := g.declaredAt.Age(l.deps.Clock.SinceBoot()).Get(); !known || age > ago+time.Second {
		t.Errorf("declared %v ago (known: %v), want at most %v", age, known, ago)
	}
}

// TestStatedAgeIsUsed guards against an engine that is taken out of service too early because its
// loader dates a declaration by a reader's confirmation, which is older than the reader's own.
func TestStatedAgeIsUsed(t *testing.T) {
	l := newLoader(newEngine(1), &fakeOrigin{})
	l.view.decoder = weightsDecoder{}
	l.view.confirmations.List(l.deps.Clock.SinceBoot() - 2*time.Second)
	const stated = 100 * time.Millisecond
	l.view.applyWeights(follow.Event{Changes: []port.StoreChange{{StoreItem: port.StoreItem{Key: "weights/m", Revision: 2}, Age: moment.KnownAge(stated)}}})
	g, _ := l.view.goal(port.ModelWeights{Model: "m", Number: 1})
	if age, known := g.declaredAt.Age(l.deps.Clock.SinceBoot()).Get(); !known || age < stated || age > stated+time.Second {
		t.Errorf("declared %v ago (known: %v), want %v", age, known, stated)
	}
}

// TestExpiredWeightsAreNotLoaded guards against an engine that is ordered to load weights whose
// bound ends before or shortly after they are loaded.
func TestExpiredWeightsAreNotLoaded(t *testing.T) {
	for left, want := range map[time.Duration]bool{-time.Second: false, 1500 * time.Millisecond: false, 6 * time.Second: true} {
		l := newLoader(newEngine(0), &fakeOrigin{})
		l.settings.WeightsBound, l.view.settings.WeightsBound = 8*time.Second, 8*time.Second
		l.view.mu.Lock()
		at := moment.KnownTime(l.deps.Clock.SinceBoot() - 8*time.Second + left)
		l.view.addDeclaration(declaredWeights{port.ModelWeights{Model: "m", Number: 3}, at, false}, 3)
		l.view.mu.Unlock()
		if ok := l.mayLoad(port.ModelWeights{Model: "m", Number: 2}); ok != want {
			t.Errorf("weights 2 may be loaded with %v left: %v, want %v", left, ok, want)
		}
		if !l.mayLoad(port.ModelWeights{Model: "m", Number: 3}) {
			t.Error("the newest weights may not be loaded")
		}
	}
}

// TestWithdrawalChecksEngine guards against an order for weights that the engine no longer
// holds, since a load has begun after its last report.
func TestWithdrawalChecksEngine(t *testing.T) {
	e := newEngine(1)
	l := newLoader(e, &fakeOrigin{})
	old, _ := e.Report(context.Background())
	l.engineReport.set(&old)
	l.view.mu.Lock()
	l.view.addDeclaration(declaredWeights{port.ModelWeights{Model: "m", Number: 2}, moment.KnownTime(l.deps.Clock.SinceBoot() - time.Minute), false}, 2)
	l.view.mu.Unlock()
	e.report.Busy = true
	l.enforceOnce(context.Background())
	if len(e.withdrawals) > 0 {
		t.Error("an engine that loads was ordered to release its weights")
	}
}

// TestStoredReportIsNotChanged guards against a data race: a withdrawal marks its report busy after
// it has stored it, while the other threads of the loader read it.
func TestStoredReportIsNotChanged(t *testing.T) {
	var l lastReport
	r := port.EngineReport{Started: 1}
	l.set(&r)
	stored := l.get()
	r.Busy = true
	if stored.Busy {
		t.Error("a stored report changed with the caller's")
	}
	if l.set(nil); l.get() != nil {
		t.Error("the report of an engine that is lost is still returned")
	}
}

// TestLateWithdrawalBreaksOffRequests guards against requests that an engine had admitted before
// its machine stood still, and begins on old weights after their bound; and against a withdrawal
// in time that breaks off responses.
func TestLateWithdrawalBreaksOffRequests(t *testing.T) {
	for ago, want := range map[time.Duration]bool{7200 * time.Millisecond: false, 8100 * time.Millisecond: true} {
		e := newEngine(1)
		l := newLoader(e, &fakeOrigin{})
		l.settings.WeightsBound, l.view.settings.WeightsBound = 8*time.Second, 8*time.Second
		r, _ := e.Report(context.Background())
		l.engineReport.set(&r)
		l.view.mu.Lock()
		l.view.addDeclaration(declaredWeights{port.ModelWeights{Model: "m", Number: 2}, moment.KnownTime(l.deps.Clock.SinceBoot() - ago), false}, 2)
		l.view.mu.Unlock()
		l.enforceOnce(context.Background())
		if w := e.withdrawals; len(w) != 1 || w[0].Abort != want {
			t.Errorf("declared %v ago: withdrawals %+v; want one that breaks off requests: %v", ago, w, want)
		}
	}
}

// TestReportStatesEnforcedDeclaration guards against gateways that send nothing to an engine near
// the bound because its loader does not state that it enforces it, and against requests for an
// engine that has released its weights.
func TestReportStatesEnforcedDeclaration(t *testing.T) {
	e := newEngine(1)
	l := newLoader(e, &fakeOrigin{})
	l.declareForTest(2)
	r, _ := e.Report(context.Background())
	out := l.loadReport(r)
	if _, known := out.Declared.Age.Get(); out.Declared.Number != 2 || !known || out.Load.Loading {
		t.Errorf("report %+v, want declaration 2 with its age and an engine that serves", out)
	}
	r.Held = nil
	if out = l.loadReport(r); !out.Load.Loading {
		t.Error("an engine without weights is reported as serving")
	}
}

// confirmedFeed is a port.FeedClient whose replies carry no changes and a confirmation of this
// age.
type confirmedFeed time.Duration

func (f confirmedFeed) Feed(context.Context, fleet.Address, port.FeedRequest) (port.FeedReply, error) {
	return port.FeedReply{At: 1, Age: time.Duration(f), View: confirmation.DigestOf(map[string]int64{"weights/m": 0})}, nil
}

// TestDeclarationsAreConfirmedByReader guards against a loader that dates declarations by its own
// call to a reader that stands still, which is too late, and against one that dates none because
// it takes no listing as a confirmation.
func TestDeclarationsAreConfirmedByReader(t *testing.T) {
	const age = 3 * time.Second
	l := newLoader(newEngine(1), &fakeOrigin{})
	l.view.decoder = weightsDecoder{}
	l.view.applyWeights(follow.Event{Reset: true, At: 1, ReadAt: l.deps.Clock.SinceBoot() - 2*age})
	readers := func() []core.Member { return []core.Member{{ID: "r", Address: "r"}} }
	l.source = feed.NewSource(nil, confirmedFeed(age), l.deps.Clock, l.deps.Log, readers, nil)
	if _, _, err := l.source.Changes(context.Background(), "weights/", 0, 0); err != nil {
		t.Fatal(err)
	}
	f := l.newWeightsFollower("weights/")
	f.OnRevision(1, l.deps.Clock.SinceBoot())
	if at, ok := l.view.confirmations.NewestOf("weights/m"); !ok || l.deps.Clock.SinceBoot()-at < age || l.deps.Clock.SinceBoot()-at > age+time.Second {
		t.Errorf("confirmed at %v (known: %v), want %v ago", at, ok, age)
	}
	readAt := l.deps.Clock.SinceBoot()
	l.view.applyWeights(follow.Event{Reset: true, At: 1, ReadAt: readAt})
	if at, _ := l.view.confirmations.NewestOf("weights/m"); at != readAt {
		t.Errorf("confirmed at %v after a listing that began at %v", at, readAt)
	}
}
