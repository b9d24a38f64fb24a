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
	// targetPoll is the pause between two looks for a target.
	targetPoll = 5 * time.Millisecond
	// probeAfter is the wait after which a request goes to a target that seems
	// full, since the report of it may be a second old.
	probeAfter = 100 * time.Millisecond
)

// attempts tries targets until one answers or no retry is allowed.
func (e *Entry) attempts(ctx context.Context, r *port.ServeRequest, p *plan) (*answer, error) {
	e.budget.Earn(p.pool)
	tried := map[fleet.VM]bool{}
	var last error
	mayHaveRun := false
	for n := 0; ; n++ {
		c, err := e.next(ctx, r, p, tried)
		if err != nil {
			if last == nil {
				last = err
			}
			break
		}
		tried[c.VM] = true
		a, err := e.attempt(ctx, r, c)
		if err == nil {
			return a, nil
		}
		last = err
		mayHaveRun = mayHaveRun || verdict.Of(err).Verdict != verdict.NotRun
		if n >= routing.MaxRetries || !retryable(ctx, verdict.Of(err), !p.once(r)) || !e.budget.Spend(p.pool) {
			break
		}
		e.Metrics.Count("masticwing_entry_retries_total", 1,
			port.Attr{Key: "class", Value: r.Class.String()},
			port.Attr{Key: "code", Value: string(verdict.Of(err).Code)})
	}
	return nil, overall(last, mayHaveRun)
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
// it, the error of the last attempt says more.
func (e *Entry) next(
	ctx context.Context, r *port.ServeRequest, p *plan, tried map[fleet.VM]bool,
) (routing.Choice, error) {
	start := e.Clock.Now()
	for {
		waited := e.Clock.Now().Sub(start)
		c, out := e.choose(r, p, tried, waited >= probeAfter)
		if out == routing.Chosen && e.table.Start(c.VM) {
			return c, nil
		}
		if out == routing.NoTarget && (len(tried) > 0 || waited >= noTargetWait) {
			return c, verdict.New(verdict.NotRun, verdict.CodeNoTarget, "no target takes work").After(time.Second)
		}
		select {
		case <-ctx.Done():
			return c, ended(ctx, verdict.NotRun)
		case <-e.Clock.After(targetPoll):
		}
	}
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
// would end as may-have-run.
func (e *Entry) chooseOnce(r *port.ServeRequest, p *plan, tried map[fleet.VM]bool) (routing.Choice, routing.Outcome) {
	order := e.onceOrder(p, r)
	now := e.Clock.Now()
	for _, c := range order {
		usable, fresh := e.table.Known(c.VM, now)
		unwatched := !fresh && len(order) > routing.MaxWatched
		if !tried[c.VM] && (usable || unwatched) {
			return c, routing.Chosen
		}
	}
	return routing.Choice{}, routing.NoTarget
}

// attempt sends the request to a target in which next took a place, and waits
// for the first piece of the answer, because a failure before it can still be
// retried. All attempts carry the caller's request id, which the engine names
// in its answer; each has its own stream, and no target gets two of them.
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

// Close implements port.Answer. It returns the permit.
func (a *answer) Close() error {
	if a.closed {
		return nil
	}
	a.closed = true
	err := a.src.Close()
	a.done()
	if a.permit != nil {
		a.permit()
	}
	return err
}
