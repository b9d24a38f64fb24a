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

// maxSends is the most times that one request is sent, including sends that targets
// refuse.
const maxSends = 3

// overloadRetryAfter is the retry delay in responses when no target accepts the request.
const overloadRetryAfter = time.Second

// relay is the state of the response that is copied to the caller. It spans several
// attempts if a stream resumes at another target.
type relay struct {
	// headSent is set just before the head is passed to the caller.
	headSent bool
	// callerLeft is set once data could not be passed on: the caller may have a part of
	// it, so nothing may follow.
	callerLeft bool
	status     int
	events     *eventstream.Splitter
	// firstEventAfter is the time from the receipt of the request to the first event,
	// and longestGap the longest time between two events.
	firstEventAfter time.Duration
	lastEventAt     time.Time
	longestGap      time.Duration
	// resumes counts the later runs that continued the stream, and resumedAfter is the
	// id of the last event before the newest of them.
	resumes      int
	resumedAfter string
	// endsWithConnection is set if only the end of the connection delimits the response
	// of the newest run.
	endsWithConnection bool
}

// beginRun prepares for the events of another run.
func (r *relay) beginRun(resp *port.ForwardResponse) {
	r.events.BeginRun()
	r.endsWithConnection = resp.EndsWithConnection
	if r.headSent {
		r.resumes++
		r.resumedAfter = r.events.LastID()
	}
}

// recordEvents updates the event times for events relayed at now.
func (r *relay) recordEvents(now, received time.Time) {
	if r.lastEventAt.IsZero() {
		r.firstEventAfter = now.Sub(received)
	} else {
		r.longestGap = max(r.longestGap, now.Sub(r.lastEventAt))
	}
	r.lastEventAt = now
}

// bufferedResponse is a target's complete response.
type bufferedResponse struct {
	choice placement.Choice
	resp   *port.ForwardResponse
	body   []byte
}

// forward sends the request to one target after another until one serves it or no further
// retry is allowed.
func (c *call) forward(ctx context.Context) {
	for {
		now := c.g.deps.Clock.Now()
		choice, out := c.g.targets.Choose(c.placementQuery(now), now, c.g.deps.Rand.IntN)
		if out != placement.Chosen {
			c.fail(ctx, c.noTargetError(out))
			return
		}
		c.lastChoice = choice
		if c.sends == 0 {
			c.g.budgets.RecordRequest(c.service.Name, now)
		}
		if c.service.Engine != nil {
			c.g.notifyGateways(choice.Address, c.in.WorkEstimate.PromptTokens)
		}
		c.sends++
		c.tried[choice.Instance] = true
		err := c.attempt(ctx, choice)
		c.g.targets.Release(choice.Instance)
		if err == nil {
			return
		}
		if !c.shouldRetry(ctx, err) {
			c.fail(ctx, err)
			return
		}
	}
}

// noTargetError returns the error for an outcome of the choice without a target.
func (c *call) noTargetError(out placement.Outcome) *verdict.Error {
	v := verdict.NotRun
	if c.runs > 0 {
		v = verdict.MayHaveRun
	}
	if out == placement.AllFull {
		return verdict.New(v, verdict.CodeOverloaded, "all targets of the service are full").WithRetryAfter(overloadRetryAfter)
	}
	return verdict.New(v, verdict.CodeNoTarget, "no target of the service takes requests").WithRetryAfter(overloadRetryAfter)
}

