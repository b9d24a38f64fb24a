package usage

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/masticwing/masticwing/internal/app/duty"
	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/usage"
	"github.com/masticwing/masticwing/internal/port"
)

const (
	// passInterval is the time between two looks for windows to report. A window is decided that late at
	// most.
	passInterval = 200 * time.Millisecond
	// callTimeout bounds a call to the platform, and storeTimeout one to the store, so that a silent
	// connection is not waited for until the tenure ends.
	callTimeout  = 2 * time.Second
	storeTimeout = time.Second
	// minStorePause and maxStorePause limit the pause after a failed call to the store, which doubles.
	minStorePause = 250 * time.Millisecond
	maxStorePause = 2 * time.Second
	// compareTime is the time after the start of a process after which it reports although its clock was not
	// compared: fewer than usage.MinClocks gateways are heard.
	compareTime = 4 * time.Second
	// fenceSuffix is appended to the key of the reports. Each write of the reports has the condition that this
	// key is unchanged, and a write of it keeps earlier writes of the reports from taking effect late.
	fenceSuffix = "_fence"
)

// ReporterDeps holds the ports that a Reporter uses.
type ReporterDeps struct {
	Store port.Store
	API   port.DutyAPI
	// Key is the key of the store that holds the reports.
	Key string
}

// Reporter reports usage while this process is the holder of the duties. It implements duty.Work. Its state
// belongs to the one call of Run at a time.
type Reporter struct {
	exchange *Exchange
	deps     ReporterDeps
	book     *usage.Book
	// loaded is set while the book has what the store holds, and no earlier write may take effect late.
	loaded bool
	// fenceDue is set if the outcome of a write in this tenure is unknown.
	fenceDue bool
	// fenceRevision is that of the fence key, or zero if it is absent.
	fenceRevision int64
	storePause    time.Duration
	storeRetryAt  time.Duration
}

var _ duty.Work = (*Reporter)(nil)

// NewReporter returns the duty that reports what the gateways of an exchange count.
func NewReporter(e *Exchange, d ReporterDeps) *Reporter {
	return &Reporter{exchange: e, deps: d, book: usage.NewBook(e.length, e.due)}
}

// Name implements duty.Work.
func (r *Reporter) Name() string { return duty.UsageReports }

// outcome is that of a call to the platform.
type outcome struct {
	window int64
	err    error
}

// Run implements duty.Work.
func (r *Reporter) Run(ctx context.Context, t duty.Tenure) {
	var calls conc.WaitGroup
	outcomes := make(chan outcome)
	inFlight := 0
	defer calls.Wait()
	defer func() {
		for ; inFlight > 0; inFlight-- {
			r.record(<-outcomes)
		}
	}()
	r.begin()
	for ctx.Err() == nil {
		for _, rec := range r.pass(ctx, t) {
			inFlight++
			calls.Go(func() {
				o := outcome{rec.Window, errors.New("the call has ended with a panic")}
				defer func() { outcomes <- o }()
				o.err = r.call(ctx, t, rec)
			})
		}
		select {
		case <-ctx.Done():
		case o := <-outcomes:
			inFlight--
			r.record(o)
		case <-r.exchange.deps.Clock.After(passInterval):
		}
	}
}

// begin prepares for a tenure. Writes of earlier ones can't take effect any more, since each has the condition
// that its writer is the holder.
func (r *Reporter) begin() {
	r.loaded, r.fenceDue, r.storePause, r.storeRetryAt = false, false, 0, 0
}

// pass decides windows and stores them, and returns those to send now.
func (r *Reporter) pass(ctx context.Context, t duty.Tenure) []usage.Record {
	e := r.exchange
	sinceBoot := e.deps.Clock.SinceBoot()
	now := e.clock.Now(sinceBoot)
	if !e.clock.Compared() && sinceBoot < e.startedAt+compareTime {
		return nil
	}
	if sinceBoot >= r.storeRetryAt {
		r.recordStoreCall(r.store(ctx, t, now), sinceBoot)
	}
	if !r.loaded {
		return nil
	}
	for _, w := range r.book.GiveUp(now) {
		e.deps.Metrics.Count("gateway_usage_windows_given_up_total", 1)
		e.deps.Log.Failure("usage window given up", nil, port.F("window", w))
	}
	e.deps.Metrics.Gauge("gateway_usage_unconfirmed_windows", float64(r.book.Unconfirmed(now)))
	return r.book.Sends(sinceBoot, now)
}

// store brings the book and the store in line.
func (r *Reporter) store(ctx context.Context, t duty.Tenure, now time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if r.fenceDue {
		if err := r.fence(ctx, t); err != nil {
			return err
		}
	}
	if !r.loaded {
		if err := r.load(ctx, now); err != nil {
			return err
		}
	}
	r.decide(now)
	s, due := r.book.Unstored()
	if !due {
		return nil
	}
	value, err := encodeStored(s)
	if err != nil {
		return err
	}
	err = t.Commit(ctx, r.fenced(), []port.StoreWrite{{Key: r.deps.Key, Value: value}})
	switch {
	case err == nil:
		r.book.MarkStored(s)
	case errors.Is(err, duty.ErrTenureOver), errors.Is(err, port.ErrUnavailable):
		// Nothing was written.
	case errors.Is(err, port.ErrConflict):
		r.loaded = false
	default:
		r.fenceDue, r.loaded = true, false
	}
	return err
}

