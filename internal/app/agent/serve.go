package agent

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"

	"github.com/masticwing/masticwing/internal/core/admission"
	"github.com/masticwing/masticwing/internal/core/verdict"
	"github.com/masticwing/masticwing/internal/port"
)

const (
	// frameBytes is the largest piece of an answer sent to an entry, which
	// holds one piece per request.
	frameBytes = 16 << 10
	// cancelHold is the time for which a request that was cut short keeps its
	// place in the engine. The engine learns of a cancel from the closed
	// connection and says nothing when it has stopped; until then it holds the
	// request, and one more in its place may be more than it bears.
	cancelHold = 100 * time.Millisecond
	// longestRequest bounds a request without a deadline of its own.
	longestRequest = 10 * time.Minute
	// maxResumes bounds how often the stream of one answer is resumed.
	maxResumes = 3
	// resumePause is the time before a broken stream is resumed.
	resumePause = 50 * time.Millisecond
)

// Serve implements port.AgentHandler.
func (a *Agent) Serve(ctx context.Context, r port.ServeRequest, sink port.AnswerSink) error {
	a.serving.Start()
	defer a.serving.Done()
	if r.Timeout <= 0 || r.Timeout > longestRequest {
		r.Timeout = longestRequest
	}
	ctx, cancel := context.WithTimeout(ctx, r.Timeout)
	defer cancel()
	s := &serving{a: a, r: r, sink: sink, start: a.d.Clock.Now()}
	err := s.run(ctx)
	s.record(err)
	return err
}

// serving is one request inside Serve.
type serving struct {
	a      *Agent
	r      port.ServeRequest
	sink   port.AnswerSink
	start  time.Time
	permit *admission.Permit
	// sent is the time at which the request went to the target.
	sent     time.Time
	headed   bool
	first    bool
	replayed bool
}

func (s *serving) run(ctx context.Context) error {
	v := s.a.view()
	if v.declaration == nil {
		return verdict.New(verdict.NotRun, verdict.CodeNoConfiguration, "agent knows no declaration yet")
	}
	if s.r.Service != "" {
		return s.callService(ctx, v)
	}
	if s.a.d.Engine == nil || s.r.Group != v.assign.Group {
		return verdict.New(verdict.NotRun, verdict.CodeVersionNotServing, "target does not serve group %q", s.r.Group)
	}
	return s.generate(ctx, v)
}

// admit takes a permit or returns the refusal.
func (s *serving) admit(ctx context.Context) error {
	p, refusal := s.a.admit(ctx, int64(len(s.r.Body)), s.start)
	if refusal != nil {
		return refusal
	}
	s.permit = p
	return nil
}

func (s *serving) release(err error) {
	o := admission.Failed
	switch {
	case err == nil && !s.replayed:
		o = admission.Succeeded
	case s.replayed || verdict.FromError(err).Verdict == verdict.NotRun:
		o = admission.Unused
	}
	s.permit.Release(o, s.a.d.Clock.Now())
	if s.permit.Version() != s.a.view().serving.Version {
		// The version may have been waiting for its last request to retire.
		signal(s.a.kicks)
	}
}

func (s *serving) generate(ctx context.Context, v view) (err error) {
	// A refused request has used the link as well.
	s.a.d.Weights.ChargeLiveTraffic(len(s.r.Body), 0)
	if err := s.admit(ctx); err != nil {
		return err
	}
	defer func() {
		if cutShort(err) {
			<-s.a.d.Clock.After(cancelHold)
		}
		s.release(err)
	}()
	if s.r.Version != "" && s.r.Version != s.permit.Version() {
		return verdict.New(verdict.NotRun, verdict.CodeVersionNotServing, "target does not serve version %q", s.r.Version)
	}
	s.sent = s.a.d.Clock.Now()
	r := port.EngineRequest{
		ID:       s.r.ID,
		Model:    v.serving.Model,
		Version:  s.permit.Version(),
		Class:    s.r.Class,
		Body:     s.r.Body,
		Priority: int(s.r.Class),
		Resume:   s.r.Resume,
		Expect:   s.permit.ExpectedIdentity(),
	}
	var broke error
	for n := 0; ; n++ {
		err := s.stream(ctx, &r)
		if err == nil {
			return nil
		}
		var changed *port.EngineChangedError
		if n > 0 && errors.As(err, &changed) {
			return broke
		}
		if n > 0 && verdict.FromError(err).Verdict == verdict.NotRun {
			// An engine that refuses to resume has already run a part.
			err = verdict.FromError(err).WithVerdict(verdict.MayHaveRun)
		}
		if n == maxResumes || !s.resumable(ctx, err) {
			return err
		}
		s.a.d.Metrics.Count("agent_resumes", 1)
		broke = err
	}
}

