package gateway

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"

	"github.com/masticwing/masticwing/internal/core/eventstream"
	"github.com/masticwing/masticwing/internal/core/placement"
	"github.com/masticwing/masticwing/internal/core/routes"
	"github.com/masticwing/masticwing/internal/core/verdict"
	"github.com/masticwing/masticwing/internal/port"
)

// maxSends bounds the times that one request is sent, refusals included.
const maxSends = 3

// overloadRetry is the pause that callers are told when all targets are full.
const overloadRetry = time.Second

// relay is the state of an answer that is copied to the caller.
type relay struct {
	begun  bool
	status int
	events eventstream.Splitter
	// first is the time to the first event, lastAt the time of the last one, and
	// gap the longest pause between two.
	first  time.Duration
	lastAt time.Time
	gap    time.Duration
}

// note records the time of events.
func (r *relay) note(now, received time.Time) {
	if r.lastAt.IsZero() {
		r.first = now.Sub(received)
	} else {
		r.gap = max(r.gap, now.Sub(r.lastAt))
	}
	r.lastAt = now
}

// answered is a whole answer of a target.
type answered struct {
	choice placement.Choice
	ans    *port.ForwardAnswer
	body   []byte
}

// run sends the request until it is answered or may not be sent again.
func (c *call) run(ctx context.Context) {
	for {
		now := c.g.deps.Clock.Now()
		choice, out := c.g.targets.Choose(c.query(now), now, c.g.deps.Rand.IntN)
		if out != placement.Chosen {
			c.end(ctx, c.noTarget(out))
			return
		}
		c.last = choice
		if c.sends == 0 {
			c.g.budgets.First(c.service.Name, now)
		}
		if c.service.Engine != nil {
			c.g.notify(choice.Address, c.in.Work.PromptTokens)
		}
		c.sends++
		c.tried[choice.Instance] = true
		err := c.attempt(ctx, choice)
		c.g.targets.Done(choice.Instance)
		if err == nil {
			return
		}
		if !c.again(ctx, err) {
			c.end(ctx, err)
			return
		}
	}
}

// noTarget returns the error of a request for which there is no target.
func (c *call) noTarget(out placement.Outcome) *verdict.Error {
	v := verdict.NotRun
	if c.runs > 0 {
		v = verdict.MayHaveRun
	}
	if out == placement.AllFull {
		return verdict.New(v, verdict.CodeOverloaded, "all targets of the service are full").WithRetryAfter(overloadRetry)
	}
	return verdict.New(v, verdict.CodeNoTarget, "no target of the service takes requests").WithRetryAfter(overloadRetry)
}

// again reports whether the request is sent once more after err.
func (c *call) again(ctx context.Context, err *verdict.Error) bool {
	switch {
	case ctx.Err() != nil, c.sends >= maxSends:
		return false
	case err.Verdict != verdict.NotRun && (!c.route.Repeatable() || c.runs >= c.route.MaxAttempts):
		return false
	}
	return c.g.budgets.Repeat(c.service.Name, c.g.picture.processes(), c.g.deps.Clock.Now())
}

// end answers a request that was not served. After the head of the answer only
// the connection can tell that the rest is missing.
func (c *call) end(ctx context.Context, err *verdict.Error) {
	if c.runs > 0 && err.Verdict == verdict.NotRun {
		err = err.WithVerdict(verdict.MayHaveRun)
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) && err.Code != verdict.CodeDeadline {
		err = verdict.Wrap(err, err.Verdict, verdict.CodeDeadline, "deadline passed")
	}
	if f := c.fallback; f != nil && !c.relay.begun {
		_ = c.deliver(f.choice, f.ans, f.body)
		return
	}
	if c.relay.begun {
		c.out.Abort()
		c.log("cut", err, c.relay.status)
		return
	}
	c.refuse(err)
}

// attempt sends the request once and copies the answer. It returns nil once the
// caller has the whole answer.
func (c *call) attempt(ctx context.Context, choice placement.Choice) *verdict.Error {
	clock := c.g.deps.Clock
	f := port.Forward{
		In: c.in, Expect: choice.Instance, Timeout: c.until.Sub(clock.Now()),
		Urgency: c.urgency(), ResumeAfter: c.resumeAfter(),
	}
	if c.account != nil {
		f.Customer = c.account.Name
	}
	sendCtx, watch := c.watchStall(ctx)
	defer watch.end()
	ans, err := c.g.deps.Targets.Forward(sendCtx, choice.Address, f)
	if err != nil {
		return c.sendFailed(ctx, choice, verdict.FromError(err))
	}
	defer func() { _ = ans.Body.Close() }()
	c.runs++
	if ans.Load != nil {
		c.noteLoad(choice, ans.Load)
	}
	if c.route.Kind == routes.Streaming && ans.Status/100 == 2 {
		return c.stream(ctx, choice, ans, watch)
	}
	return c.whole(ctx, choice, ans)
}

// resumeAfter returns the id of the last event that the caller has.
func (c *call) resumeAfter() string {
	if id := c.relay.events.LastID(); id != "" {
		return id
	}
	return c.in.ResumeAfter
}

// noteLoad takes in the load that an answer states. Reports from beside the
// target are more frequent; the head of an answer only tells the load of a plain
// service, which has none.
func (c *call) noteLoad(choice placement.Choice, l *port.TargetLoad) {
	if c.service.Engine == nil {
		load := placement.Load{Running: l.Running, Waiting: l.Waiting, Places: l.Places}
		c.g.targets.Report(choice.Instance, load, c.g.deps.Clock.Now())
	}
}