func (r *Reporter) fenced() []port.Precondition {
	return []port.Precondition{{Key: r.deps.Key + fenceSuffix, Revision: r.fenceRevision}}
}

// fence makes the condition of earlier writes false. Its own outcome may be unknown: the next listing shows the
// fence's revision, and a fence that takes effect after that only makes the next write fail.
func (r *Reporter) fence(ctx context.Context, t duty.Tenure) error {
	err := t.Commit(ctx, r.fenced(), []port.StoreWrite{{Key: r.deps.Key + fenceSuffix, Value: []byte("{}")}})
	switch {
	case err == nil:
		r.fenceDue = false
		return nil
	case errors.Is(err, port.ErrConflict):
		// An earlier attempt has taken effect.
		r.fenceDue = false
		return nil
	}
	return errors.Wrap(err, "ending writes with an unknown outcome")
}

// load reads what the store holds.
func (r *Reporter) load(ctx context.Context, now time.Duration) error {
	items, _, err := r.deps.Store.List(ctx, r.deps.Key)
	if err != nil {
		return errors.Wrap(err, "reading the usage reports")
	}
	var stored usage.Stored
	r.fenceRevision = 0
	for _, it := range items {
		switch it.Key {
		case r.deps.Key + fenceSuffix:
			r.fenceRevision = it.Revision
		case r.deps.Key:
			if stored, err = decodeStored(it.Value); err != nil {
				// What was reported of earlier windows is not known.
				r.exchange.deps.Log.Failure("usage reports in the store can't be read", err)
				stored = usage.Stored{Floor: usage.WindowAt(now, r.exchange.length)}
			}
		}
	}
	var era int64
	if s, ok := r.deps.Store.(port.StoreEra); ok {
		era = s.Era()
	}
	r.book.Load(stored, era, now)
	r.loaded = true
	return nil
}

// decide fixes the counts of the windows that are to be reported.
func (r *Reporter) decide(now time.Duration) {
	e := r.exchange
	gateways := e.deps.Recipients().Gateways
	decisions := r.book.Decide(now, usage.Knowledge{
		Since:   now - (e.deps.Clock.SinceBoot() - e.startedAt),
		Missing: func(through time.Duration) int { return e.totals.Missing(gateways, through) },
		Window:  e.totals.Window,
	})
	for _, d := range decisions {
		if d.Missing > 0 {
			e.deps.Metrics.Count("gateway_usage_incomplete_windows_total", 1)
			e.deps.Log.StateChange("usage window lacks gateways", port.F("window", d.Window), port.F("missing", d.Missing), port.F("gateways", len(gateways)))
		}
	}
}

// recordStoreCall sets the pause after a call to the store.
func (r *Reporter) recordStoreCall(err error, sinceBoot time.Duration) {
	if err == nil {
		r.storePause, r.storeRetryAt = 0, 0
		return
	}
	if r.storePause == 0 && !errors.Is(err, duty.ErrTenureOver) {
		r.exchange.deps.Log.Failure("usage reports are not stored", err)
	}
	r.storePause = min(max(minStorePause, 2*r.storePause), maxStorePause)
	r.storeRetryAt = sinceBoot + r.storePause
}

// call sends the report of a window.
func (r *Reporter) call(ctx context.Context, t duty.Tenure, rec usage.Record) error {
	report := port.UsageReport{Window: rec.Window, Counts: rec.Counts}
	if report.Counts == nil {
		report.Counts = map[fleet.Customer]int64{}
	}
	return t.Call(ctx, func(ctx context.Context, c port.DutyCredentials) error {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		return r.deps.API.ReportUsage(ctx, c, report)
	})
}

// record records the outcome of a call.
func (r *Reporter) record(o outcome) {
	e := r.exchange
	sinceBoot := e.deps.Clock.SinceBoot()
	if o.err == nil {
		after := r.book.Confirm(o.window, e.clock.Now(sinceBoot))
		e.deps.Metrics.Count("gateway_usage_windows_confirmed_total", 1)
		e.deps.Metrics.Seconds("gateway_usage_confirmed_seconds", after)
		e.deps.Log.StateChange("usage window reported", port.F("window", o.window), port.Millis("after_ms", after))
		return
	}
	pause, first := r.book.Fail(o.window, sinceBoot)
	if errors.Is(o.err, duty.ErrTenureOver) {
		return
	}
	e.deps.Metrics.Count("gateway_usage_retries_total", 1)
	if !first {
		return
	}
	e.deps.Log.Failure("usage window is not reported yet", o.err, port.F("window", o.window), port.Millis("retry_ms", pause))
}
