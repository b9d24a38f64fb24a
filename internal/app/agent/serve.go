package agent

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/masticwing/masticwing/internal/core/admission"
	"github.com/masticwing/masticwing/internal/core/verdict"
	"github.com/masticwing/masticwing/internal/port"
)

const (
	// maxDataBytes is the maximum size of the data in one message to an entry,
	// which buffers one message per request.
	maxDataBytes = 16 << 10
	// cancelHoldTime is the time for which a canceled request keeps its slot. The
	// engine detects the cancellation by the closed connection and does not report
	// when it has stopped. Until then it still holds the request, and another one
	// in the same slot could overload it.
	cancelHoldTime = 100 * time.Millisecond
	// maxRequestTime is the timeout of a request that has none, and the maximum
	// for one that has.
	maxRequestTime = 10 * time.Minute
	// maxResumes bounds how often the stream of one response is resumed.
	maxResumes = 3
	// resumeDelay is the delay before a broken stream is resumed.
	resumeDelay = 50 * time.Millisecond
)

// Serve implements port.AgentHandler.
func (a *Agent) Serve(ctx context.Context, r port.ServeRequest, sink port.AnswerSink) error {
	a.requests.Start()
	defer a.requests.Done()
	if r.Timeout <= 0 || r.Timeout > maxRequestTime {
		r.Timeout = maxRequestTime
	}
	ctx, cancel := context.WithTimeout(ctx, r.Timeout)
	defer cancel()
	s := &servedRequest{a: a, req: r, sink: sink, receivedAt: a.deps.Clock.Now()}
	err := s.run(ctx)
	s.recordOutcome(err)
	return err
}

// servedRequest is one request inside Serve.
type servedRequest struct {
	a          *Agent
	req        port.ServeRequest
	sink       port.AnswerSink
	receivedAt time.Time
	permit     *admission.Permit
	// sentAt is the time at which the request was sent to the target.
	sentAt        time.Time
	headSent      bool
	firstByteSent bool
	replayed      bool
}

func (s *servedRequest) run(ctx context.Context) error {
	v := s.a.snapshot()
	if v.declaration == nil {
		return verdict.New(verdict.NotRun, verdict.CodeNoConfiguration, "agent knows no declaration yet")
	}
	if s.req.Service != "" {
		return s.serveCall(ctx, v)
	}
	if s.a.deps.Engine == nil || s.req.Group != v.assignment.Group {
		return verdict.New(verdict.NotRun, verdict.CodeVersionNotServing, "target does not serve group %q", s.req.Group)
	}
	return s.generate(ctx, v)
}

// admit acquires a permit or returns the refusal.
func (s *servedRequest) admit(ctx context.Context) error {
	p, refusal := s.a.admit(ctx, int64(len(s.req.Body)), s.receivedAt)
	if refusal != nil {
		return refusal
	}
	s.permit = p
	return nil
}

func (s *servedRequest) release(err error) {
	outcome := admission.Failed
	switch {
	case err == nil && !s.replayed:
		outcome = admission.Succeeded
	case s.replayed || verdict.FromError(err).Verdict == verdict.NotRun:
		outcome = admission.Unused
	}
	s.permit.Release(outcome, s.a.deps.Clock.Now())
	if s.permit.Version() != s.a.snapshot().serving.Version {
		// The controller may be waiting for the last request of this version in
		// order to unload it.
		signal(s.a.replanNow)
	}
}

func (s *servedRequest) generate(ctx context.Context, v snapshot) (err error) {
	// The body of a refused request has used the link, too.
	s.a.deps.Weights.ChargeLiveTraffic(len(s.req.Body), 0)
	if err := s.admit(ctx); err != nil {
		return err
	}
	defer func() {
		if mayStillRun(err) {
			<-s.a.deps.Clock.After(cancelHoldTime)
		}
		s.release(err)
	}()
	if s.req.Version != "" && s.req.Version != s.permit.Version() {
		return verdict.New(verdict.NotRun, verdict.CodeVersionNotServing, "target does not serve version %q", s.req.Version)
	}
	s.sentAt = s.a.deps.Clock.Now()
	engineReq := port.EngineRequest{
		ID:       s.req.ID,
		Model:    v.serving.Model,
		Version:  s.permit.Version(),
		Class:    s.req.Class,
		Body:     s.req.Body,
		Priority: int(s.req.Class),
		Resume:   s.req.Resume,
		Expect:   s.permit.ExpectedIdentity(),
	}
	var resumeCause error
	for resumes := 0; ; resumes++ {
		err := s.stream(ctx, &engineReq)
		if err == nil {
			return nil
		}
		var changed *port.EngineChangedError
		if resumes > 0 && errors.As(err, &changed) {
			return resumeCause
		}
		if resumes > 0 && verdict.FromError(err).Verdict == verdict.NotRun {
			// The engine refuses to resume, but it has already run part of the
			// request.
			err = verdict.FromError(err).WithVerdict(verdict.MayHaveRun)
		}
		if resumes == maxResumes || !s.waitToResume(ctx, err) {
			return err
		}
		s.a.deps.Metrics.Count("agent_resumes", 1)
		resumeCause = err
	}
}

