package entry

import (
	"context"

	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/routing"
	"github.com/masticwing/masticwing/internal/core/verdict"
	"github.com/masticwing/masticwing/internal/port"
)

// tryTargets sends the request to one target after another until one answers or
// no further retry is allowed. A refusal by a full target does not count as a
// retry: the request keeps its permit and waits for a free slot until its
// deadline, because the permit means that there is one and only the entry's view
// of the targets lags behind. tryTargets adds the targets that it used to tried.
func (e *Entry) tryTargets(
	ctx context.Context, r *port.ServeRequest, pc *poolConfig, tried map[fleet.VM]bool,
) (*targetAnswer, error) {
	var last error
	mayHaveRun := false
	for retries, fullRefusals := 0, 0; ; {
		c, err := e.reserveTarget(ctx, r, pc, tried, fullRefusals)
		if err != nil {
			if last == nil {
				last = err
			}
			break
		}
		a, err := e.tryTarget(ctx, r, c)
		if err == nil {
			tried[c.VM] = true
			return a, nil
		}
		last = err
		if v := verdict.FromError(err); isFullCode(v.Code) && v.Verdict == verdict.NotRun {
			fullRefusals++
			e.countRetry(r, err)
			continue
		}
		tried[c.VM] = true
		mayHaveRun = mayHaveRun || verdict.FromError(err).Verdict != verdict.NotRun
		if retries >= routing.MaxRetries || !retryable(ctx, verdict.FromError(err), !pc.atMostOnce(r)) || !e.budget.TryWithdraw(pc.pool) {
			break
		}
		retries++
		e.countRetry(r, err)
	}
	return nil, finalError(last, mayHaveRun)
}

func (e *Entry) countRetry(r *port.ServeRequest, err error) {
	e.Metrics.Count("masticwing_entry_retries_total", 1,
		port.Attr{Key: "class", Value: r.Class.String()},
		port.Attr{Key: "code", Value: string(verdict.FromError(err).Code)})
}

// finalError returns the error of a request whose last attempt failed with err. If
// an earlier attempt may have run the request, the verdict is at least
// may-have-run, even if the last target refused the request.
func finalError(err error, mayHaveRun bool) error {
	v := verdict.FromError(err)
	if mayHaveRun && v.Verdict == verdict.NotRun {
		return v.WithVerdict(verdict.MayHaveRun)
	}
	return v
}

// retryable reports whether the request may be sent to another target after this
// error. mayRerun says whether it may run more than once.
func retryable(ctx context.Context, v *verdict.Error, mayRerun bool) bool {
	if ctx.Err() != nil {
		return false
	}
	switch v.Code {
	case verdict.CodeBadRequest, verdict.CodeTooLarge, verdict.CodeKeyRequired, verdict.CodeKeyExpired, verdict.CodeKeyReused,
		verdict.CodeCanceled, verdict.CodeDeadline, verdict.CodeDuplicate, verdict.CodeInProgress:
		return false
	}
	return v.Verdict == verdict.NotRun || mayRerun && v.Verdict == verdict.MayHaveRun
}

// tryTarget sends the request to a target in which reserveTarget reserved a slot.
// It waits for the first piece of the answer, because a failure before that piece
// can still be retried. All attempts carry the caller's request id, which the
// engine repeats in its answer. Each attempt has its own stream, and no target
// gets a second attempt unless it refused the first one because it was full.
func (e *Entry) tryTarget(ctx context.Context, r *port.ServeRequest, c routing.Choice) (*targetAnswer, error) {
	req := *r
	req.Revision, req.FromDomain = e.revision(), e.Domain
	if d, ok := ctx.Deadline(); ok {
		if req.Timeout = d.Sub(e.Clock.Now()); req.Timeout <= 0 {
			e.table.Release(c.VM)
			return nil, verdict.New(verdict.NotRun, verdict.CodeDeadline, "deadline passed")
		}
	}
	var load *port.Load
	src, err := e.Agents.Serve(ctx, c.Address, req, func(l port.Load) { load = &l })
	if err != nil {
		e.table.Release(c.VM)
	}
	switch {
	case load == nil:
	case err != nil && isFullCode(verdict.FromError(err).Code):
		e.table.RecordFull(c.VM, load.InFlight, load.Limit, e.Clock.Now())
	default:
		e.table.RecordLoad(c.VM, load.InFlight, load.Limit)
		e.adjustCapacityIfQueued(poolOf(r))
	}
	if err != nil {
		return nil, err
	}
	a := &targetAnswer{src: src, releaseTarget: func() { e.table.Release(c.VM) }}
	if err := a.prefetch(&req); err != nil {
		_ = a.Close()
		return nil, err
	}
	return a, nil
}

func isFullCode(c verdict.Code) bool {
	return c == verdict.CodeTargetFull || c == verdict.CodeTargetWarming
}

func (e *Entry) revision() uint64 {
	d, _ := e.Directory.Declaration()
	if d == nil {
		return 0
	}
	return d.Revision
}
