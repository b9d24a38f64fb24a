package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/masticwing/masticwing/internal/core/overload"
	"github.com/masticwing/masticwing/internal/core/placement"
	"github.com/masticwing/masticwing/internal/core/routes"
	"github.com/masticwing/masticwing/internal/core/verdict"
	"github.com/masticwing/masticwing/internal/core/weightsbound"
	"github.com/masticwing/masticwing/internal/port"
)

// maxSends is the most times that one request is sent, including sends that targets
// refuse.
const maxSends = 3

// withdrawnRetryAfter is the delay for the caller of an attempt that was withdrawn. By then the
// attempt that is left has been answered or has proved the request to be at fault.
const withdrawnRetryAfter = 500 * time.Millisecond

// retryConnectTimeout limits the time to open the connection on which a request that may have run
// is sent again. A handshake that takes longer has met a full link, and the cancellation would
// need as long: it must reach the target within 0.5 s after the caller has left. Engines behind
// full links look idle, so that placement alone prefers them.
const retryConnectTimeout = 400 * time.Millisecond

// silentConnectTimeout limits the time to open a connection to an engine that shows no sign of running.
// One whose loader is gone accepts it within some milliseconds, and one whose machine stands still
// does not, so that the request is certainly not sent there.
const silentConnectTimeout = 250 * time.Millisecond

// pathConnectTimeout limits the time to open the connection to another domain on which a request is sent if
// nothing has shown recently that the path there is open. The round trip between regions is some
// milliseconds; behind a full link the connection does not open, and nothing of the request is sent.
const pathConnectTimeout = 250 * time.Millisecond

// forward sends the request to one target after another until one serves it or no further
// retry is allowed.
func (c *call) forward(ctx context.Context) {
	for {
		if c.sends > 0 {
			if err := c.checkLaterSend(); err != nil {
				c.fail(ctx, err)
				return
			}
		}
		if err := c.checkQuarantine(); err != nil {
			c.fail(ctx, err)
			return
		}
		now, q := c.g.deps.Clock.Now(), c.placementQuery()
		choice, out := c.choose(q, now)
		c.passed = choice.Passed
		if out != placement.Chosen {
			c.fail(ctx, c.noTargetError(out))
			return
		}
		c.recordChoice(choice, &q, now)
		if c.sends == 0 {
			c.g.budgets.RecordRequest(c.service.Name, now)
		}
		if c.service.Engine != nil {
			c.g.notifyGateways(choice.Address, c.in.WorkEstimate.PromptTokens)
		}
		c.sends++
		c.tellProbe()
		c.tried[choice.Instance] = true
		err := c.attemptAndRelease(ctx, choice, nil)
		for err != nil {
			next := c.takeSuccessor(ctx)
			if next == nil {
				break
			}
			err = c.attemptAndRelease(ctx, next.choice, next)
		}
		if err == nil {
			return
		}
		if !c.shouldRetry(ctx, err) {
			c.fail(ctx, err)
			return
		}
	}
}

// recordChoice records what the log line of the request says about its last target.
func (c *call) recordChoice(choice placement.Choice, q *placement.Query, now time.Time) {
	c.lastChoice, c.lastSentAt, c.limits = choice, now, newWeightsLimits(q, choice)
}

// noTargetError returns the error for an outcome of the choice without a target.
func (c *call) noTargetError(out placement.Outcome) *verdict.Error {
	v := verdict.NotRun
	if c.runs > 0 {
		v = verdict.MayHaveRun
	}
	switch out {
	case placement.AllFull:
		if c.admission == overload.Refused {
			return verdict.New(v, verdict.CodeOverloaded, "no place for a late request").WithRetryAfter(c.retryAfter())
		}
		return verdict.New(v, verdict.CodeOverloaded, "all targets of the service are full").WithRetryAfter(c.retryAfter())
	case placement.AllPaused:
		return verdict.New(v, verdict.CodeOverloaded, "all targets of the service have asked for a pause").WithRetryAfter(c.afterPause())
	}
	return verdict.New(v, verdict.CodeNoTarget, "no target of the service takes requests").WithRetryAfter(c.returnDelay(placement.NoTarget, 0))
}

// afterPause returns the delay until the first of the paused targets takes requests again. A caller that
// can't wait for it learns nothing of its end.
func (c *call) afterPause() time.Duration {
	if left := c.passed.PauseLeft; left < c.deadline.Sub(c.g.deps.Clock.Now()) {
		return left
	}
	return c.returnDelay(placement.AllPaused, 0)
}

