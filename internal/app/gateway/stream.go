package gateway

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"

	"github.com/masticwing/masticwing/internal/core/eventstream"
	"github.com/masticwing/masticwing/internal/core/placement"
	"github.com/masticwing/masticwing/internal/core/verdict"
	"github.com/masticwing/masticwing/internal/port"
)

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

// streamReadBytes is the buffer size for reading a stream; an event has about 100 bytes.
const streamReadBytes = 4 << 10

// relayStream sends the events of a stream to the caller as they arrive. It sends only
// complete events, so that the stream can resume at another target.
func (c *call) relayStream(ctx context.Context, choice placement.Choice, resp *port.ForwardResponse, watch *stallWatch) *verdict.Error {
	c.relay.beginRun(resp)
	eventsBefore := c.relay.events.EventCount()
	watch.release()
	buf := make([]byte, streamReadBytes)
	for {
		n, err := resp.Body.Read(buf)
		if !watch.hold() {
			return c.recordSuperseded(choice)
		}
		if n > 0 {
			before := c.relay.events.EventCount()
			e := c.relayEvents(choice, resp, buf[:n])
			if before == eventsBefore && c.relay.events.EventCount() > before {
				c.countRun(0)
			}
			if e != nil {
				return e
			}
			c.recordAlive(choice)
			c.recordProgress(choice, watch, before, eventsBefore)
		}
		switch {
		case err == nil && n > 0:
			continue
		case err == nil:
			watch.release()
			continue
		case !watch.hold():
			return c.recordSuperseded(choice)
		}
		if err == io.EOF {
			before := c.relay.events.EventCount()
			e := c.finishStream(choice, resp)
			if before == eventsBefore && c.relay.events.EventCount() > before {
				c.countRun(0)
			}
			return e
		}
		return c.recordBrokenResponse(ctx, choice, err)
	}
}

// recordProgress records how long the first event of this run took, and restarts the stall watch after a read.
// before is the number of events before the read, and beforeRun that before the run.
func (c *call) recordProgress(choice placement.Choice, watch *stallWatch, before, beforeRun int) {
	events := c.relay.events
	if before == beforeRun && events.EventCount() > before {
		now := c.g.deps.Clock.Now()
		c.g.targets.RecordFirstEvent(choice.Instance, now.Sub(watch.start), choice.TimeToFirstEvent, now)
		c.recordAnswered()
	}
	if !events.Resumable() {
		watch.disarm()
	}
	watch.resume(c, events.EventCount() > before)
}

// aliveInterval is the time between two records that the target of a stream runs. Events arrive some
// dozens a second.
const aliveInterval = 100 * time.Millisecond

// recordAlive records that the target has sent a part of the stream.
func (c *call) recordAlive(choice placement.Choice) {
	if now := c.g.deps.Clock.Now(); now.Sub(c.aliveRecordedAt) >= aliveInterval {
		c.aliveRecordedAt = now
		c.g.targets.RecordAlive(choice.Instance, now)
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
		return c.recordUnusableStream(choice, splitErr)
	}
	return nil
}

// recordUnusableStream returns the error for a stream that is too long, ends within an
// event or is out of order. It counts as a failure of the target.
func (c *call) recordUnusableStream(choice placement.Choice, err error) *verdict.Error {
	c.g.targets.RecordFailure(choice.Instance, c.g.deps.Clock.Now())
	var order *eventstream.OrderError
	if errors.As(err, &order) {
		c.g.deps.Metrics.Count("gateway_streams_out_of_order_total", 1)
	}
	return verdict.Wrap(err, verdict.MayHaveRun, verdict.CodeBrokenAnswer, "answer is not a usable stream")
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

// finishStream ends the response after the regular end of the target's response.
func (c *call) finishStream(choice placement.Choice, resp *port.ForwardResponse) *verdict.Error {
	rest, err := c.relay.events.End(resp.EndsWithConnection)
	if err != nil {
		return c.recordUnusableStream(choice, err)
	}
	err = c.sendStreamHead(resp)
	if err == nil && len(rest) > 0 {
		err = c.out.Data(rest)
	}
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

// orderFields returns the log fields that show how the events of a stream follow each
// other, within a run and where a later run continued the stream.
func (r *relay) orderFields() []port.Field {
	fs := []port.Field{
		port.F("last_event", r.events.LastID()), port.F("event_gaps", r.events.Gaps()),
		port.F("ends_with_connection", r.endsWithConnection),
	}
	if r.resumes > 0 {
		fs = append(fs, port.F("resumes", r.resumes), port.F("resumed_after", r.resumedAfter), port.F("resumed_with", r.events.FirstID()))
	}
	return fs
}

// countResumes counts the later runs that continued a stream, by the outcome of the
// request.
func (c *call) countResumes(outcome string) {
	if n := c.relay.resumes; n > 0 {
		c.g.deps.Metrics.Count("gateway_stream_resumes_total", int64(n), port.Attr{Key: "outcome", Value: outcome})
	}
}
