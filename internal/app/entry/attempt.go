package entry

import (
	"context"

	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/routing"
	"github.com/masticwing/masticwing/internal/core/verdict"
	"github.com/masticwing/masticwing/internal/port"
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
		if v := verdict.FromError(err); fullCode(v.Code) && v.Verdict == verdict.NotRun {
			full++
			e.countRetry(r, err)
			continue
		}
		tried[c.VM] = true
		mayHaveRun = mayHaveRun || verdict.FromError(err).Verdict != verdict.NotRun
		if n >= routing.MaxRetries || !retryable(ctx, verdict.FromError(err), !p.once(r)) || !e.budget.TryWithdraw(p.pool) {
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
		port.Attr{Key: "code", Value: string(verdict.FromError(err).Code)})
}

// overall returns the error of a request. A refusal by the last target does not
// undo that an earlier one may have run the request.
func overall(err error, mayHaveRun bool) error {
	v := verdict.FromError(err)
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
	case verdict.CodeBadRequest, verdict.CodeTooLarge, verdict.CodeKeyRequired, verdict.CodeKeyExpired, verdict.CodeKeyReused,
		verdict.CodeCanceled, verdict.CodeDeadline, verdict.CodeDuplicate, verdict.CodeInProgress:
		return false
	}
	return v.Verdict == verdict.NotRun || repeatable && v.Verdict == verdict.MayHaveRun
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
			e.table.Release(c.VM)
			return nil, verdict.New(verdict.NotRun, verdict.CodeDeadline, "deadline passed")
		}
	}
	var load *port.Load
	src, err := e.Agents.Serve(ctx, c.Address, q, func(l port.Load) { load = &l })
	if err != nil {
		e.table.Release(c.VM)
	}
	switch {
	case load == nil:
	case err != nil && fullCode(verdict.FromError(err).Code):
		e.table.RecordFull(c.VM, load.InFlight, load.Limit, e.Clock.Now())
	default:
		e.table.RecordLoad(c.VM, load.InFlight, load.Limit)
		e.lendCapacity(poolOf(r))
	}
	if err != nil {
		return nil, err
	}
	a := &answer{src: src, done: func() { e.table.Release(c.VM) }}
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