// retryAfter returns the delay after which the caller probably finds a free place.
func (c *call) retryAfter() time.Duration {
	c.placeInterval = c.g.drain.Interval(c.service.Name, c.g.view.processes(), c.g.deps.Clock.Now())
	return c.returnDelay(placement.AllFull, c.placeInterval)
}

// shouldRetry reports whether to send the request again after err. If it returns true, it
// has taken one retry from the budget.
func (c *call) shouldRetry(ctx context.Context, err *verdict.Error) bool {
	switch {
	case ctx.Err() != nil, c.relay.callerLeft, c.sends >= maxSends, !c.relay.events.Resumable():
		return false
	case c.suspect, c.withdrawn.Load():
		// The next target would crash as well.
		return false
	case isRefusal(err, port.RefusalWithdrawn):
		// Nothing was sent.
		return true
	case isRefusal(err, port.RefusalNoConnection):
		// The connection to another target can't be opened either.
		return false
	case errors.Is(err, errBuffersFull):
		// Another target's response would not fit either.
		return false
	case err.Verdict != verdict.NotRun && (!c.route.Retryable() || c.runs >= c.route.MaxAttempts):
		return false
	}
	return c.g.budgets.AllowRetry(c.service.Name, c.g.view.processes(), c.g.deps.Clock.Now())
}

// fail ends a request that no target served. It delivers the fallback if there is one. It
// aborts a response whose head was already sent, since then only the closed connection
// shows that the rest is missing. Otherwise it refuses the request.
func (c *call) fail(ctx context.Context, err *verdict.Error) {
	if c.runs > 0 && err.Verdict == verdict.NotRun {
		err = err.WithVerdict(verdict.MayHaveRun)
	}
	err = c.g.stopState.Error(ctx, err)
	if errors.Is(ctx.Err(), context.DeadlineExceeded) && err.Code != verdict.CodeDeadline {
		err = verdict.Wrap(err, err.Verdict, verdict.CodeDeadline, "deadline passed")
	}
	if f := c.fallback; f != nil && !c.relay.headSent {
		_ = c.deliver(f.choice, f.resp, f.body)
		return
	}
	if c.relay.headSent {
		c.out.Abort()
		c.logRequest("cut", err, c.relay.status)
		return
	}
	c.refuse(err)
}

// attemptAndRelease releases the slot that was reserved for the attempt. If the request may
// have run, that frees a place in the target.
func (c *call) attemptAndRelease(ctx context.Context, choice placement.Choice, opened *successor) *verdict.Error {
	runsBefore, since := c.runs, c.g.deps.Clock.Now()
	if opened != nil {
		since = opened.sentAt
	}
	defer func() { c.releasePlace(choice, since, c.runs > runsBefore) }()
	return c.attempt(ctx, choice, opened)
}

// attempt sends the request once, or goes on with the attempt that began as the successor of another one, and copies
// the response. It returns nil once the request has ended and is logged.
func (c *call) attempt(ctx context.Context, choice placement.Choice, opened *successor) (failure *verdict.Error) {
	clock := c.g.deps.Clock
	sentAt := clock.Now()
	var f port.Forward
	if opened != nil {
		sentAt = opened.sentAt
	} else {
		f = c.newForward(choice, sentAt)
		c.sentTo[choice.Address] = true
	}
	sendCtx, watch := c.startStallWatch(ctx, choice.Instance, opened)
	if c.service.Engine != nil {
		c.g.unanswered.add(c.subject, c, watch.cancel)
	}
	eventsBefore := c.relay.events.EventCount()
	defer func() {
		c.g.unanswered.remove(c.subject, c)
		if c.withdrawn.Load() && failure != nil {
			failure = verdict.Wrap(failure, verdict.MayHaveRun, verdict.CodeQuarantined, "a target was lost under the same request").
				WithRetryAfter(withdrawnRetryAfter)
		}
		if sendCtx.Err() == nil && c.relay.events.EventCount() == eventsBefore && isLostConnection(failure) {
			c.recordLostBeforeEvent()
		}
		c.recordNoEvent(sendCtx, choice, watch, eventsBefore)
		c.endAttempt(watch, failure != nil)
		if watch.gaveUp && failure != nil {
			failure = verdict.Wrap(failure, verdict.MayHaveRun, verdict.CodeTargetLost, "target shows no sign of running")
		}
	}()
	resp, err := c.open(sendCtx, choice, f, opened, watch)
	if !watch.hold() {
		if err == nil {
			_ = resp.Body.Close()
		}
		c.runs++
		return c.recordSuperseded(choice)
	}
	c.countPlainRun(clock.Now().Sub(c.lastSentAt), err)
	if err != nil {
		return c.recordSendFailure(ctx, choice, verdict.FromError(err))
	}
	defer func() { _ = resp.Body.Close() }()
	c.g.targets.RecordAlive(choice.Instance, clock.Now())
	c.g.paths.RecordArrival(choice.Domain, sentAt)
	c.runs++
	if resp.Load != nil {
		c.recordLoad(choice, resp.Load)
	}
	c.recordSpeed(choice, resp.Load, resp.Speed)
	c.recordServiceTime(choice, resp)
	switch {
	case resp.Status < 200 || resp.Status > 599:
		return c.recordBrokenResponse(ctx, choice, errors.Errorf("status %d", resp.Status))
	case resp.ImpliesNotRun && !c.route.Retryable():
		return verdict.New(verdict.MayHaveRun, verdict.CodeTargetError, "target answered with status %d and does not state that the request has not run", resp.Status)
	case resp.Status/100 != 2 && c.relay.headSent:
		return verdict.New(verdict.Ran, verdict.CodeTargetError, "target answered with status %d instead of continuing the stream", resp.Status)
	case resp.Status/100 == 2 && c.route.Kind == routes.Streaming:
		return c.relayStream(ctx, choice, resp, watch)
	default:
		return c.relayBuffered(ctx, choice, resp, watch)
	}
}

