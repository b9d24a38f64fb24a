package scaling

import (
	"context"
	"io"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/masticwing/masticwing/internal/adapter/logging"
	"github.com/masticwing/masticwing/internal/app/duty"
	"github.com/masticwing/masticwing/internal/core/routes"
	core "github.com/masticwing/masticwing/internal/core/scaling"
	"github.com/masticwing/masticwing/internal/port"
	"github.com/masticwing/masticwing/internal/port/porttest"
)

// fixture is a platform, a tenure, a source and a clock whose time passes with each wait.
type fixture struct {
	*porttest.Store
	era int64
	now time.Time
	// requests is the number in each of 20 engines.
	requests int
	// callErr and commitErr are returned instead of a call or write, and answers by the API, in order.
	callErr, commitErr error
	mu                 sync.Mutex
	answers            []error
	got                []port.ScaleOrder
}

func (f *fixture) Era() int64                                  { return f.era }
func (f *fixture) Now() time.Time                              { return f.now }
func (f *fixture) Count(string, int64, ...port.Attr)           {}
func (f *fixture) Seconds(string, time.Duration, ...port.Attr) {}
func (f *fixture) Gauge(string, float64, ...port.Attr)         {}
func (f *fixture) ReportUsage(context.Context, port.DutyCredentials, port.UsageReport) error {
	return nil
}

func (f *fixture) Snapshot() core.Snapshot {
	out := core.Snapshot{Services: []core.Service{{Name: "s", Scaling: routes.Scaling{Min: 17, Max: 40}, Engine: &routes.Engine{Slots: 12}}}}
	for range 20 {
		out.Engines = append(out.Engines, core.Engine{Service: "s", Domain: "a", HoldsWeights: true, Slots: 12, Requests: f.requests})
	}
	return out
}

func (f *fixture) OrderScale(_ context.Context, _ port.DutyCredentials, o port.ScaleOrder) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.got = append(f.got, o)
	if len(f.answers) == 0 {
		return nil
	}
	err := f.answers[0]
	f.answers = f.answers[1:]
	return err
}

func (f *fixture) Call(ctx context.Context, call func(context.Context, port.DutyCredentials) error) error {
	if f.callErr != nil {
		return f.callErr
	}
	return call(ctx, port.DutyCredentials{})
}

func (f *fixture) Commit(ctx context.Context, expect []port.Precondition, writes []port.StoreWrite) error {
	if f.commitErr != nil {
		return f.commitErr
	}
	return f.Store.Commit(ctx, expect, writes)
}

// waits is a clock that ends a context after so many waits.
type waits struct {
	*fixture
	left int
	end  func()
}

func (w *waits) After(d time.Duration) <-chan time.Time {
	if w.now, w.left = w.now.Add(d), w.left-1; w.left <= 0 {
		w.end()
		return nil
	}
	c := make(chan time.Time, 1)
	c <- w.now
	return c
}

// tenure runs the duty for so many seconds and returns the numbers that the platform was sent.
func (f *fixture) tenure(seconds int) (desired []int) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	f.got = nil
	New(Settings{core.DefaultRules()}, Deps{f, f, f, &waits{f, seconds, cancel}, f, logging.New(io.Discard, "gateway", "g")}).Run(ctx, f)
	for _, o := range f.got {
		desired = append(desired, o.Desired)
	}
	return desired
}

func newFixture() *fixture {
	return &fixture{Store: porttest.NewStore(), now: time.Unix(1e9, 0), requests: 12}
}

func expect(t *testing.T, what string, got []int, want ...int) {
	t.Helper()
	if !slices.Equal(got, want) {
		t.Errorf("%s: the platform was sent %v, want %v", what, got, want)
	}
}

// TestAnswerLost guards against an order that is not repeated, or replaced while it may still take effect, after its
// answer was lost.
func TestAnswerLost(t *testing.T) {
	f := newFixture()
	f.answers = []error{port.ErrUnknownOutcome, port.ErrUnknownOutcome, port.ErrUnavailable}
	expect(t, "answers lost", f.tenure(20), 25, 25, 25, 25)
	f.answers, f.requests = []error{port.ErrUnknownOutcome, port.ErrUnknownOutcome, port.ErrUnknownOutcome}, 1
	expect(t, "load falls", f.tenure(45), 20, 20, 20, 20)
}

// TestHolderChanges guards against an order that is lost because its holder wrote it but could not send it, or that each
// further holder repeats.
func TestHolderChanges(t *testing.T) {
	f := newFixture()
	f.callErr = duty.ErrTenureOver
	expect(t, "holder that may not send", f.tenure(15))
	f.callErr = nil
	expect(t, "next holder", f.tenure(9), 25)
	expect(t, "third holder", f.tenure(9))
}

// TestUnwrittenOrdersAreNotSent guards against an order that no other holder knows of, or that the store lost.
func TestUnwrittenOrdersAreNotSent(t *testing.T) {
	f := newFixture()
	f.commitErr = port.ErrUnknownOutcome
	expect(t, "writes without answer", f.tenure(20))
	f.commitErr, f.callErr = nil, duty.ErrTenureOver
	f.tenure(15)
	f.era, f.callErr = 1, nil
	expect(t, "store restored", f.tenure(9))
	f.Put(RecordKey, `[{"service":"s","domain":"a","desired":1e9,"era":1},{"service":"s","domain":"b","desired":30,"era":1},5]`)
	expect(t, "bad orders in the record", f.tenure(2), 30)
}
