package duty

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/masticwing/masticwing/internal/app/supervise"
	core "github.com/masticwing/masticwing/internal/core/duty"
	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/port"
)

const (
	// callTimeout bounds the store calls of the election, so that a renewal without an answer does not
	// delay the next one.
	callTimeout = 600 * time.Millisecond
	// releaseTimeout bounds the release of the lease in a planned stop. Without an answer the lease ends
	// by itself.
	releaseTimeout = 300 * time.Millisecond
	// idleInterval is the time between two looks at the candidates and the era while nothing happens.
	idleInterval = time.Second
	// tenureInterval is the time between two checks of the end of the tenure. It is below core.Params.Margin,
	// and timers may be late after a suspension of the VM.
	tenureInterval = 100 * time.Millisecond
	// minCallTime is the time that must be left for a call to the platform, which mostly takes a few
	// milliseconds.
	minCallTime = 100 * time.Millisecond
)

// Deps holds what a Holder uses.
type Deps struct {
	Store port.Store
	// Prefix is the prefix of the keys of the duties.
	Prefix string
	// Name and Domain are those of this process.
	Name   string
	Domain fleet.Domain
	// Candidates returns the names of the candidates in the order of their ranks.
	Candidates func() []string
	Clock      port.BootClock
	Rand       port.Rand
	Metrics    port.Metrics
	Log        port.Log
}

// Holder takes part in the election of the holder of the singleton duties, and performs them while this
// process is the holder.
type Holder struct {
	d     Deps
	works []Work
	rate  *pacer

	// mu guards the fields below. It is not held during calls.
	mu      sync.Mutex
	machine *core.Machine
	watched int64
	// cancelWatch ends the watch in progress, which began at the revision watched.
	cancelWatch context.CancelFunc
	// noHolderSince is the time since which the process sees no holder, or 0.
	noHolderSince time.Duration
	lastHolder    core.Record

	// stepDue is signaled when another step of the election may be due, tenureDue when the tenure may
	// have begun or ended, and watchDue when the watch may begin.
	stepDue, tenureDue, watchDue chan struct{}
}

// NewHolder returns a Holder that performs works.
func NewHolder(s Settings, d Deps, works []Work) *Holder {
	self := core.Holder{Name: d.Name, Domain: d.Domain, Incarnation: d.Rand.Uint64()}
	return &Holder{
		d: d, works: works, rate: newPacer(s.CallsPerSecond, d.Clock.SinceBoot()),
		machine: core.New(core.DefaultParams(s.ReturnInterval), self, d.Clock.SinceBoot()),
		stepDue: make(chan struct{}, 1), tenureDue: make(chan struct{}, 1), watchDue: make(chan struct{}, 1),
	}
}

// Run takes part in the election until ctx ends. Then it ends the works, waits for their calls to the platform
// and releases the duties.
func (h *Holder) Run(ctx context.Context) {
	// The election goes on until the lease is released.
	electionCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	loops := supervise.NewGroup(h.d.Clock, h.d.Log, h.d.Metrics)
	defer loops.Wait()
	loops.Go(ctx, "duty_tenure", h.tenureLoop)
	loops.Go(ctx, "duty_watch", h.watchLoop)
	var election conc.WaitGroup
	defer election.Wait()
	election.Go(func() {
		defer stop()
		group := supervise.NewGroup(h.d.Clock, h.d.Log, h.d.Metrics)
		group.Go(electionCtx, "duty_election", h.electionLoop)
		group.Wait()
	})
	<-ctx.Done()
	h.with(func(m *core.Machine, _ time.Duration) { m.Stop() })
	signal(h.stepDue)
}

// with runs f on the state of the election. f must not block.
func (h *Holder) with(f func(m *core.Machine, now time.Duration)) {
	now := h.d.Clock.SinceBoot()
	era := h.era()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.machine.SetEra(era)
	f(h.machine, now)
}

// era returns the era of the store, or 0 if it states none.
func (h *Holder) era() int64 {
	if s, ok := h.d.Store.(port.StoreEra); ok {
		return s.Era()
	}
	return 0
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// wait waits for c, for d, or until ctx ends.
func (h *Holder) wait(ctx context.Context, c <-chan struct{}, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-c:
	case <-h.d.Clock.After(d):
	}
}

// electionLoop performs the steps of the election until ctx ends or a planned stop is complete.
func (h *Holder) electionLoop(ctx context.Context) {
	for ctx.Err() == nil {
		candidates := h.d.Candidates()
		var a core.Action
		var now time.Duration
		var stopped bool
		h.with(func(m *core.Machine, t time.Duration) {
			m.SetCandidates(candidates)
			a, now, stopped = m.Next(t), t, m.Stopped()
		})
		switch {
		case stopped:
			return
		case a.Step == core.Wait:
			pause := idleInterval
			if a.At > 0 {
				pause = min(pause, a.At-now)
			}
			h.wait(ctx, h.stepDue, pause)
		default:
			h.perform(ctx, a)
		}
		h.changed()
	}
}

