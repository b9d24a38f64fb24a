package gateway

import (
	"bytes"
	"context"
	"io"
	"time"

	"github.com/masticwing/masticwing/internal/app/supervise"
	"github.com/masticwing/masticwing/internal/core/eventstream"
	"github.com/masticwing/masticwing/internal/core/placement"
	"github.com/masticwing/masticwing/internal/core/quarantine"
	"github.com/masticwing/masticwing/internal/core/routes"
	"github.com/masticwing/masticwing/internal/core/verdict"
	"github.com/masticwing/masticwing/internal/port"
)

// successor is an attempt at another target, which begins while the current target is silent. The current attempt
// ends only once the other target has accepted the request: a target that is silent may go on, and the other one may
// refuse or be silent as well.
type successor struct {
	choice placement.Choice
	sentAt time.Time
	// limits are those of the weights of choice.
	limits weightsLimits
	// evidence is the request as the table of evidence knows it.
	evidence quarantine.Request
	// events checks the response to a stream, of which the caller has a part already if resumes is set.
	events  *eventstream.Splitter
	resumes bool
	// ctx is that of the request with a cancel function of its own.
	ctx    context.Context
	cancel context.CancelFunc
	// answered is closed once resp or err is set. A response to a stream then has its first event.
	answered chan struct{}
	resp     *port.ForwardResponse
	err      *verdict.Error
}

// isAnswered reports whether the target has answered or failed.
func (n *successor) isAnswered() bool {
	select {
	case <-n.answered:
		return true
	default:
		return false
	}
}

// isAccepted reports whether the target has accepted the request. An error of the target is no reason to end an
// attempt at another one, but is the answer if that fails or stays silent.
func (n *successor) isAccepted() bool {
	return n.isAnswered() && n.err == nil && n.resp.Status/100 == 2
}

// mayHaveRun reports whether the target may have run the request.
func (n *successor) mayHaveRun() bool {
	return !n.isAnswered() || n.err == nil || n.err.Verdict != verdict.NotRun
}

// openSuccessor begins to send the request to another target, if one takes it and a retry is left. s.mu is held.
func (c *call) openSuccessor(ctx context.Context, s *stallWatch, now time.Time) {
	switch {
	case c.sends >= maxSends, s.runs >= c.route.MaxAttempts, !c.relay.events.Resumable(), c.withdrawn.Load(), s.suspect:
		return
	case c.checkLaterSend() != nil, c.checkQuarantine() != nil:
		return
	}
	q := c.placementQuery()
	// The current target may run the request.
	q.ExcludeSilent, q.NeedsMemory = true, true
	choice, out := c.g.targets.Choose(q, now, c.g.deps.Rand.IntN)
	if out != placement.Chosen {
		return
	}
	if !c.g.budgets.AllowRetry(c.service.Name, q.Processes, now) {
		c.g.targets.Release(choice.Instance)
		return
	}
	c.sends++
	c.tried[choice.Instance] = true
	n := &successor{
		choice: choice, sentAt: now, limits: newWeightsLimits(&q, choice), evidence: c.quarantineRequest(),
		events: c.relay.events.ForNextRun(), resumes: c.relay.headSent, answered: make(chan struct{}),
	}
	n.ctx, n.cancel = context.WithCancel(ctx)
	f := c.newForward(choice, now)
	if f.ConnectWithin == 0 {
		f.ConnectWithin = retryConnectTimeout
	}
	c.sentTo[choice.Address] = true
	s.successor = n
	c.successors.Go(func() {
		err := supervise.Call(c.g.deps.Log, c.g.deps.Metrics, "successor", func() error {
			n.resp, n.err = c.sendSuccessor(n, f)
			return nil
		})
		if err != nil {
			n.err = verdict.Wrap(err, verdict.MayHaveRun, verdict.CodeInternal, "gateway failed")
		}
		close(n.answered)
		s.recordAnswer(c, n)
	})
}

// sendSuccessor sends the request and awaits the response, and the first event of a stream.
func (c *call) sendSuccessor(n *successor, f port.Forward) (*port.ForwardResponse, *verdict.Error) {
	if c.service.Engine != nil {
		c.g.notifyGateways(n.choice.Address, c.in.WorkEstimate.PromptTokens)
	}
	responded := n.limits.cancelAtExpiry(n.cancel)
	resp, err := c.g.deps.Targets.Forward(n.ctx, n.choice.Address, f)
	responded()
	if err != nil {
		return nil, verdict.FromError(err)
	}
	var failure *verdict.Error
	switch {
	case resp.Status/100 != 2 && n.resumes:
		failure = verdict.New(verdict.Ran, verdict.CodeTargetError, "target answered with status %d instead of continuing the stream", resp.Status)
	case resp.Status/100 == 2 && c.route.Kind == routes.Streaming:
		failure = n.awaitFirstEvent(resp)
	}
	if failure != nil {
		_ = resp.Body.Close()
		return nil, failure
	}
	return resp, nil
}

