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
	// noTargetWait bounds the wait for a first target. It covers the time in
	// which the watched agents are replaced after a failure domain left.
	noTargetWait = 2 * time.Second
	// probeAfter is the wait after which a request goes to a target that seems
	// full, since the report of it may be a second old. It is also the longest
	// wait between two looks while all targets are full, since nothing signals
	// that a report has become old or that the pause after a refusal has ended.
	probeAfter = 100 * time.Millisecond
)

// next returns the target of the next attempt and takes a place in it. It waits
// for a target with room. Only the first attempt waits for any target; after
// it, the error of the last attempt says more. full is the number of refusals
// for lack of room that the request got.
func (e *Entry) next(
	ctx context.Context, r *port.ServeRequest, p *plan, tried map[fleet.VM]bool, full int,
) (routing.Choice, error) {
	start := e.Clock.Now()
	var w *routing.Waiter
	for {
		waited := e.Clock.Now().Sub(start)
		c, out := e.choose(r, p, tried, waited >= probeAfter)
		if out == routing.Chosen && e.table.Reserve(c.VM) {
			e.stop(w)
			return c, nil
		}
		if out == routing.NoTarget && (len(tried) > 0 || waited >= noTargetWait) {
			e.stop(w)
			return c, verdict.New(verdict.NotRun, verdict.CodeNoTarget, "no target takes work").WithRetryAfter(time.Second)
		}
		if w == nil {
			w = e.table.AddWaiter(p.pool, r.Class)
			continue
		}
		if p.once(r) || len(tried) > 0 || out == routing.NoTarget {
			e.table.WakeNext(w) // another request may have other targets
		}
		select {
		case <-ctx.Done():
			e.stop(w)
			return c, ended(ctx, verdict.NotRun)
		case <-w.Woken():
		case <-e.Clock.After(lookAfter(out, full, waited)):
		}
	}
}

func (e *Entry) stop(w *routing.Waiter) {
	if w != nil {
		e.table.RemoveWaiter(w)
	}
}

// lookAfter is the longest wait for a change. A request without a target waits
// for the signal of one until its time is over. The end of the pause after a
// refusal has no signal, so the refused request looks by itself; it doubles its
// wait with each refusal.
func lookAfter(out routing.Outcome, full int, waited time.Duration) time.Duration {
	if out == routing.NoTarget {
		return noTargetWait - waited
	}
	if full == 0 {
		return probeAfter
	}
	const doublings = 4
	return min(routing.FullPause<<min(full-1, doublings)+time.Millisecond, probeAfter)
}

func (e *Entry) choose(
	r *port.ServeRequest, p *plan, tried map[fleet.VM]bool, probe bool,
) (routing.Choice, routing.Outcome) {
	d, _ := e.Directory.Declaration()
	if p.once(r) {
		return e.chooseOnce(r, p, tried)
	}
	size, _ := e.sizes.Get(p.pool)
	return e.table.Choose(routing.Query{
		Pool: p.pool, Version: p.version, OlderVersions: p.older, OwnDomain: e.Domain,
		Prefix: r.PrefixHash, Cordoned: d.Cordoned, Tried: tried,
		EntriesPerTarget: size.watchers(), Probe: probe,
	}, e.Clock.Now(), e.Rand.IntN)
}

// chooseOnce returns the first agent in rank that is not known to refuse work.
// A watched agent whose status is stale is left out: a call that it swallows
// would end as may-have-run. The call waits for an agent that is full, since
// repeats of the key go there as well.
func (e *Entry) chooseOnce(r *port.ServeRequest, p *plan, tried map[fleet.VM]bool) (routing.Choice, routing.Outcome) {
	order := e.onceOrder(p, r)
	now := e.Clock.Now()
	for _, c := range order {
		usable, fresh := e.table.CheckUsable(c.VM, now)
		unwatched := !fresh && len(order) > routing.MaxWatchedAgents
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