// shouldRetry reports whether to send the request again after err. If it returns true, it
// has taken one retry from the budget.
func (c *call) shouldRetry(ctx context.Context, err *verdict.Error) bool {
	switch {
	case ctx.Err() != nil, c.relay.callerLeft, c.sends >= maxSends, !c.relay.events.Resumable():
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

// attempt sends the request once and copies the response. It returns nil once the request
// has ended and is logged.
func (c *call) attempt(ctx context.Context, choice placement.Choice) *verdict.Error {
	clock := c.g.deps.Clock
	f := port.Forward{
		Inbound: c.in, ExpectInstance: choice.Instance, Timeout: c.deadline.Sub(clock.Now()),
		Urgency: c.urgency(), ResumeAfter: c.relay.events.LastID(),
	}
	if c.account != nil {
		f.Customer = c.account.Name
	}
	sendCtx, watch := c.startStallWatch(ctx)
	defer watch.stop()
	resp, err := c.g.deps.Targets.Forward(sendCtx, choice.Address, f)
	if err != nil {
		return c.recordSendFailure(ctx, choice, verdict.FromError(err))
	}
	defer func() { _ = resp.Body.Close() }()
	c.runs++
	if resp.Load != nil {
		c.recordLoad(choice, resp.Load)
	}
	switch {
	case resp.Status/100 != 2 && c.relay.headSent:
		return verdict.New(verdict.Ran, verdict.CodeTargetError, "target answered with status %d instead of continuing the stream", resp.Status)
	case resp.Status/100 == 2 && c.route.Kind == routes.Streaming:
		return c.relayStream(ctx, choice, resp, watch)
	default:
		return c.relayBuffered(ctx, choice, resp)
	}
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
	now := c.g.deps.Clock.Now()
	if err.Verdict != verdict.NotRun {
		c.runs++
	}
	var refused *port.RefusedError
	switch {
	case ctx.Err() != nil:
	case !errors.As(err, &refused):
		c.g.targets.RecordFailure(choice.Instance, now)
	case refused.Reason == port.RefusalWrongInstance:
		c.g.targets.RecordAddressLost(choice.Instance, now)
	case refused.Reason == port.RefusalUnreachable:
		c.g.targets.RecordFailure(choice.Instance, now)
	default:
		c.g.targets.RecordBusy(choice.Instance, now)
	}
	return err.WithRetryAfter(overloadRetryAfter)
}

const (
	// maxBufferedBytes bounds a response that is read completely before it is delivered.
	maxBufferedBytes = 1 << 20
	// minReadBytes is the size of the first buffer for such a response.
	minReadBytes = 4 << 10
	// bufferedFraction is the fraction of the process's memory for all such responses.
	bufferedFraction = 0.125
)

// errBuffersFull means that the responses that are read at once fill their share of the
// memory.
var errBuffersFull = errors.New("no memory is left for buffered responses")

// readResponse reads a complete response. The memory stays reserved until the request
// ends, since the response may be kept as the fallback.
func (c *call) readResponse(r io.Reader) ([]byte, error) {
	var body []byte
	for {
		if len(body) == cap(body) {
			n := max(minReadBytes, cap(body))
			if !c.g.buffers.TryReserve(int64(n)) {
				return nil, errBuffersFull
			}
			c.reserved += int64(n)
			body = append(make([]byte, 0, cap(body)+n), body...)
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case len(body) > maxBufferedBytes:
			return nil, errors.Errorf("response is longer than %d bytes", maxBufferedBytes)
		case err == io.EOF:
			return body, nil
		case err != nil:
			return nil, err
		}
	}
}

// relayBuffered reads the complete response before it delivers any of it, so that the
// request can be retried if the response breaks off.
func (c *call) relayBuffered(ctx context.Context, choice placement.Choice, resp *port.ForwardResponse) *verdict.Error {
	body, err := c.readResponse(resp.Body)
	switch {
	case errors.Is(err, errBuffersFull):
		return verdict.Wrap(err, verdict.MayHaveRun, verdict.CodeOverloaded, "answer can't be read")
	case err != nil:
		return c.recordBrokenResponse(ctx, choice, err)
	}
	if resp.Status/100 == 5 && c.route.Kind == routes.Safe {
		// Keep the target's error; it is delivered if no other target succeeds.
		c.fallback = &bufferedResponse{choice, resp, body}
		return verdict.New(verdict.Ran, verdict.CodeTargetError, "target answered with status %d", resp.Status)
	}
	return c.deliver(choice, resp, body)
}

// deliver sends a complete response to the caller and logs the request. It always returns
// nil.
func (c *call) deliver(choice placement.Choice, resp *port.ForwardResponse, body []byte) *verdict.Error {
	c.g.targets.RecordSuccess(choice.Instance)
	c.relay.headSent, c.relay.status = true, resp.Status
	h := port.ResponseHead{Status: resp.Status, Header: resp.Header, Length: int64(len(body))}
	err := c.out.Head(h)
	if err == nil && len(body) > 0 {
		err = c.out.Data(body)
	}
	if err == nil {
		err = c.out.End()
	}
	if err != nil {
		c.logRequest("caller left", verdict.Wrap(err, verdict.Ran, verdict.CodeCanceled, "answer could not be delivered"), resp.Status)
		return nil
	}
	c.logRequest("served", nil, resp.Status)
	return nil
}

// recordBrokenResponse returns the error for a response that ended early. It counts as a
// failure of the target unless the request's own context has ended.
func (c *call) recordBrokenResponse(ctx context.Context, choice placement.Choice, err error) *verdict.Error {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return verdict.Wrap(err, verdict.MayHaveRun, verdict.CodeDeadline, "deadline passed within the answer")
	case ctx.Err() != nil:
		return verdict.Wrap(err, verdict.MayHaveRun, verdict.CodeCanceled, "caller left")
	}
	c.g.targets.RecordFailure(choice.Instance, c.g.deps.Clock.Now())
	return verdict.Wrap(err, verdict.MayHaveRun, verdict.CodeBrokenAnswer, "answer ended early")
}

// streamReadBytes is the buffer size for reading a stream; an event has about 100 bytes.
const streamReadBytes = 4 << 10

// relayStream sends the events of a stream to the caller as they arrive. It sends only
// complete events, so that the stream can resume at another target.
func (c *call) relayStream(ctx context.Context, choice placement.Choice, resp *port.ForwardResponse, watch *stallWatch) *verdict.Error {
	c.relay.beginRun(resp)
	eventsBefore := c.relay.events.EventCount()
	buf := make([]byte, streamReadBytes)
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 {
			before := c.relay.events.EventCount()
			if e := c.relayEvents(choice, resp, buf[:n]); e != nil {
				return e
			}
			if c.relay.events.EventCount() > before {
				c.recordProgress(choice, watch, before == eventsBefore)
			}
		}
		if errors.Is(err, io.EOF) && c.relay.events.PartialBytes() == 0 {
			return c.finishStream(choice, resp)
		}
		if err != nil {
			return c.recordBrokenResponse(ctx, choice, err)
		}
	}
}

