package loader

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/masticwing/masticwing/internal/core/stagecheck"
	"github.com/masticwing/masticwing/internal/port"
)

// loadOrder is an order to load a staged version that the engine may have accepted.
type loadOrder struct {
	*stagedVersion
	// started identifies the run of the engine, and expected is its count of orders before this
	// one.
	started, expected int64
	fenced            bool
	// sentAt is when the order was sent for the first time. acceptedBy is when it was known to be
	// accepted, or zero.
	sentAt, acceptedBy time.Duration
}

// orderLoad orders the engine to load the staged weights and waits until it holds them.
func (l *Loader) orderLoad(ctx context.Context, g goal, s *stagedVersion) error {
	r, err := l.queryEngine(ctx)
	if err != nil {
		return err
	}
	if r.Busy || newestHeld(&r).Number >= s.Number {
		return nil
	}
	o := loadOrder{stagedVersion: s, started: r.Started, expected: r.OrderCount, fenced: g.fenced, sentAt: l.deps.Clock.SinceBoot()}
	if last := l.order; last != nil && last.started == o.started && last.expected == o.expected && last.stagedVersion == s {
		// The engine may accept either, and confirms this one also if it has accepted the other.
		o.sentAt = last.sentAt
	}
	err = l.deps.Engine.LoadStaged(ctx, newOrder(s.ModelWeights, &r, g.fenced))
	switch {
	case err == nil:
		o.acceptedBy = l.deps.Clock.SinceBoot()
	case errors.Is(err, port.ErrOrderRefused):
		return err
	}
	l.order = &o
	if err != nil {
		return err
	}
	return l.confirmOrder(ctx)
}

// settleOrder finds out what became of an order without a response, which may have been accepted or
// may still be: the engine's report decides.
func (l *Loader) settleOrder(ctx context.Context) error {
	if l.order == nil {
		return nil
	}
	r, err := l.queryEngine(ctx)
	switch {
	case err != nil:
		return err
	case r.Started != l.order.started:
		l.order = nil
		return nil
	case r.OrderCount == l.order.expected:
		return nil
	}
	if l.order.acceptedBy == 0 {
		l.order.acceptedBy = l.deps.Clock.SinceBoot()
	}
	return l.confirmOrder(ctx)
}

// confirmOrder waits until the engine has completed the accepted order, and reads the chunks again
// whose check was too old when the engine took them. If it can't be shown that all of them were
// intact, the engine releases the weights: a check can't be kept young enough if the engine or its
// machine is slow or stands still, at the latest while the order is on its way.
func (l *Loader) confirmOrder(ctx context.Context) error {
	o := l.order
	verdict, err := l.checkTaken(ctx, o.stagedVersion, o.sentAt, o.acceptedBy)
	if err != nil {
		return err
	}
	r, err := l.awaitIdle(ctx, o.started)
	if err != nil {
		return err
	}
	held := newestHeld(&r)
	switch {
	case r.Started != o.started:
		l.order = nil
		return errors.New("engine restarted during the load")
	case held != o.ModelWeights:
		l.order = nil
		return errors.New("engine finished the order without loading the weights")
	case verdict == stagecheck.Damaged:
		if err := l.discardHeld(ctx, &r, o.fenced); err != nil {
			return err
		}
		l.order = nil
		return nil
	}
	l.order = nil
	l.intact.set(&r)
	l.deps.Log.StateChange("engine holds the weights", port.F("model", string(o.Model)), port.F("number", o.Number))
	return nil
}

// checkTaken returns the verdict on chunks that the engine took between two times. It reads those
// again on which that depends.
func (l *Loader) checkTaken(ctx context.Context, s *stagedVersion, from, to time.Duration) (stagecheck.Verdict, error) {
	if verdict := s.checks.Taken(from, to); verdict != stagecheck.Unknown {
		return verdict, nil
	}
	err := forChunks(ctx, s.checks.Unchecked(to-stagecheck.MaxAge), func(ctx context.Context, i int) error {
		_, err := l.readBack(ctx, s, i)
		if err == nil {
			return nil
		}
		if missing, e := l.isMissing(ctx, s, i); e != nil || !missing {
			return err
		}
		s.checks.RecordRead(i, l.deps.Clock.SinceBoot(), false)
		return nil
	})
	return s.checks.Taken(from, to), err
}