// awaitFirstEvent reads a stream up to its first event, which stays a part of the response.
func (n *successor) awaitFirstEvent(resp *port.ForwardResponse) *verdict.Error {
	var read bytes.Buffer
	buf := make([]byte, streamReadBytes)
	for before := n.events.EventCount(); n.events.EventCount() == before; {
		k, err := resp.Body.Read(buf)
		read.Write(buf[:k])
		_, unusable := n.events.Push(buf[:k])
		ended := err == io.EOF && n.events.EventCount() == before
		if ended && unusable == nil {
			_, unusable = n.events.End(resp.EndsWithConnection)
		}
		switch {
		case unusable != nil:
			return verdict.Wrap(unusable, verdict.MayHaveRun, verdict.CodeBrokenAnswer, "answer is not a usable stream")
		case err != nil && err != io.EOF:
			return verdict.Wrap(err, verdict.MayHaveRun, verdict.CodeBrokenAnswer, "answer ended early")
		}
		if ended {
			break
		}
	}
	resp.Body = precededBody{io.MultiReader(&read, resp.Body), resp.Body}
	return nil
}

// precededBody is the body of a response of which a part has been read and is returned again.
type precededBody struct {
	io.Reader
	io.Closer
}

// recordAnswer ends the current attempt if the successor's target has accepted the request, and the successor if it
// has failed.
func (s *stallWatch) recordAnswer(c *call, n *successor) {
	if losses := s.adoptOrDrop(c, n); len(losses) > 0 {
		c.g.reportLosses(losses, c.in.ID, n.choice.Instance)
	}
}

// adoptOrDrop is recordAnswer without the report of the losses that it returns.
func (s *stallWatch) adoptOrDrop(c *call, n *successor) (losses []quarantine.Loss) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.successor != n:
		// It was dropped, or its attempt is that of the call by now.
	case n.err == nil:
		if !s.held {
			s.adopt()
		}
	case n.ctx.Err() != nil:
		s.drop(c, "dropped")
	default:
		c.g.recordNoResponse(n.choice, n.err)
		if isLostConnection(n.err) {
			var suspect bool
			losses, suspect = c.g.quarantine.RecordLoss(n.evidence, n.sentAt, s.now())
			s.lost, s.suspect = s.lost+1, s.suspect || suspect
		}
		s.drop(c, "failed")
	}
	return losses
}

// adopt ends the current attempt if its successor is accepted. mu is held.
func (s *stallWatch) adopt() {
	if s.successor != nil && s.successor.isAccepted() {
		s.supersede()
	}
}

// supersede ends the current attempt, so that its successor goes on as the attempt. mu is held.
func (s *stallWatch) supersede() {
	s.superseded = true
	s.cancel()
}

// drop gives up the successor, if there is one. mu is held.
func (s *stallWatch) drop(c *call, outcome string) {
	n := s.successor
	if n == nil {
		return
	}
	s.successor = nil
	if n.mayHaveRun() {
		s.runs++
		s.ended++
	}
	c.endSuccessor(n, outcome)
}

// endSuccessor cancels a successor and returns its place in the target.
func (c *call) endSuccessor(n *successor, outcome string) {
	n.cancel()
	c.successors.Go(func() {
		<-n.answered
		if n.resp != nil {
			_ = n.resp.Body.Close()
		}
		c.g.targets.Release(n.choice.Instance)
		if n.mayHaveRun() {
			c.g.drain.RecordFreed(c.service.Name, c.g.deps.Clock.Now())
		}
		c.g.countSuccessor(outcome)
	})
}

// countSuccessor counts a successor by what became of it.
func (g *Gateway) countSuccessor(outcome string) {
	g.deps.Metrics.Count("gateway_successors_total", 1, port.Attr{Key: "outcome", Value: outcome})
}

// takeSuccessor returns the successor of an attempt that has failed, or nil if there is none that may continue
// the request.
func (c *call) takeSuccessor(ctx context.Context) *successor {
	n := c.successor
	c.successor = nil
	if n == nil {
		return nil
	}
	if ctx.Err() != nil || c.withdrawn.Load() || c.suspect || c.relay.callerLeft || !c.relay.events.Resumable() {
		if n.mayHaveRun() {
			c.runs++
		}
		c.endSuccessor(n, "dropped")
		return nil
	}
	c.g.countSuccessor("continued")
	c.lastChoice, c.lastSentAt, c.limits = n.choice, n.sentAt, n.limits
	return n
}