// open sends the request and returns the response, or that of an attempt that has been opened.
func (c *call) open(ctx context.Context, choice placement.Choice, f port.Forward, opened *successor, watch *stallWatch) (*port.ForwardResponse, error) {
	if opened != nil {
		<-opened.answered
		if opened.err != nil {
			return nil, opened.err
		}
		return opened.resp, nil
	}
	responded := c.limits.cancelAtExpiry(watch.cancel)
	defer responded()
	return c.g.deps.Targets.Forward(ctx, choice.Address, f)
}

// errSuperseded is the error of an attempt whose successor goes on in its place.
var errSuperseded = verdict.New(verdict.MayHaveRun, verdict.CodeTargetLost, "target is silent, and another one has answered")

// recordSuperseded returns the error of an attempt whose successor goes on. It counts as a failure of the
// target, which was silent for long.
func (c *call) recordSuperseded(choice placement.Choice) *verdict.Error {
	c.g.targets.RecordFailure(choice.Instance, c.g.deps.Clock.Now())
	return errSuperseded
}

// newForward returns the request as it is sent to the target.
func (c *call) newForward(choice placement.Choice, sentAt time.Time) port.Forward {
	clock, within := c.g.deps.Clock, c.connectWithin(choice, sentAt)
	f := port.Forward{
		Inbound: c.in, ExpectInstance: choice.Instance, ExpectWeights: c.expectedWeights(choice), Timeout: c.g.stopState.deadline(c.deadline).Sub(sentAt),
		Urgency: c.urgency(), ResumeAfter: c.relay.events.LastID(), SentBefore: c.sentTo[choice.Address], ConnectWithin: within,
		MaySend: func() bool {
			if within > 0 {
				// The connection was opened for this request.
				c.g.paths.RecordArrival(choice.Domain, sentAt)
			}
			return c.g.targets.MaySend(choice, c.g.settings.DrainBound, clock.Now())
		},
		Announced: func(a port.TargetAnnouncement) { c.g.recordAnnouncement(choice, a) },
	}
	if c.account != nil {
		f.Customer = c.account.Name
	}
	return f
}

// connectWithin returns the time within which a new connection for the request has to be open, or zero if a kept
// one may be used.
func (c *call) connectWithin(choice placement.Choice, now time.Time) time.Duration {
	switch {
	case choice.Silent:
		return silentConnectTimeout
	case !c.g.paths.Open(choice.Domain, now):
		c.g.deps.Metrics.Count("gateway_path_checks_total", 1)
		return pathConnectTimeout
	case c.runs > 0:
		return retryConnectTimeout
	}
	return 0
}

// expectedWeights returns the weights that the request states, or zero for none. Versions are numbered by
// model, and that of a target is known only if it serves a single one.
func (c *call) expectedWeights(choice placement.Choice) int64 {
	if e := c.service.Engine; e == nil || len(e.Models) != 1 {
		return 0
	}
	return choice.WeightsVersion
}