// isMissing reports whether a chunk is no longer in the staging area.
func (l *Loader) isMissing(ctx context.Context, s *stagedVersion, i int) (bool, error) {
	staged, err := l.deps.Engine.StagedChunks(ctx, s.Model)
	return err == nil && !slices.Contains(staged, i), err
}

// awaitIdle waits until the engine has no order in progress or has restarted.
func (l *Loader) awaitIdle(ctx context.Context, started int64) (port.EngineReport, error) {
	for {
		r, err := l.queryEngine(ctx)
		if err != nil || !r.Busy || r.Started != started {
			return r, err
		}
		l.sleep(ctx, loadPollInterval)
		if ctx.Err() != nil {
			return r, ctx.Err()
		}
	}
}

// queryEngine returns the engine's current report.
func (l *Loader) queryEngine(ctx context.Context) (port.EngineReport, error) {
	r, err := l.deps.Engine.Report(ctx)
	if err == nil {
		l.engineReport.set(&r)
	}
	return r, err
}

// discardHeld orders the engine to release weights that may be damaged, and breaks off the requests
// on them.
func (l *Loader) discardHeld(ctx context.Context, r *port.EngineReport, fenced bool) error {
	held := newestHeld(r)
	l.staged = nil
	l.deps.Metrics.Count("loader_discards_total", 1)
	l.deps.Log.Failure("weights may be damaged and are released", nil, port.F("number", held.Number), port.F("orders", r.OrderCount))
	o := newOrder(held, r, fenced)
	o.Abort = true
	if err := l.deps.Engine.Withdraw(ctx, o); err != nil {
		return err
	}
	released := *r
	released.Busy = true
	l.engineReport.set(&released)
	return nil
}

// heldCheckRetryDelay is the pause after the weights held could not be checked.
const heldCheckRetryDelay = 2 * time.Second

// checkHeld reads the staged chunks of weights that the engine has loaded without this process: an
// earlier one may have been lost before it knew what the engine took. It returns whether the
// engine's state may have changed. Chunks that turned bad since the load can't be told from those
// that the engine took so, which costs a needless load at most.
func (l *Loader) checkHeld(ctx context.Context, r *port.EngineReport, held port.ModelWeights) bool {
	if held.Number == 0 || l.intact.number(r) == held.Number || l.deps.Clock.Now().Before(l.heldCheckAt) {
		return false
	}
	if l.restoreIntact(ctx, r) {
		return true
	}
	err := l.confirmHeld(ctx, r, held)
	if err != nil {
		l.heldCheckAt = l.deps.Clock.Now().Add(heldCheckRetryDelay)
		if ctx.Err() == nil {
			l.deps.Log.Failure("weights held are not verified yet", err, port.F("number", held.Number))
		}
	}
	return err == nil
}

func (l *Loader) confirmHeld(ctx context.Context, r *port.EngineReport, held port.ModelWeights) error {
	v, err := l.resolveHeld(ctx, held)
	if err != nil {
		return err
	}
	s := &stagedVersion{v, stagecheck.New(len(v.man.Chunks))}
	now := l.deps.Clock.SinceBoot()
	verdict, err := l.checkTaken(ctx, s, now, now)
	if err != nil {
		return err
	}
	current, err := l.queryEngine(ctx)
	if err != nil || current.Busy || current.Started != r.Started || current.OrderCount != r.OrderCount {
		return err
	}
	if verdict == stagecheck.Damaged {
		g, _ := l.view.goal(held)
		return l.discardHeld(ctx, &current, g.fenced)
	}
	l.intact.set(&current)
	l.deps.Log.StateChange("weights held are intact", port.F("model", string(held.Model)), port.F("number", held.Number))
	return nil
}

// resolveHeld returns the manifest of weights that the engine holds.
func (l *Loader) resolveHeld(ctx context.Context, w port.ModelWeights) (resolvedVersion, error) {
	if v, ok := l.origin.lookupNumber(w); ok {
		return v, nil
	}
	man, ok := l.chunks.FindManifest(ctx, versionName(w))
	if !ok {
		var err error
		if man, err = l.origin.resolveManifest(ctx, w); err != nil {
			return resolvedVersion{}, err
		}
	}
	return resolvedVersion{w, man.Version(), man}, nil
}
