package loader

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/loadschedule"
	"github.com/masticwing/masticwing/internal/core/moment"
	"github.com/masticwing/masticwing/internal/port"
)

const (
	// recheckInterval bounds the time until a change of the engine's state is noticed.
	recheckInterval = 250 * time.Millisecond
	// retryDelay is the pause after a failed fetch or load.
	retryDelay = 200 * time.Millisecond
	// originProbeDelay is the pause of the one member that tries an origin which is down. Its return
	// is to be noticed within 0.1 s.
	originProbeDelay = 80 * time.Millisecond
	// loadPollInterval is the pause between two reports of an engine that is loading.
	loadPollInterval = 50 * time.Millisecond
)

// lastReport holds the newest report of the engine, or nil while the engine cannot be
// reached.
type lastReport struct {
	mu     sync.Mutex
	report *port.EngineReport
}

// set stores a copy, since callers go on to change the report that they pass.
func (l *lastReport) set(report *port.EngineReport) {
	if report != nil {
		stored := *report
		report = &stored
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.report = report
}

// get returns the stored report, which must not be changed.
func (l *lastReport) get() *port.EngineReport {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.report
}

// newestHeld returns the weights with the highest number that the engine holds.
func newestHeld(r *port.EngineReport) port.ModelWeights {
	var h port.ModelWeights
	for _, w := range r.Held {
		if w.Number > h.Number {
			h = w
		}
	}
	return h
}

// fetchDeclared starts to fetch the newest weights as soon as they are declared, also
// if the engine already holds them or is loading others: the loaders of added or
// restarted engines then fetch from this one and not from the origin.
func (l *Loader) fetchDeclared(ctx context.Context) {
	var last, failed port.ModelWeights
	for ctx.Err() == nil {
		var held port.ModelWeights
		r := l.engineReport.get()
		if r != nil {
			held = newestHeld(r)
		}
		g, ok := l.view.goal(held)
		// While its engine is down, a loader fetches only newly declared weights,
		// which other loaders wait for. Other weights may be in the engine's staging
		// area already.
		if !ok || g.ModelWeights == last || r == nil && !g.newlyDeclared {
			l.wait(ctx, l.view.declarationsChanged, recheckInterval)
			continue
		}
		if err := l.startFetch(ctx, g); err != nil {
			if g.ModelWeights != failed && ctx.Err() == nil {
				// The origin may never have these weights.
				failed = g.ModelWeights
				l.deps.Log.Failure("version can't be resolved", err, port.F("number", g.Number))
			}
			l.sleep(ctx, l.resolveDelay())
			continue
		}
		last, failed = g.ModelWeights, port.ModelWeights{}
	}
}

// resolveDelay returns the pause after weights could not be resolved.
func (l *Loader) resolveDelay() time.Duration {
	if l.origin.isDown() && l.chunks.IsFirst() {
		return originProbeDelay
	}
	return retryDelay
}

// startFetch gets the manifest of the weights and starts to fetch their chunks.
func (l *Loader) startFetch(ctx context.Context, g goal) error {
	name := versionName(g.ModelWeights)
	man, ok := l.chunks.FindManifest(ctx, name)
	if !ok {
		var err error
		if man, err = l.origin.resolveManifest(ctx, g.ModelWeights); err != nil {
			return err
		}
	}
	id := man.Version()
	l.origin.remember(resolvedVersion{g.ModelWeights, id, man})
	l.chunks.SetVersion(name, id, man)
	if g.mayBeStaged && l.engineReport.get() != nil {
		l.reuseStaged(ctx, g, id)
	}
	l.deps.Log.StateChange("fetching weights", port.F("number", g.Number), port.F("chunks", len(man.Chunks)), port.F("from_origin", !ok))
	return nil
}

// converge makes the engine load the newest completely fetched weights when it is the
// engine's turn.
func (l *Loader) converge(ctx context.Context) {
	for ctx.Err() == nil {
		if err := l.settleOrder(ctx); err != nil {
			if ctx.Err() == nil {
				l.deps.Log.Failure("outcome of the order is not known yet", err)
			}
			l.sleep(ctx, retryDelay)
			continue
		}
		r := l.engineReport.get()
		if r == nil || r.Busy {
			l.sleep(ctx, recheckInterval)
			continue
		}
		held := newestHeld(r)
		if l.checkHeld(ctx, r, held) {
			continue
		}
		g, ok := l.view.goal(held)
		// Gateways that never heard of the loader would use what the engine registers if the loader were
		// lost before its first report.
		if !ok || held.Number >= g.Number || !l.turnReached(g) || !l.announced.Load() {
			l.sleep(ctx, turnCheckInterval)
			continue
		}
		v, ok := l.origin.newestComplete(g.Model, held.Number, l.isComplete)
		if !ok || !l.mayLoad(v.ModelWeights) {
			l.sleep(ctx, turnCheckInterval)
			continue
		}
		if err := l.load(ctx, g, v); err != nil && ctx.Err() == nil {
			l.deps.Log.Failure("weights are not loaded yet", err, port.F("number", v.Number))
			l.sleep(ctx, retryDelay)
		}
	}
}

// turnCheckInterval is the pause between two checks whether it is the engine's turn.
const turnCheckInterval = 100 * time.Millisecond

// turnReached reports whether the engine may leave service to load weights.
func (l *Loader) turnReached(g goal) bool {
	declaredAt, known := g.declaredAt.Get()
	return g.immediate || !known || l.deps.Clock.SinceBoot() >= loadschedule.ChangeTime(declaredAt, l.settings.WeightsBound, g.rank, g.count)
}

// since returns the time that has passed since a moment, or -1 ms if that is unknown.
func (l *Loader) since(t moment.Time) time.Duration {
	age, known := t.Age(l.deps.Clock.SinceBoot()).Get()
	if !known {
		return -time.Millisecond
	}
	return age
}

// isComplete reports whether all chunks of a version are held.
func (l *Loader) isComplete(id fleet.Version) bool {
	select {
	case <-l.chunks.Completed(id):
		return true
	default:
		return false
	}
}

// wait returns after a receive from changed, after d, or when ctx ends.
func (l *Loader) wait(ctx context.Context, changed <-chan struct{}, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-changed:
	case <-l.deps.Clock.After(d):
	}
}