// perform performs a step and records its result. The era is read after the answer: if it has risen, the result
// belongs to a store that does not exist any more.
func (h *Holder) perform(ctx context.Context, a core.Action) {
	timeout := callTimeout
	if a.Step == core.Release {
		timeout = releaseTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	switch a.Step {
	case core.List:
		l, err := h.list(ctx)
		h.with(func(m *core.Machine, now time.Duration) { m.Listed(now, a, outcome(err), l) })
	case core.Grant:
		lease, err := h.d.Store.Grant(ctx, core.DefaultParams(0).TTL)
		h.with(func(m *core.Machine, now time.Duration) { m.Granted(now, a, outcome(err), string(lease)) })
	case core.Elect:
		err := h.elect(ctx, a)
		h.with(func(m *core.Machine, now time.Duration) { m.Elected(now, a, outcome(err)) })
	case core.Renew:
		err := h.d.Store.KeepAlive(ctx, port.LeaseID(a.Lease))
		h.with(func(m *core.Machine, _ time.Duration) { m.Renewed(a, outcome(err)) })
	case core.Release:
		// Without an answer the lease ends by itself.
		_ = h.d.Store.Revoke(ctx, port.LeaseID(a.Lease))
		h.with(func(m *core.Machine, _ time.Duration) { m.Released() })
	}
}

func outcome(err error) core.Outcome {
	switch {
	case err == nil:
		return core.Done
	case errors.Is(err, port.ErrNotFound):
		return core.Gone
	case errors.Is(err, port.ErrConflict):
		return core.Refused
	}
	return core.Failed
}

// changed wakes the other loops after a step or a change, and reports changes of the holder.
func (h *Holder) changed() {
	var report func()
	h.with(func(m *core.Machine, now time.Duration) {
		after, ok := m.Watch()
		if h.cancelWatch != nil && (!ok || after < h.watched) {
			// The watch waits for changes after a revision that the store has not reached any more.
			h.cancelWatch()
		}
		report = h.noteHolder(m, now)
	})
	if report != nil {
		report()
	}
	signal(h.tenureDue)
	signal(h.watchDue)
}

// noteHolder records the holder that this process sees, and returns a function that reports a change.
func (h *Holder) noteHolder(m *core.Machine, now time.Duration) func() {
	r, ok := m.Holder()
	_, known := m.Watch()
	switch {
	case !ok:
		if known && h.noHolderSince == 0 {
			h.noHolderSince = now
		}
		return nil
	case r == h.lastHolder && h.noHolderSince == 0:
		return nil
	}
	vacant := time.Duration(0)
	if h.noHolderSince > 0 {
		vacant = now - h.noHolderSince
	}
	same := r == h.lastHolder
	h.noHolderSince, h.lastHolder = 0, r
	return func() {
		if same {
			return
		}
		h.d.Metrics.Count("duty_holder_changes_total", 1)
		h.d.Metrics.Seconds("duty_vacant_seconds", vacant)
		h.d.Log.StateChange("holder of the singleton duties", port.F("holder", r.Name), port.F("holder_domain", r.Domain),
			port.F("token", r.Token()), port.Millis("vacant_ms", vacant))
	}
}

// watchLoop watches the key of the holder until ctx ends. It does not watch the other keys of the duties, which
// change with each report.
func (h *Holder) watchLoop(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		era := h.era()
		watchCtx, cancel := context.WithCancel(ctx)
		var after int64
		var ok bool
		h.with(func(m *core.Machine, _ time.Duration) {
			after, ok = m.Watch()
			h.watched, h.cancelWatch = after, cancel
		})
		if !ok {
			cancel()
			h.wait(ctx, h.watchDue, idleInterval)
			continue
		}
		began := h.d.Clock.SinceBoot()
		changes, at, err := h.d.Store.Changes(watchCtx, h.d.Prefix+keyHolder, after, core.WatchTime(len(h.d.Candidates())))
		cut := watchCtx.Err() != nil
		cancel()
		h.with(func(m *core.Machine, now time.Duration) {
			h.cancelWatch = nil
			switch {
			case errors.Is(err, port.ErrHistoryGone):
				m.HistoryGone(era)
			case err == nil:
				applyChanges(m, now, era, changes, h.d.Prefix)
				m.WatchedTo(era, at)
			}
		})
		signal(h.stepDue)
		h.changed()
		p := core.DefaultParams(0)
		switch failures++; {
		case err != nil && !cut:
			h.wait(ctx, nil, min(p.MinRetry<<min(failures, 8), p.MaxRetry))
		case err == nil && len(changes) == 0 && h.d.Clock.SinceBoot()-began < p.MinRetry:
			// The store did not wait.
			h.wait(ctx, nil, p.MinRetry)
		case err == nil:
			failures = 0
		}
	}
}

func applyChanges(m *core.Machine, now time.Duration, era int64, changes []port.StoreChange, prefix string) {
	for _, c := range changes {
		if c.Key != prefix+keyHolder {
			continue
		}
		r := core.Record{}
		if !c.Removed {
			r = decodeRecord(c.StoreItem)
		}
		m.Changed(now, era, r, c.Revision)
	}
}
