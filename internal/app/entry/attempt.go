package entry

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"

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

// attempts tries targets until one answers or no retry is allowed. A refusal
// for lack of room is no retry: the request keeps its permit and waits for room
// until its deadline, because a permit says that there is room for it and only
// the entry's view of the targets lags.
// It adds the targets that it tried to tried.
func (e *Entry) attempts(
	ctx context.Context, r *port.ServeRequest, p *plan, tried map[fleet.VM]bool,
) (*answer, error) {
	var last error
	mayHaveRun := false
	for n, full := 0, 0; ; {
		c, err := e.next(ctx, r, p, tried, full)
		if err != nil {
			if last == nil {
				last = err
			}
			break
		}
		a, err := e.attempt(ctx, r, c)
		if err == nil {
			tried[c.VM] = true
			return a, nil
		}
		last = err
		if v := verdict.Of(err); fullCode(v.Code) && v.Verdict == verdict.NotRun {
			full++
			e.countRetry(r, err)
			continue
		}
		tried[c.VM] = true
		mayHaveRun = mayHaveRun || verdict.Of(err).Verdict != verdict.NotRun
		if n >= routing.MaxRetries || !retryable(ctx, verdict.Of(err), !p.once(r)) || !e.budget.Spend(p.pool) {
			break
		}
		n++
		e.countRetry(r, err)
	}
	return nil, overall(last, mayHaveRun)
}

func (e *Entry) countRetry(r *port.ServeRequest, err error) {
	e.Metrics.Count("masticwing_entry_retries_total", 1,
		port.Attr{Key: "class", Value: r.Class.String()},
		port.Attr{Key: "code", Value: string(verdict.Of(err).Code)})
}

// overall returns the error of a request. A refusal by the last target does not
// undo that an earlier one may have run the request.
func overall(err error, mayHaveRun bool) error {
	v := verdict.Of(err)
	if mayHaveRun && v.Verdict == verdict.NotRun {
		return v.WithVerdict(verdict.MayHaveRun)
	}
	return v
}

// retryable reports whether another target may answer after this error.
func retryable(ctx context.Context, v *verdict.Error, repeatable bool) bool {
	if ctx.Err() != nil {
		return false
	}
	switch v.Code {
	case verdict.CodeBadRequest, verdict.CodeTooLarge, verdict.CodeKeyRequired, verdict.CodeKeyExpired,
		verdict.CodeCanceled, verdict.CodeDeadline, verdict.CodeDuplicate, verdict.CodeInProgress:
		return false
	}
	return v.Verdict == verdict.NotRun || repeatable && v.Verdict == verdict.MayHaveRun
}

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
		if out == routing.Chosen && e.table.Start(c.VM) {
			e.stop(w)
			return c, nil
		}
		if out == routing.NoTarget && (len(tried) > 0 || waited >= noTargetWait) {
			e.stop(w)
			return c, verdict.New(verdict.NotRun, verdict.CodeNoTarget, "no target takes work").After(time.Second)
		}
		if w == nil {
			w = e.table.Wait(p.pool, r.Class)
			continue
		}
		if p.once(r) || len(tried) > 0 || out == routing.NoTarget {
			e.table.Pass(w) // another request may have other targets
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
		e.table.Stop(w)
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
	watchers, _ := e.watchers.Get(p.pool)
	return e.table.Choose(routing.Query{
		Pool: p.pool, Version: p.version, Older: p.older, Own: e.Domain,
		Prefix: r.PrefixHash, Cordoned: d.Cordoned, Tried: tried,
		Watchers: watchers, Probe: probe,
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
		usable, fresh := e.table.Known(c.VM, now)
		unwatched := !fresh && len(order) > routing.MaxWatched
		if tried[c.VM] || !usable && !unwatched {
			continue
		}
		if e.table.Paused(c.VM, now) {
			return c, routing.AllFull
		}
		return c, routing.Chosen
	}
	return routing.Choice{}, routing.NoTarget
}

// attempt sends the request to a target in which next took a place, and waits
// for the first piece of the answer, because a failure before it can still be
// retried. All attempts carry the caller's request id, which the engine names
// in its answer; each has its own stream, and no target gets two of them unless
// it refused the first one for lack of room.
func (e *Entry) attempt(ctx context.Context, r *port.ServeRequest, c routing.Choice) (*answer, error) {
	q := *r
	q.Revision, q.FromDomain = e.revision(), e.Domain
	if d, ok := ctx.Deadline(); ok {
		if q.Timeout = d.Sub(e.Clock.Now()); q.Timeout <= 0 {
			e.table.Done(c.VM)
			return nil, verdict.New(verdict.NotRun, verdict.CodeDeadline, "deadline passed")
		}
	}
	var load *port.Load
	src, err := e.Agents.Serve(ctx, c.Address, q, func(l port.Load) { load = &l })
	if err != nil {
		e.table.Done(c.VM)
	}
	switch {
	case load == nil:
	case err != nil && fullCode(verdict.Of(err).Code):
		e.table.Full(c.VM, load.InFlight, load.Limit, e.Clock.Now())
	default:
		e.table.Load(c.VM, load.InFlight, load.Limit)
	}
	if err != nil {
		return nil, err
	}
	a := &answer{src: src, done: func() { e.table.Done(c.VM) }}
	if err := a.prefetch(&q); err != nil {
		_ = a.Close()
		return nil, err
	}
	return a, nil
}

func fullCode(c verdict.Code) bool {
	return c == verdict.CodeTargetFull || c == verdict.CodeTargetWarming
}

func (e *Entry) revision() uint64 {
	d, _ := e.Directory.Declaration()
	if d == nil {
		return 0
	}
	return d.Revision
}

// answer is an answer whose first piece was received. It is used by one
// goroutine.
type answer struct {
	src    port.Answer
	first  []byte
	err    error
	ready  bool
	ended  bool
	closed bool
	done   func()
	permit func()
}

// prefetch receives the first piece and checks that the answer belongs to the
// request.
func (a *answer) prefetch(q *port.ServeRequest) error {
	h := a.src.Head()
	if h.ID != q.ID {
		return verdict.New(verdict.MayHaveRun, verdict.CodeBrokenAnswer, "answer belongs to request %q", h.ID)
	}
	if q.Group != "" && h.Version == "" {
		return verdict.New(verdict.MayHaveRun, verdict.CodeBrokenAnswer, "answer does not name its version")
	}
	a.first, a.err = a.src.Next()
	a.ready = true
	if a.err != nil && !errors.Is(a.err, io.EOF) {
		return a.err
	}
	return nil
}

func (a *answer) release(f func()) { a.permit = f }

// Head implements port.Answer.
func (a *answer) Head() port.AnswerHead { return a.src.Head() }

// Next implements port.Answer.
func (a *answer) Next() ([]byte, error) {
	if a.ready {
		a.ready = false
		b := a.first
		a.first = nil
		return b, a.err
	}
	return a.src.Next()
}

// end closes the stream and leaves the target.
func (a *answer) end() error {
	if a.ended {
		return nil
	}
	a.ended = true
	err := a.src.Close()
	a.done()
	return err
}

// Close implements port.Answer. It returns the permit.
func (a *answer) Close() error {
	if a.closed {
		return nil
	}
	a.closed = true
	err := a.end()
	if a.permit != nil {
		a.permit()
	}
	return err
}
