package loader

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/masticwing/masticwing/internal/adapter/logging"
	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/loadturn"
	"github.com/masticwing/masticwing/internal/core/manifest"
	"github.com/masticwing/masticwing/internal/port"
)

const (
	// recheck bounds the time until a change of the engine is noticed.
	recheck = 250 * time.Millisecond
	// failPause is the pause after a failed step.
	failPause = 200 * time.Millisecond
	// settle is the pause between two looks at an engine that loads.
	settle = 50 * time.Millisecond
)

// lastReport is the newest report of the engine, or none while it is lost.
type lastReport struct {
	mu sync.Mutex
	r  *port.EngineReport
}

func (l *lastReport) set(r *port.EngineReport) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.r = r
}

func (l *lastReport) get() *port.EngineReport {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.r
}

// heldOf returns the newest weights of a report.
func heldOf(r *port.EngineReport) port.HeldWeights {
	var h port.HeldWeights
	for _, x := range r.Held {
		if x.Number > h.Number {
			h = x
		}
	}
	return h
}

// converge brings the engine to the declared weights whenever it holds others.
func (l *Loader) converge(ctx context.Context) {
	for ctx.Err() == nil {
		r := l.seen.get()
		if r == nil || r.Busy {
			l.wait(ctx, recheck)
			continue
		}
		g, ok := l.view.goal(heldOf(r))
		if !ok || heldOf(r).Number >= g.Number {
			l.wait(ctx, recheck)
			continue
		}
		if err := l.change(ctx, g); err != nil && ctx.Err() == nil {
			l.deps.Log.Fault("weights are not loaded yet", err, logging.F("number", g.Number))
			l.sleep(ctx, failPause)
		}
	}
}

// wait returns after news or after d.
func (l *Loader) wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-l.view.changed:
	case <-l.deps.Clock.After(d):
	}
}

var errSuperseded = errors.New("newer weights were declared")

// current returns an error if another goal has come up.
func (l *Loader) current(g goal) error {
	r := l.seen.get()
	if r == nil {
		return errors.New("engine is lost")
	}
	now, ok := l.view.goal(heldOf(r))
	if ok && now.Number > g.Number {
		return errSuperseded
	}
	return nil
}

// change fetches, stages and loads the weights of a goal.
func (l *Loader) change(ctx context.Context, g goal) error {
	start := l.deps.Clock.Now()
	man, err := l.origin.resolve(ctx, g.HeldWeights)
	if err != nil {
		return errors.Wrap(err, "resolving the version")
	}
	id := man.Version()
	l.view.workTowards(id)
	l.weights.Want([]port.WeightsTarget{{Model: g.Model, Version: id}})
	if err := l.fetched(ctx, g, id); err != nil {
		return err
	}
	fetched := l.deps.Clock.Now()
	chunks, err := l.chunks(id, man)
	if err != nil {
		return err
	}
	if err := l.stage(ctx, g, man, chunks); err != nil {
		return err
	}
	staged := l.deps.Clock.Now()
	if err := l.turn(ctx, g); err != nil {
		return err
	}
	if err := l.verify(ctx, g, man, chunks); err != nil {
		return err
	}
	l.deps.Log.State("ordering the engine to load", logging.F("model", string(g.Model)), logging.F("number", g.Number),
		logging.F("fetch_ms", fetched.Sub(start).Milliseconds()), logging.F("stage_ms", staged.Sub(fetched).Milliseconds()),
		logging.F("since_ms", l.deps.Clock.Now().Sub(g.since).Milliseconds()), logging.F("rank", g.rank), logging.F("of", g.count))
	return l.order(ctx, g)
}

// fetched waits until the version is complete.
func (l *Loader) fetched(ctx context.Context, g goal, id fleet.Version) error {
	for {
		if _, _, ok := l.weights.Open(id); ok {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-l.weights.Changed():
		case <-l.deps.Clock.After(recheck):
			if err := l.current(g); err != nil {
				return err
			}
		}
	}
}

// chunks returns the verified chunks of a complete version.
func (l *Loader) chunks(id fleet.Version, man manifest.Manifest) ([][]byte, error) {
	rd, _, ok := l.weights.Open(id)
	if !ok {
		return nil, errors.New("version was released")
	}
	out := make([][]byte, len(man.Chunks))
	for i, c := range man.Chunks {
		out[i] = make([]byte, c.Bytes)
		if _, err := io.ReadFull(rd, out[i]); err != nil {
			return nil, errors.Wrap(err, "reading fetched chunks")
		}
	}
	return out, nil
}

func (l *Loader) stage(ctx context.Context, g goal, man manifest.Manifest, chunks [][]byte) error {
	for i := range man.Chunks {
		if err := l.deps.Engine.WriteChunk(ctx, g.Model, i, chunks[i]); err != nil {
			return err
		}
	}
	return nil
}

// turn waits until the engine may leave service.
func (l *Loader) turn(ctx context.Context, g goal) error {
	if g.now {
		return nil
	}
	at := loadturn.At(g.since, l.set.WeightsBound, g.rank, g.count)
	for {
		left := at.Sub(l.deps.Clock.Now())
		if left <= 0 {
			return nil
		}
		l.sleep(ctx, min(left, recheck))
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err := l.current(g); err != nil {
			return err
		}
	}
}

// verify reads the staged chunks back right before the order, since they may be
// spoilt in the area, and writes those again.
func (l *Loader) verify(ctx context.Context, g goal, man manifest.Manifest, chunks [][]byte) error {
	for i := range man.Chunks {
		const tries = 3
		for n := 0; ; n++ {
			b, err := l.deps.Engine.ReadChunk(ctx, g.Model, i)
			if err != nil {
				return err
			}
			if man.Verify(i, b) == nil {
				break
			}
			if n == tries {
				return errors.Errorf("staged chunk %d stays spoilt", i)
			}
			l.deps.Log.State("staged chunk is spoilt", logging.F("chunk", i), logging.F("number", g.Number))
			if err := l.deps.Engine.WriteChunk(ctx, g.Model, i, chunks[i]); err != nil {
				return err
			}
		}
	}
	return nil
}

// order gives the order and waits until the engine has loaded. An order without
// an answer may have been accepted, so the engine's report decides.
func (l *Loader) order(ctx context.Context, g goal) error {
	r, err := l.deps.Engine.Report(ctx)
	if err != nil {
		return err
	}
	if heldOf(&r).Number >= g.Number {
		return nil
	}
	o := port.StartOrder{HeldWeights: g.HeldWeights, ExpectOrders: r.Orders}
	if g.fenced {
		o.Fence = l.deps.Clock.Now().UnixMilli()
	}
	if err := l.deps.Engine.Start(ctx, o); err != nil {
		return err
	}
	for {
		l.sleep(ctx, settle)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		now, err := l.deps.Engine.Report(ctx)
		if err != nil {
			return err
		}
		l.seen.set(&now)
		if now.Started != r.Started {
			return errors.New("engine has started again")
		}
		if now.Busy {
			continue
		}
		if heldOf(&now).Number < g.Number {
			return errors.New("engine did not load the weights")
		}
		l.deps.Log.State("engine holds the weights", logging.F("model", string(g.Model)), logging.F("number", g.Number))
		return nil
	}
}
