package entry

import (
	"context"
	"time"

	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/routing"
	"github.com/masticwing/masticwing/internal/core/verdict"
	"github.com/masticwing/masticwing/internal/port"
)

const (
	// noTargetWait limits how long a request waits until there is a target at all.
	// It covers the time in which an entry replaces its watched agents after the
	// loss of a failure domain.
	noTargetWait = 2 * time.Second
	// probeAfter is the time after which a waiting request is sent to a target that
	// seems full, since the latest status may be a second old. It is also the
	// longest time between two checks while all targets are full, since nothing
	// signals that a status has become stale or that the pause after a refusal has
	// ended.
	probeAfter = 100 * time.Millisecond
)

// reserveTarget returns the target for the next attempt with a slot reserved in
// it, and waits while all targets are full. If no target accepts work, only the
// first attempt waits for one; later attempts fail at once, because the error of
// the previous attempt is more useful to the caller. fullRefusals is the number
// of refusals by full targets that the request has received.
func (e *Entry) reserveTarget(
	ctx context.Context, r *port.ServeRequest, pc *poolConfig, tried map[fleet.VM]bool, fullRefusals int,
) (routing.Choice, error) {
	start := e.Clock.Now()
	var w *routing.Waiter
	for {
		waited := e.Clock.Now().Sub(start)
		c, outcome := e.choose(r, pc, tried, waited >= probeAfter)
		if outcome == routing.Chosen && e.table.Reserve(c.VM) {
			e.removeWaiter(w)
			return c, nil
		}
		if outcome == routing.NoTarget && (len(tried) > 0 || waited >= noTargetWait) {
			e.removeWaiter(w)
			return c, verdict.New(verdict.NotRun, verdict.CodeNoTarget, "no target takes work").WithRetryAfter(time.Second)
		}
		if w == nil {
			w = e.table.AddWaiter(pc.pool, r.Class)
			continue
		}
		if pc.atMostOnce(r) || len(tried) > 0 || outcome == routing.NoTarget {
			e.table.WakeNext(w) // another request may be able to use other targets
		}
		select {
		case <-ctx.Done():
			e.removeWaiter(w)
			return c, contextError(ctx, verdict.NotRun)
		case <-w.Woken():
		case <-e.Clock.After(recheckDelay(outcome, fullRefusals, waited)):
		}
	}
}

func (e *Entry) removeWaiter(w *routing.Waiter) {
	if w != nil {
		e.table.RemoveWaiter(w)
	}
}

// recheckDelay returns how long a waiting request waits for a signal before it
// checks the targets again. While there is no target, the signal of a new one
// suffices, so the delay is the rest of noTargetWait. The end of the pause after a
// refusal is not signaled, so a refused request checks on its own, with a delay
// that doubles with each refusal.
func recheckDelay(outcome routing.Outcome, fullRefusals int, waited time.Duration) time.Duration {
	if outcome == routing.NoTarget {
		return noTargetWait - waited
	}
	if fullRefusals == 0 {
		return probeAfter
	}
	const maxDoublings = 4
	return min(routing.FullPause<<min(fullRefusals-1, maxDoublings)+time.Millisecond, probeAfter)
}

func (e *Entry) choose(
	r *port.ServeRequest, pc *poolConfig, tried map[fleet.VM]bool, probe bool,
) (routing.Choice, routing.Outcome) {
	d, _ := e.Directory.Declaration()
	if pc.atMostOnce(r) {
		return e.chooseAtMostOnce(r, pc, tried)
	}
	size, _ := e.poolSizes.Get(pc.pool)
	return e.table.Choose(routing.Query{
		Pool: pc.pool, Version: pc.version, OlderVersions: pc.olderVersions, OwnDomain: e.Domain,
		Prefix: r.PrefixHash, Cordoned: d.Cordoned, Tried: tried,
		EntriesPerTarget: size.entriesPerAgent(), Probe: probe,
	}, e.Clock.Now(), e.Rand.IntN)
}

// chooseAtMostOnce returns the first agent of rankAgents that is not known to
// refuse work. It skips a watched agent whose status is stale: if that agent
// accepted the call and never responded, the verdict would be may-have-run. If the
// agent is full, the call waits for it instead of using another one, since
// retries with the same key go to it as well.
func (e *Entry) chooseAtMostOnce(r *port.ServeRequest, pc *poolConfig, tried map[fleet.VM]bool) (routing.Choice, routing.Outcome) {
	agents := e.rankAgents(pc, r)
	now := e.Clock.Now()
	for _, c := range agents {
		usable, fresh := e.table.CheckUsable(c.VM, now)
		unwatched := !fresh && len(agents) > routing.MaxWatchedAgents
		if tried[c.VM] || !usable && !unwatched {
			continue
		}
		if e.table.IsPaused(c.VM, now) {
			return c, routing.AllFull
		}
		return c, routing.Chosen
	}
	return routing.Choice{}, routing.NoTarget
}