// load stages a complete version, verifies the staged chunks and orders the engine to
// load them.
func (l *Loader) load(ctx context.Context, g goal, v resolvedVersion) error {
	start := l.deps.Clock.Now()
	staged, err := l.stage(ctx, v)
	if err != nil {
		return err
	}
	if !l.mayLoad(v.ModelWeights) {
		return errors.New("bound of the weights ends before they would be in use")
	}
	l.deps.Log.StateChange("ordering the engine to load", port.F("model", string(v.Model)), port.F("number", v.Number),
		port.F("declared", g.Number), port.Millis("stage_ms", l.deps.Clock.Now().Sub(start)),
		port.Millis("since_ms", l.since(g.declaredAt)), port.F("rank", g.rank), port.F("of", g.count))
	return l.orderLoad(ctx, g, staged)
}

// reuseStaged adds the intact chunks in the engine's staging area to the fetched ones.
func (l *Loader) reuseStaged(ctx context.Context, g goal, id fleet.Version) {
	staged, err := l.deps.Engine.StagedChunks(ctx, g.Model)
	if err != nil {
		l.deps.Log.Failure("staged chunks can't be listed", err)
		return
	}
	intact := 0
	for _, i := range staged {
		b, err := l.deps.Engine.ReadChunk(ctx, g.Model, i)
		if err == nil && l.chunks.AddChunk(id, i, b) {
			intact++
		}
	}
	l.deps.Log.StateChange("staged chunks found", port.F("number", g.Number), port.F("staged", len(staged)), port.F("intact", intact))
}

// newOrder returns an order to an engine in the reported state.
func newOrder(w port.ModelWeights, r *port.EngineReport, fenced bool) port.StagedOrder {
	o := port.StagedOrder{ModelWeights: w, ExpectOrderCount: r.OrderCount}
	if fenced {
		// The next order count serves as the fencing number: only this process orders its
		// engine, and the count rises until the engine restarts, when the engine also
		// forgets the fencing numbers that it has seen.
		o.Fence = r.OrderCount + 1
	}
	return o
}