// waitToResume reports whether the engine may continue the response after err.
// It waits for resumeDelay before it checks the engine. A stream that broke
// before its head is not resumed: nothing has reached the entry, which can try
// another target. A stream is not resumed on an engine that has restarted
// either, since all requests of the warm engine would start on the cold one at
// once.
func (s *servedRequest) waitToResume(ctx context.Context, err error) bool {
	if !s.headSent || verdict.FromError(err).Code != verdict.CodeTargetError {
		return false
	}
	select {
	case <-ctx.Done():
		return false
	case <-s.a.deps.Clock.After(resumeDelay):
	}
	askedAt := s.a.deps.Clock.Now()
	status, err := s.a.deps.Engine.Status(ctx)
	if err != nil {
		return false
	}
	s.a.observeEngine(newObservation(status, askedAt))
	return s.permit.IsCurrent()
}

// stream forwards one stream of the engine, starting at the frame
// engineReq.Resume, and increments Resume for each forwarded frame.
func (s *servedRequest) stream(ctx context.Context, engineReq *port.EngineRequest) error {
	askedAt := s.a.deps.Clock.Now()
	ans, err := s.a.deps.Engine.Generate(ctx, *engineReq)
	if err != nil {
		s.a.handleEngineChange(err, s.permit, askedAt)
		signal(s.a.probeNow)
		return err
	}
	defer func() { _ = ans.Close() }()
	if err := s.checkHead(ans.Head(), engineReq.Resume); err != nil {
		return err
	}
	return s.forwardResponse(ctx, startedAnswer{ans}, func() { engineReq.Resume++ })
}

// startedAnswer is the answer of a target that has accepted the request: its errors
// never say that the request did not run.
type startedAnswer struct{ port.Answer }

// Next implements port.Answer.
func (a startedAnswer) Next() ([]byte, error) {
	b, err := a.Answer.Next()
	if err == nil || port.AnswerEnded(err) {
		return b, err
	}
	return nil, verdict.FromError(err).AfterStart()
}

// mayStillRun reports whether the engine may still be working on a request that
// ended with err, because this side closed the response. With CodeTargetError
// the engine ended the request itself.
func mayStillRun(err error) bool {
	if err == nil {
		return false
	}
	v := verdict.FromError(err)
	return v.Verdict == verdict.MayHaveRun && v.Code != verdict.CodeTargetError
}

// checkHead rejects a response that belongs to another request, is not the stream of
// one run, comes from another version than the pinned one, or does not go on at frame
// start by the engine's own numbers. No part of it reaches the entry.
func (s *servedRequest) checkHead(h port.AnswerHead, start uint64) error {
	source := h.Source()
	for _, err := range []*verdict.Error{
		source.CheckRequest(s.req.ID), source.CheckStream(), source.CheckVersion(s.permit.Version()),
		source.CheckStart(start),
	} {
		if err != nil {
			return err
		}
	}
	return nil
}

// forwardResponse forwards the response frame by frame. It reads the next frame
// only after the entry has accepted the previous one, and calls onFrame after
// each.
func (s *servedRequest) forwardResponse(ctx context.Context, ans port.Answer, onFrame func()) error {
	if !s.headSent {
		if err := s.sendHead(ctx, ans.Head()); err != nil {
			return err
		}
	}
	for {
		b, err := ans.Next()
		if port.AnswerEnded(err) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := s.sendData(ctx, b); err != nil {
			return err
		}
		onFrame()
	}
}

func (s *servedRequest) sendHead(ctx context.Context, h port.AnswerHead) error {
	s.headSent = true
	return entryError(ctx, s.sink.Head(h, s.a.Load()))
}

func (s *servedRequest) sendData(ctx context.Context, b []byte) error {
	s.recordFirstByte()
	s.a.deps.Weights.ChargeLiveTraffic(0, len(b))
	for len(b) > 0 {
		n := min(maxDataBytes, len(b))
		if err := entryError(ctx, s.sink.Data(b[:n])); err != nil {
			return err
		}
		b = b[n:]
	}
	return nil
}

// entryError adds a verdict to an error of sending to the entry.
func entryError(ctx context.Context, err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return verdict.Wrap(err, verdict.MayHaveRun, verdict.CodeDeadline, "deadline passed")
	default:
		return verdict.Wrap(err, verdict.MayHaveRun, verdict.CodeCanceled, "entry has gone")
	}
}

func (s *servedRequest) recordFirstByte() {
	if s.firstByteSent {
		return
	}
	s.firstByteSent = true
	now := s.a.deps.Clock.Now()
	s.a.deps.Metrics.Seconds("agent_first_byte_seconds", now.Sub(s.receivedAt), s.metricAttrs()...)
	if !s.sentAt.IsZero() && s.permit.RecordFirstToken(now.Sub(s.sentAt), now) {
		s.a.deps.Metrics.Count("agent_cold_restarts", 1)
	}
}

func (s *servedRequest) metricAttrs() []port.Attr {
	return []port.Attr{{Key: "class", Value: s.req.Class.String()}, {Key: "customer", Value: string(s.req.Customer)}}
}

func (s *servedRequest) recordOutcome(err error) {
	m := s.a.deps.Metrics
	if err == nil {
		m.Seconds("agent_serve_seconds", s.a.deps.Clock.Now().Sub(s.receivedAt), s.metricAttrs()...)
		m.Count("agent_verdicts", 1, port.Attr{Key: "verdict", Value: verdict.Ran.String()})
		return
	}
	e := verdict.FromError(err)
	m.Count("agent_verdicts", 1, port.Attr{Key: "verdict", Value: e.Verdict.String()})
	if !s.headSent && e.Verdict == verdict.NotRun {
		m.Count("agent_refusals", 1, port.Attr{Key: "code", Value: string(e.Code)})
	}
}
