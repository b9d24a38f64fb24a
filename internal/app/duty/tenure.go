package duty

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/masticwing/masticwing/internal/app/supervise"
	core "github.com/masticwing/masticwing/internal/core/duty"
	"github.com/masticwing/masticwing/internal/port"
)

// tenureLoop runs the works while this process may act, until ctx ends.
func (h *Holder) tenureLoop(ctx context.Context) {
	end := func() {}
	var token int64
	var ended chan struct{}
	defer func() {
		end()
		if ended != nil {
			<-ended
		}
	}()
	for active := false; ctx.Err() == nil; {
		var may bool
		var now, until time.Duration
		var current int64
		h.with(func(m *core.Machine, t time.Duration) {
			now = t
			current, until, may = m.MaySend(t)
		})
		if active && (!may || current != token) {
			end()
			active = false
			h.d.Metrics.Gauge("duty_holder", 0)
			h.d.Log.StateChange("stopped performing the singleton duties", port.F("token", token))
		}
		if may && !active {
			active, token = true, current
			h.d.Metrics.Gauge("duty_holder", 1)
			h.d.Log.StateChange("performing the singleton duties", port.F("token", token))
			end, ended = h.begin(ctx, token, ended)
		}
		pause := tenureInterval
		if active {
			pause = min(pause, until-now)
		} else if _, holding := h.holding(); !holding {
			pause = idleInterval
		}
		h.wait(ctx, h.tenureDue, pause)
	}
}

func (h *Holder) holding() (r core.Record, ok bool) {
	h.with(func(m *core.Machine, _ time.Duration) { r, ok = m.Holding() })
	return r, ok
}

// begin runs the works once those of the tenure before, which close previous, have returned.
func (h *Holder) begin(ctx context.Context, token int64, previous chan struct{}) (end context.CancelFunc, ended chan struct{}) {
	run := ctx
	ctx, cancel := context.WithCancel(run)
	ended = make(chan struct{})
	group := supervise.NewGroup(h.d.Clock, h.d.Log, h.d.Metrics)
	group.Go(ctx, "duties", func(context.Context) {
		defer close(ended)
		if previous != nil {
			<-previous
		}
		works := supervise.NewGroup(h.d.Clock, h.d.Log, h.d.Metrics)
		for _, w := range h.works {
			t := &tenure{h: h, run: run, ctx: ctx, duty: w.Name(), token: token}
			works.Go(ctx, "duty_"+w.Name(), func(ctx context.Context) { w.Run(ctx, t) })
		}
		works.Wait()
	})
	return cancel, ended
}

// tenure implements Tenure for one duty.
type tenure struct {
	h *Holder
	// run ends with the planned stop, and ctx with the tenure.
	run, ctx context.Context
	duty     string
	token    int64
}

var _ Tenure = (*tenure)(nil)

// check returns ErrTenureOver unless a call may be sent now that needs the time left.
func (t *tenure) check(left time.Duration) (err error) {
	if t.ctx.Err() != nil {
		return ErrTenureOver
	}
	t.h.with(func(m *core.Machine, now time.Duration) {
		if token, until, ok := m.MaySend(now); !ok || token != t.token || until-now < left {
			err = ErrTenureOver
		}
	})
	return err
}

// Call implements Tenure.
func (t *tenure) Call(ctx context.Context, f func(ctx context.Context, c port.DutyCredentials) error) error {
	err := t.call(ctx, f)
	t.h.d.Metrics.Count("duty_calls_total", 1, port.Attr{Key: "duty", Value: t.duty}, port.Attr{Key: "outcome", Value: outcomeName(err)})
	return err
}

func (t *tenure) call(ctx context.Context, f func(ctx context.Context, c port.DutyCredentials) error) error {
	t.h.wait(ctx, nil, t.h.rate.reserve(t.h.d.Clock.SinceBoot()))
	if ctx.Err() != nil {
		return ErrTenureOver
	}
	ctx, cancel := t.callContext(ctx)
	defer cancel()
	if err := t.check(minCallTime); err != nil {
		return err
	}
	t.h.with(func(m *core.Machine, _ time.Duration) { m.CallBegan() })
	defer func() {
		t.h.with(func(m *core.Machine, now time.Duration) { m.CallEnded(now) })
		signal(t.h.stepDue)
	}()
	ctx = port.WithSendCheck(ctx, func() error { return t.check(0) })
	return f(ctx, port.DutyCredentials{Holder: t.h.d.Name, Token: t.token})
}

// callContext returns the context of a call, which ends with ctx and with the tenure. A planned stop lets the call go
// on until the time limit of the tenure: given up, it might arrive after a call of the next holder.
func (t *tenure) callContext(ctx context.Context) (context.Context, context.CancelFunc) {
	callCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, func() {
		if t.run.Err() != nil {
			var left time.Duration
			t.h.with(func(m *core.Machine, now time.Duration) {
				_, until, _ := m.MaySend(now)
				left = until - now
			})
			t.h.wait(callCtx, nil, left)
		}
		cancel()
	})
	return callCtx, func() { stop(); cancel() }
}

// outcomeName returns the value of the metric attribute outcome.
func outcomeName(err error) string {
	switch {
	case err == nil:
		return "done"
	case errors.Is(err, ErrTenureOver):
		return "not sent"
	case errors.Is(err, port.ErrUnavailable):
		return "refused"
	case errors.Is(err, port.ErrUnknownOutcome):
		return "unknown"
	}
	return "failed"
}

// Commit implements Tenure.
func (t *tenure) Commit(ctx context.Context, expect []port.Precondition, writes []port.StoreWrite) error {
	if err := t.check(0); err != nil {
		return err
	}
	r, ok := t.h.holding()
	if !ok || r.Token() != t.token {
		return ErrTenureOver
	}
	own := port.Precondition{Key: t.h.d.Prefix + keyHolder, Revision: r.Revision}
	err := t.h.d.Store.Commit(ctx, append([]port.Precondition{own}, expect...), writes)
	switch {
	case t.h.era() != r.Era && err == nil:
		// The condition may have been met by another content of the key.
		return errors.Wrap(port.ErrUnknownOutcome, "the store was restored meanwhile")
	case holderChanged(err, own):
		return ErrTenureOver
	}
	return err
}

// holderChanged reports whether a commit has failed since the key of the holder has changed.
func holderChanged(err error, own port.Precondition) bool {
	var conflict *port.ConflictError
	if !errors.As(err, &conflict) {
		return false
	}
	for _, it := range conflict.Current {
		if it.Key == own.Key {
			return it.Revision != own.Revision
		}
	}
	return true
}

// rateShare is the share of the accepted rate that a holder uses. The rest covers the calls of the holder before
// within the same second.
const rateShare = 0.8

// pacer spreads calls at a rate.
type pacer struct {
	interval time.Duration
	// mu guards next, the earliest time of the next call.
	mu   sync.Mutex
	next time.Duration
}

func newPacer(perSecond float64, now time.Duration) *pacer {
	return &pacer{interval: time.Duration(float64(time.Second) / (perSecond * rateShare)), next: now}
}

// reserve returns how long to wait before the next call.
func (p *pacer) reserve(now time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	at := max(now, p.next)
	p.next = at + p.interval
	return at - now
}