// weightsLimits say which weights a target has to have, and for how long requests may start on those it has.
type weightsLimits struct {
	// required is the oldest version of the weights that may serve the request.
	required int64
	// limit is set if limited is.
	limit   weightsbound.Limit
	limited bool
}

func newWeightsLimits(q *placement.Query, choice placement.Choice) weightsLimits {
	l := weightsLimits{required: q.MinWeightsVersion}
	if q.WeightsLimit != nil {
		l.limit, l.limited = q.WeightsLimit(choice.WeightsVersion)
	}
	return l
}

// cancelAtExpiry cancels an attempt if the target has not responded when it may no longer start
// requests on its weights. The loader withdraws them before that; this covers one that has
// stopped since it stated so. The returned function is called after the response.
func (l weightsLimits) cancelAtExpiry(cancel context.CancelFunc) (responded func()) {
	if !l.limited {
		return func() {}
	}
	t := time.AfterFunc(l.limit.Left, cancel)
	return func() { t.Stop() }
}

// recordNoEvent records how late the first event of an attempt was at least if the attempt was
// given up without one. eventsBefore is the number of events before the attempt.
func (c *call) recordNoEvent(sendCtx context.Context, choice placement.Choice, watch *stallWatch, eventsBefore int) {
	if c.route.Kind != routes.Streaming || sendCtx.Err() == nil || c.withdrawn.Load() || c.relay.events.EventCount() > eventsBefore {
		return
	}
	now := c.g.deps.Clock.Now()
	c.g.targets.RecordNoEvent(choice.Instance, now.Sub(watch.start), choice.TimeToFirstEvent, now)
}

// recordLoad records the load stated in the response of a plain service. Engines are left
// out: their loaders report the load more often than responses do.
func (c *call) recordLoad(choice placement.Choice, l *port.TargetLoad) {
	if c.service.Engine == nil {
		load := placement.Load{Running: l.Running, Waiting: l.Waiting, Slots: l.Slots}
		c.g.targets.RecordLoad(choice.Instance, load, c.g.deps.Clock.Now())
	}
}

// recordSendFailure records that a target refused a request or returned no response.
func (c *call) recordSendFailure(ctx context.Context, choice placement.Choice, err *verdict.Error) *verdict.Error {
	if err.Verdict != verdict.NotRun {
		c.runs++
	}
	if ctx.Err() != nil || c.withdrawn.Load() {
		return err.WithRetryAfter(c.retryAfter())
	}
	var refused *port.RefusedError
	if errors.As(err, &refused) {
		c.recordSpeed(choice, refused.Load, refused.Speed)
	}
	c.g.recordNoResponse(choice, err)
	if isRefusal(err, port.RefusalNoConnection) {
		return err.WithRetryAfter(localRetryAfter)
	}
	return err.WithRetryAfter(c.retryAfter())
}

// recordNoResponse records for later requests why a target has not responded.
func (g *Gateway) recordNoResponse(choice placement.Choice, err *verdict.Error) {
	now := g.deps.Clock.Now()
	var refused *port.RefusedError
	switch {
	case !errors.As(err, &refused), refused.Reason == port.RefusalUnreachable:
		g.targets.RecordFailure(choice.Instance, now)
	case refused.Reason == port.RefusalNoConnection, refused.Reason == port.RefusalWithdrawn:
		// The target has not got the request.
	case refused.Reason == port.RefusalMisdirected:
		g.targets.RecordMisdirected(choice.Instance, now)
	default:
		g.targets.RecordBusy(choice.Instance, now)
	}
}

// isRefusal reports whether err is a refusal with a reason.
func isRefusal(err error, reason port.RefusalReason) bool {
	var refused *port.RefusedError
	return errors.As(err, &refused) && refused.Reason == reason
}

// recordBrokenResponse returns the error for a response that ended early. It counts as a
// failure of the target unless the request's own context has ended.
func (c *call) recordBrokenResponse(ctx context.Context, choice placement.Choice, err error) *verdict.Error {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return verdict.Wrap(err, verdict.MayHaveRun, verdict.CodeDeadline, "deadline passed within the answer")
	case ctx.Err() != nil:
		return verdict.Wrap(err, verdict.MayHaveRun, verdict.CodeCanceled, "request canceled")
	case c.withdrawn.Load():
		return verdict.Wrap(err, verdict.MayHaveRun, verdict.CodeCanceled, "attempt withdrawn")
	}
	c.g.targets.RecordFailure(choice.Instance, c.g.deps.Clock.Now())
	return verdict.Wrap(err, verdict.MayHaveRun, verdict.CodeBrokenAnswer, "answer ended early")
}
