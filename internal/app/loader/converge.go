package loader

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/masticwing/masticwing/internal/adapter/logging"
	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/loadschedule"
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
func heldOf(r *port.EngineReport) port.ModelWeights {
	var h port.ModelWeights
	for _, x := range r.Held {
		if x.Number > h.Number {
			h = x
		}
	}
	return h
}

// fetchDeclared makes the fetcher work towards the newest weights as soon as they
// are declared, also if the engine holds them already or loads others: loaders of
// engines that are added or start again fetch from this one, not from the origin.
func (l *Loader) fetchDeclared(ctx context.Context) {
	var last port.ModelWeights
	for ctx.Err() == nil {
		var held port.ModelWeights
		r := l.seen.get()
		if r != nil {
			held = heldOf(r)
		}
		g, ok := l.view.goal(held)
		// Without its engine a loader fetches only what is declared now, which
		// others wait for. The rest may lie in the engine's area.
		if !ok || g.ModelWeights == last || r == nil && !g.fresh {
			l.wait(ctx, l.view.declaredNews, recheck)
			continue
		}
		if err := l.want(ctx, g); err != nil {
			l.deps.Log.Fault("version can't be resolved", err, logging.F("number", g.Number))
			l.sleep(ctx, failPause)
			continue
		}
		last = g.ModelWeights
	}
}

// want resolves a version and starts to fetch it.
func (l *Loader) want(ctx context.Context, g goal) error {
	name := versionName(g.ModelWeights)
	man, ok := l.chunks.FindManifest(ctx, name)
	if !ok {
		var err error
		if man, err = l.origin.resolve(ctx, g.ModelWeights); err != nil {
			return err
		}
	}
	id := man.Version()
	l.origin.remember(namedVersion{g.ModelWeights, id, man})
	l.chunks.SetVersion(name, id, man)
	if g.staged && l.seen.get() != nil {
		l.reuse(ctx, g, id)
	}
	l.deps.Log.State("fetching weights", logging.F("number", g.Number), logging.F("chunks", len(man.Chunks)), logging.F("from_origin", !ok))
	return nil
}

// converge brings the engine to the newest complete weights, in its turn.
func (l *Loader) converge(ctx context.Context) {
	for ctx.Err() == nil {
		r := l.seen.get()
		if r == nil || r.Busy {
			l.sleep(ctx, recheck)
			continue
		}
		held := heldOf(r)
		g, ok := l.view.goal(held)
		if !ok || held.Number >= g.Number || !l.due(g) {
			l.sleep(ctx, turnCheck)
			continue
		}
		v, ok := l.origin.newest(g.Model, held.Number, l.complete)
		if !ok {
			l.sleep(ctx, turnCheck)
			continue
		}
		if err := l.load(ctx, g, v); err != nil && ctx.Err() == nil {
			l.deps.Log.Fault("weights are not loaded yet", err, logging.F("number", v.Number))
			l.sleep(ctx, failPause)
		}
	}
}

// turnCheck is the pause between two looks at the turn of the engine.
const turnCheck = 100 * time.Millisecond

// due reports whether it is the engine's turn to leave service.
func (l *Loader) due(g goal) bool {
	return g.now || !l.deps.Clock.Now().Before(loadschedule.ChangeTime(g.since, l.set.WeightsBound, g.rank, g.count))
}

// complete reports whether all chunks of a version are there.
func (l *Loader) complete(id fleet.Version) bool {
	select {
	case <-l.chunks.Completed(id):
		return true
	default:
		return false
	}
}

// wait returns after news or after d.
func (l *Loader) wait(ctx context.Context, news <-chan struct{}, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-news:
	case <-l.deps.Clock.After(d):
	}
}

// load stages a complete version and orders the engine to load it.
func (l *Loader) load(ctx context.Context, g goal, v namedVersion) error {
	start := l.deps.Clock.Now()
	if err := l.stage(ctx, v); err != nil {
		return err
	}
	if err := l.verify(ctx, v); err != nil {
		return err
	}
	l.deps.Log.State("ordering the engine to load", logging.F("model", string(v.Model)), logging.F("number", v.Number),
		logging.F("declared", g.Number), logging.Millis("stage_ms", l.deps.Clock.Now().Sub(start)),
		logging.Millis("since_ms", start.Sub(g.since)), logging.F("rank", g.rank), logging.F("of", g.count))
	return l.order(ctx, g, v)
}

// reuse takes the chunks that lie in the area of the engine.
func (l *Loader) reuse(ctx context.Context, g goal, id fleet.Version) {
	staged, err := l.deps.Engine.StagedChunks(ctx, g.Model)
	if err != nil {
		l.deps.Log.Fault("staged chunks can't be listed", err)
		return
	}
	kept := 0
	for _, i := range staged {
		b, err := l.deps.Engine.ReadChunk(ctx, g.Model, i)
		if err == nil && l.chunks.AddChunk(id, i, b) {
			kept++
		}
	}
	l.deps.Log.State("staged chunks found", logging.F("number", g.Number), logging.F("staged", len(staged)), logging.F("intact", kept))
}

var errReleased = errors.New("version was released")

func (l *Loader) stage(ctx context.Context, v namedVersion) error {
	for i := range v.man.Chunks {
		b, ok := l.chunks.Chunk(v.id, i)
		if !ok {
			return errReleased
		}
		if err := l.deps.Engine.WriteChunk(ctx, v.Model, i, b); err != nil {
			return err
		}
	}
	return nil
}

// verify reads the staged chunks back right before the order, since they may be
// spoilt in the area, and writes those again.
func (l *Loader) verify(ctx context.Context, v namedVersion) error {
	for i := range v.man.Chunks {
		const tries = 3
		for n := 0; ; n++ {
			b, err := l.deps.Engine.ReadChunk(ctx, v.Model, i)
			if err != nil {
				return err
			}
			if v.man.VerifyChunk(i, b) == nil {
				break
			}
			if n == tries {
				return errors.Errorf("staged chunk %d stays spoilt", i)
			}
			l.deps.Log.State("staged chunk is spoilt", logging.F("chunk", i), logging.F("number", v.Number))
			data, ok := l.chunks.Chunk(v.id, i)
			if !ok {
				return errReleased
			}
			if err := l.deps.Engine.WriteChunk(ctx, v.Model, i, data); err != nil {
				return err
			}
		}
	}
	return nil
}

// order gives the order and waits until the engine has loaded. An order without
// an answer may have been accepted, so the engine's report decides.
func (l *Loader) order(ctx context.Context, g goal, v namedVersion) error {
	r, err := l.deps.Engine.Report(ctx)
	if err != nil {
		return err
	}
	if heldOf(&r).Number >= v.Number {
		return nil
	}
	o := port.StagedLoadOrder{ModelWeights: v.ModelWeights, ExpectOrderCount: r.OrderCount}
	if g.fenced {
		// Only this process orders its engine, whose count of orders rises until it
		// starts again and forgets the tokens that it has seen.
		o.Fence = r.OrderCount + 1
	}
	if err := l.deps.Engine.LoadStaged(ctx, o); err != nil {
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
		if heldOf(&now).Number < v.Number {
			return errors.New("engine did not load the weights")
		}
		l.deps.Log.State("engine holds the weights", logging.F("model", string(v.Model)), logging.F("number", v.Number))
		return nil
	}
}