// sendFailed records a request that got no answer from a target.
func (c *call) sendFailed(ctx context.Context, choice placement.Choice, err *verdict.Error) *verdict.Error {
	now := c.g.deps.Clock.Now()
	if err.Verdict != verdict.NotRun {
		c.runs++
	}
	var refused *port.RefusedError
	switch {
	case ctx.Err() != nil:
	case !errors.As(err, &refused):
		c.g.targets.Failed(choice.Instance, now)
	case refused.Reason == port.RefusedInstance:
		c.g.targets.Gone(choice.Instance, now)
	case refused.Reason == port.RefusedUnreached:
		c.g.targets.Failed(choice.Instance, now)
	default:
		c.g.targets.Busy(choice.Instance, now)
	}
	return err.WithRetryAfter(overloadRetry)
}

// maxWholeBytes bounds an answer that is read before it is passed on.
const maxWholeBytes = 1 << 20

// whole reads an answer to its end before the caller gets any of it, so that a
// broken one can be asked for again.
func (c *call) whole(ctx context.Context, choice placement.Choice, ans *port.ForwardAnswer) *verdict.Error {
	body, err := io.ReadAll(io.LimitReader(ans.Body, maxWholeBytes+1))
	if err == nil && len(body) > maxWholeBytes {
		err = errors.Errorf("answer is longer than %d bytes", maxWholeBytes)
	}
	if err != nil {
		return c.broken(ctx, choice, err)
	}
	if ans.Status/100 == 5 && c.route.Kind == routes.Safe {
		// A failure of the target is kept and delivered if no other target does
		// better.
		c.fallback = &answered{choice, ans, body}
		return verdict.New(verdict.Ran, verdict.CodeTargetError, "target answered with status %d", ans.Status)
	}
	return c.deliver(choice, ans, body)
}

// deliver passes a whole answer on.
func (c *call) deliver(choice placement.Choice, ans *port.ForwardAnswer, body []byte) *verdict.Error {
	c.g.targets.Served(choice.Instance)
	c.relay.begun, c.relay.status = true, ans.Status
	h := port.OutboundHead{Status: ans.Status, Header: ans.Header, Length: int64(len(body))}
	err := c.out.Head(h)
	if err == nil && len(body) > 0 {
		err = c.out.Data(body)
	}
	if err != nil {
		c.log("caller left", verdict.Wrap(err, verdict.Ran, verdict.CodeCanceled, "answer could not be delivered"), ans.Status)
		return nil
	}
	c.log("served", nil, ans.Status)
	return nil
}

// broken records an answer that ended early.
func (c *call) broken(ctx context.Context, choice placement.Choice, err error) *verdict.Error {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return verdict.Wrap(err, verdict.MayHaveRun, verdict.CodeDeadline, "deadline passed within the answer")
	case ctx.Err() != nil:
		return verdict.Wrap(err, verdict.MayHaveRun, verdict.CodeCanceled, "caller left")
	}
	c.g.targets.Failed(choice.Instance, c.g.deps.Clock.Now())
	return verdict.Wrap(err, verdict.MayHaveRun, verdict.CodeBrokenAnswer, "answer ended early")
}

// streamBytes is the size of a read; an event has about 100 bytes.
const streamBytes = 4 << 10

// stream passes the events of a stream on as they come. Only whole events are
// passed on, so that the stream can go on at another target.
func (c *call) stream(ctx context.Context, choice placement.Choice, ans *port.ForwardAnswer, watch *stall) *verdict.Error {
	c.relay.events.DiscardPartial()
	first, before := true, c.relay.events.EventCount()
	buf := make([]byte, streamBytes)
	for {
		n, err := ans.Body.Read(buf)
		if n > 0 {
			watch.progress()
			if e := c.pass(ans, buf[:n]); e != nil {
				return e
			}
			if first && c.relay.events.EventCount() > before {
				first = false
				now := c.g.deps.Clock.Now()
				c.g.targets.FirstEvent(choice.Instance, now.Sub(watch.start), choice.First, now)
			}
		}
		if errors.Is(err, io.EOF) && c.relay.events.PartialBytes() == 0 {
			return c.finish(choice, ans)
		}
		if err != nil {
			return c.broken(ctx, choice, err)
		}
	}
}

// pass sends the events that are complete with b.
func (c *call) pass(ans *port.ForwardAnswer, b []byte) *verdict.Error {
	whole, ok := c.relay.events.Push(b)
	if !ok {
		return verdict.New(verdict.MayHaveRun, verdict.CodeBrokenAnswer, "event is longer than %d bytes", eventstream.MaxEventBytes)
	}
	if len(whole) == 0 {
		return nil
	}
	c.relay.note(c.g.deps.Clock.Now(), c.in.Received)
	err := c.begin(ans)
	if err == nil {
		err = c.out.Data(whole)
	}
	if err != nil {
		return verdict.Wrap(err, verdict.MayHaveRun, verdict.CodeCanceled, "caller left")
	}
	return nil
}

// begin sends the head of a stream once. A stream that goes on at another target
// keeps the head of the first.
func (c *call) begin(ans *port.ForwardAnswer) error {
	if c.relay.begun {
		return nil
	}
	c.relay.begun, c.relay.status = true, ans.Status
	c.g.deps.Metrics.Seconds("gateway_first_event_seconds", c.relay.first)
	return c.out.Head(port.OutboundHead{Status: ans.Status, Header: ans.Header, Length: -1, Stream: true})
}

func (c *call) finish(choice placement.Choice, ans *port.ForwardAnswer) *verdict.Error {
	if err := c.begin(ans); err != nil {
		return verdict.Wrap(err, verdict.Ran, verdict.CodeCanceled, "caller left")
	}
	c.g.targets.Served(choice.Instance)
	c.log("served", nil, ans.Status)
	return nil
}
