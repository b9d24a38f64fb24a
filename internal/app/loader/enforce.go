package loader

import (
	"context"
	"time"

	"github.com/masticwing/masticwing/internal/app/chunks"
	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/weightsbound"
	"github.com/masticwing/masticwing/internal/port"
)

const (
	// enforceInterval bounds the time until a change of the declarations or of the engine's
	// state is noticed.
	enforceInterval = 100 * time.Millisecond
	// enforceRetryDelay is the pause after an order that failed.
	enforceRetryDelay = 50 * time.Millisecond
)

// enforceBound takes the engine's weights out of service before newer declared ones must be in
// use, until ctx ends. Gateways decide earlier which requests they send, and can't know when the
// engine begins them: that depends on the link and on the engine's queue.
func (l *Loader) enforceBound(ctx context.Context) {
	for ctx.Err() == nil {
		l.sleep(ctx, l.enforceOnce(ctx))
	}
}

// enforceOnce withdraws the engine's weights if that is due, and returns the time until the next
// check.
func (l *Loader) enforceOnce(ctx context.Context) time.Duration {
	r := l.engineReport.get()
	if r == nil || r.Busy || len(r.Held) == 0 {
		return enforceInterval
	}
	held := newestHeld(r)
	until, limited := l.view.untilWithdrawal(held)
	switch {
	case !limited:
		return enforceInterval
	case until > 0:
		return min(until, enforceInterval)
	}
	if err := l.withdraw(ctx, held, until); err != nil {
		if ctx.Err() == nil {
			l.deps.Log.Failure("weights are not withdrawn yet", err, port.F("number", held.Number))
		}
		return enforceRetryDelay
	}
	return enforceInterval
}

// withdraw orders the engine to release weights, unless its state has changed since they were
// reported. The engine then admits no request, also none that waits there. If the bound may be
// over already, the order also breaks off the requests in the engine, since any of them may not
// have begun: the machine may have stood still with them.
func (l *Loader) withdraw(ctx context.Context, held port.ModelWeights, until time.Duration) error {
	r, err := l.deps.Engine.Report(ctx)
	if err != nil {
		return err
	}
	l.engineReport.set(&r)
	if r.Busy || newestHeld(&r) != held {
		return nil
	}
	g, _ := l.view.goal(held)
	o := newOrder(held, &r, g.fenced)
	o.Abort = l.view.boundIsOver(held)
	if err := l.deps.Engine.Withdraw(ctx, o); err != nil {
		return err
	}
	r.Busy = true
	l.engineReport.set(&r)
	l.deps.Metrics.Count("loader_withdrawals_total", 1)
	l.deps.Log.StateChange("weights withdrawn from service", port.F("model", string(held.Model)), port.F("number", held.Number),
		port.F("declared", g.Number), port.Millis("since_ms", l.since(g.declaredAt)), port.Millis("late_ms", -until),
		port.F("running", r.Running), port.F("waiting", r.Waiting), port.F("aborted", o.Abort))
	return nil
}

// mayLoad reports whether weights would be in use for long enough to load them.
func (l *Loader) mayLoad(w port.ModelWeights) bool {
	until, limited := l.view.untilWithdrawal(w)
	r := l.engineReport.get()
	return !limited || weightsbound.WorthLoading(until, r != nil && len(r.Held) > 0)
}

// uses returns for how long engines may use the version with a name, and for how long this engine may
// use the weights that it holds.
func (l *Loader) uses(name fleet.Version) chunks.Uses {
	var out chunks.Uses
	if w, ok := l.origin.weightsNamed(name); ok {
		out.Until, out.Limited = l.view.untilWithdrawal(w)
	}
	r := l.engineReport.get()
	if r == nil || len(r.Held) == 0 {
		return out
	}
	if left, limited := l.view.untilWithdrawal(newestHeld(r)); limited {
		out.Served = max(0, left)
	}
	return out
}