// recordProgress records that the target has sent events, and how long the first of this
// run took. Bytes that complete no event are no progress.
func (c *call) recordProgress(choice placement.Choice, watch *stallWatch, first bool) {
	watch.reset()
	if !c.relay.events.Resumable() {
		watch.disarm()
	}
	if first {
		now := c.g.deps.Clock.Now()
		c.g.targets.RecordFirstEvent(choice.Instance, now.Sub(watch.start), choice.TimeToFirstEvent, now)
	}
}

// relayEvents sends the events that b completes. A stream whose events do not follow each
// other counts as a failure of the target.
func (c *call) relayEvents(choice placement.Choice, resp *port.ForwardResponse, b []byte) *verdict.Error {
	complete, splitErr := c.relay.events.Push(b)
	if len(complete) > 0 {
		c.relay.recordEvents(c.g.deps.Clock.Now(), c.in.ReceivedAt)
		err := c.sendStreamHead(resp)
		if err == nil {
			err = c.out.Data(complete)
		}
		if err != nil {
			c.relay.callerLeft = true
			return verdict.Wrap(err, verdict.MayHaveRun, verdict.CodeCanceled, "caller left")
		}
	}
	if splitErr != nil {
		c.g.targets.RecordFailure(choice.Instance, c.g.deps.Clock.Now())
		return verdict.Wrap(splitErr, verdict.MayHaveRun, verdict.CodeBrokenAnswer, "answer is not a usable stream")
	}
	return nil
}

// sendStreamHead sends the head of a stream unless it was already sent. A stream that
// resumes at another target keeps the first target's head.
func (c *call) sendStreamHead(resp *port.ForwardResponse) error {
	if c.relay.headSent {
		return nil
	}
	c.relay.headSent, c.relay.status = true, resp.Status
	c.g.deps.Metrics.Seconds("gateway_first_event_seconds", c.relay.firstEventAfter)
	return c.out.Head(port.ResponseHead{Status: resp.Status, Header: resp.Header, Length: -1, Stream: true})
}

func (c *call) finishStream(choice placement.Choice, resp *port.ForwardResponse) *verdict.Error {
	err := c.sendStreamHead(resp)
	if err == nil {
		err = c.out.End()
	}
	if err != nil {
		c.relay.callerLeft = true
		return verdict.Wrap(err, verdict.Ran, verdict.CodeCanceled, "caller left")
	}
	c.g.targets.RecordSuccess(choice.Instance)
	c.logRequest("served", nil, resp.Status)
	return nil
}