// resumable reports whether the engine may continue the answer after err, and
// waits before it does. A stream that broke before its head is not resumed:
// nothing has reached the entry, which tries another target. Nor is one resumed
// at an engine that has restarted meanwhile: all requests of the warm engine
// would start at a cold one at once.
func (s *serving) resumable(ctx context.Context, err error) bool {
	if !s.headed || verdict.FromError(err).Code != verdict.CodeTargetError {
		return false
	}
	select {
	case <-ctx.Done():
		return false
	case <-s.a.d.Clock.After(resumePause):
	}
	asked := s.a.d.Clock.Now()
	st, err := s.a.d.Engine.Status(ctx)
	if err != nil {
		return false
	}
	s.a.observeEngine(observation(st, asked))
	return s.permit.IsCurrent()
}

// stream passes one stream of the engine on, from the frame that r.Resume
// names, and counts the frames passed there.
func (s *serving) stream(ctx context.Context, r *port.EngineRequest) error {
	asked := s.a.d.Clock.Now()
	ans, err := s.a.d.Engine.Generate(ctx, *r)
	if err != nil {
		s.a.refused(err, s.permit, asked)
		signal(s.a.probes)
		return err
	}
	defer func() { _ = ans.Close() }()
	if err := s.checkHead(ans.Head()); err != nil {
		return err
	}
	return s.copyAnswer(ctx, ans, func() { r.Resume++ })
}

// cutShort reports whether the engine may still work on a request that ended
// with err, because this side closed the answer. With CodeTargetError the
// engine ended it itself.
func cutShort(err error) bool {
	if err == nil {
		return false
	}
	v := verdict.FromError(err)
	return v.Verdict == verdict.MayHaveRun && v.Code != verdict.CodeTargetError
}

// checkHead refuses an answer that belongs to another request or comes from
// another version than the one pinned. Nothing of it reaches the entry.
func (s *serving) checkHead(h port.AnswerHead) error {
	if h.ID != s.r.ID {
		return verdict.New(verdict.MayHaveRun, verdict.CodeBrokenAnswer, "engine answered request %q", h.ID)
	}
	if h.Version != s.permit.Version() {
		return verdict.New(verdict.MayHaveRun, verdict.CodeVersionMismatch,
			"engine answered from version %q, pinned is %q", h.Version, s.permit.Version())
	}
	return nil
}

// copyAnswer passes the answer on piece by piece. It reads the next piece only
// after the entry took the last one, and calls passed after each.
func (s *serving) copyAnswer(ctx context.Context, ans port.Answer, passed func()) error {
	if !s.headed {
		if err := s.head(ctx, ans.Head()); err != nil {
			return err
		}
	}
	for {
		b, err := ans.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := s.data(ctx, b); err != nil {
			return err
		}
		passed()
	}
}

func (s *serving) head(ctx context.Context, h port.AnswerHead) error {
	s.headed = true
	return gone(ctx, s.sink.Head(h, s.a.Load()))
}

func (s *serving) data(ctx context.Context, b []byte) error {
	s.firstByte()
	s.a.d.Weights.ChargeLiveTraffic(0, len(b))
	for len(b) > 0 {
		n := min(frameBytes, len(b))
		if err := gone(ctx, s.sink.Data(b[:n])); err != nil {
			return err
		}
		b = b[n:]
	}
	return nil
}

// gone gives an error of the entry's side its verdict.
func gone(ctx context.Context, err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return verdict.Wrap(err, verdict.MayHaveRun, verdict.CodeDeadline, "deadline passed")
	default:
		return verdict.Wrap(err, verdict.MayHaveRun, verdict.CodeCanceled, "entry has gone")
	}
}

func (s *serving) firstByte() {
	if s.first {
		return
	}
	s.first = true
	now := s.a.d.Clock.Now()
	s.a.d.Metrics.Seconds("agent_first_byte_seconds", now.Sub(s.start), s.attrs()...)
	if !s.sent.IsZero() && s.permit.RecordFirstToken(now.Sub(s.sent), now) {
		s.a.d.Metrics.Count("agent_cold_restarts", 1)
	}
}

func (s *serving) attrs() []port.Attr {
	return []port.Attr{{Key: "class", Value: s.r.Class.String()}, {Key: "customer", Value: string(s.r.Customer)}}
}

func (s *serving) record(err error) {
	m := s.a.d.Metrics
	if err == nil {
		m.Seconds("agent_serve_seconds", s.a.d.Clock.Now().Sub(s.start), s.attrs()...)
		m.Count("agent_verdicts", 1, port.Attr{Key: "verdict", Value: verdict.Ran.String()})
		return
	}
	e := verdict.FromError(err)
	m.Count("agent_verdicts", 1, port.Attr{Key: "verdict", Value: e.Verdict.String()})
	if !s.headed && e.Verdict == verdict.NotRun {
		m.Count("agent_refusals", 1, port.Attr{Key: "code", Value: string(e.Code)})
	}
}
