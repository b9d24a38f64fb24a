package agent

import (
	"context"
	"crypto/sha256"
	"encoding/binary"

	"github.com/masticwing/masticwing/internal/core/verdict"
	"github.com/masticwing/masticwing/internal/port"
)

// maxStoredBodyBytes is the maximum size of a response body that is stored for
// retries of a call.
const maxStoredBodyBytes = 64 << 10

func (s *servedRequest) serveCall(ctx context.Context, v snapshot) error {
	if s.a.deps.Service == nil || s.req.Service != v.assignment.Service {
		return verdict.New(verdict.NotRun, verdict.CodeVersionNotServing, "target does not run service %q", s.req.Service)
	}
	call, ok := v.declaration.Services[s.req.Service].Calls[s.req.Call]
	switch {
	case !ok:
		return verdict.New(verdict.NotRun, verdict.CodeBadRequest, "service %q has no call %q", s.req.Service, s.req.Call)
	case call.AtMostOnce && s.req.IdempotencyKey == "":
		return verdict.New(verdict.NotRun, verdict.CodeKeyRequired, "call %q needs an idempotency key", s.req.Call)
	}
	if err := s.admit(ctx); err != nil {
		return err
	}
	var err error
	if call.AtMostOnce {
		err = s.callAtMostOnce(ctx)
	} else {
		err = s.callRetryable(ctx)
	}
	if err != nil {
		s.handleCallError(err)
	}
	s.release(err)
	return err
}

func (s *servedRequest) callTarget(ctx context.Context) (port.Answer, error) {
	s.sentAt = s.a.deps.Clock.Now()
	ans, err := s.a.deps.Service.Call(ctx, port.ServiceRequest{
		ID:             s.req.ID,
		Service:        s.req.Service,
		Call:           s.req.Call,
		Customer:       s.req.Customer,
		Body:           s.req.Body,
		ContentType:    s.req.ContentType,
		IdempotencyKey: s.req.IdempotencyKey,
	})
	if err != nil {
		return nil, err
	}
	return startedAnswer{ans}, nil
}

// handleCallError resets admission to the cold limit if the connection was lost
// before or during the response. A plain service reports no boot identity, so
// this is the only sign that it may have restarted. After any other target error
// it only triggers a probe.
func (s *servedRequest) handleCallError(err error) {
	switch verdict.FromError(err).Code {
	case verdict.CodeTargetLost:
		s.a.admissions.ResetToCold(s.a.targetKey, s.a.deps.Clock.Now())
		signal(s.a.probeNow)
	case verdict.CodeTargetError:
		signal(s.a.probeNow)
	}
}

func (s *servedRequest) callRetryable(ctx context.Context) error {
	ans, err := s.callTarget(ctx)
	if err != nil {
		return err
	}
	defer func() { _ = ans.Close() }()
	return s.forwardResponse(ctx, ans, func() {})
}

// callAtMostOnce runs a call that may run at most once for its idempotency key,
// or replays its stored response.
func (s *servedRequest) callAtMostOnce(ctx context.Context) error {
	claim, stored, err := s.a.deps.Ledger.Begin(ctx, port.LedgerKey{
		Service: s.req.Service, Customer: s.req.Customer, Key: s.req.IdempotencyKey,
	}, contentDigest(s.req))
	if err != nil {
		return err
	}
	if stored != nil {
		return s.replay(ctx, stored)
	}
	if ctx.Err() != nil {
		claim.NotRun()
		return verdict.Wrap(ctx.Err(), verdict.NotRun, verdict.CodeDeadline, "request ended before the call started")
	}
	return s.runClaimed(ctx, claim)
}

// contentDigest returns the digest of a call's name, content type and body.
func contentDigest(r port.ServeRequest) (digest port.ContentDigest) {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(r.Call), []byte(r.ContentType), r.Body} {
		_ = binary.Write(h, binary.BigEndian, uint64(len(part)))
		_, _ = h.Write(part)
	}
	copy(digest[:], h.Sum(nil))
	return digest
}

func (s *servedRequest) replay(ctx context.Context, stored *port.StoredAnswer) error {
	s.replayed = true
	h := stored.Head
	h.ID, h.Replayed = s.req.ID, true
	if err := s.sendHead(ctx, h); err != nil {
		return err
	}
	return s.sendData(ctx, stored.Body)
}

// runClaimed runs the call and records its outcome in the claim exactly once.
// The call is canceled at its deadline, but not when the caller disconnects,
// because it is unknown whether a canceled call ran.
func (s *servedRequest) runClaimed(ctx context.Context, claim port.LedgerClaim) error {
	recorded := false
	defer func() {
		if !recorded {
			claim.Unknown()
		}
	}()
	callCtx := context.WithoutCancel(ctx)
	if deadline, ok := ctx.Deadline(); ok {
		var cancel context.CancelFunc
		callCtx, cancel = context.WithDeadline(callCtx, deadline)
		defer cancel()
	}
	ans, err := s.callTarget(callCtx)
	if err != nil {
		recorded = true
		return recordFailure(claim, err)
	}
	defer func() { _ = ans.Close() }()
	buffered, complete, err := readStorable(ans)
	if err != nil {
		recorded = true
		return recordFailure(claim, err)
	}
	if complete {
		// The outcome is recorded before the response is sent, so that the record
		// does not wait for the caller.
		recorded = true
		claim.Done(&port.StoredAnswer{Head: ans.Head(), Body: buffered})
	}
	sendErr, err := s.forwardStorable(ctx, ans, buffered, complete)
	if !recorded {
		recorded = true
		if err != nil {
			return recordFailure(claim, err)
		}
		claim.Done(nil)
	}
	if sendErr != nil {
		return verdict.FromError(sendErr).WithVerdict(verdict.Ran)
	}
	return nil
}

// recordFailure records the outcome of a failed call and returns err.
func recordFailure(claim port.LedgerClaim, err error) error {
	switch verdict.FromError(err).Verdict {
	case verdict.NotRun:
		claim.NotRun()
	case verdict.Ran:
		claim.Done(nil)
	default:
		claim.Unknown()
	}
	return err
}

// readStorable reads a response until its end, or until it is too large to be
// stored. complete reports whether it reached the end.
func readStorable(ans port.Answer) (buffered []byte, complete bool, err error) {
	for len(buffered) <= maxStoredBodyBytes {
		b, err := ans.Next()
		if port.AnswerEnded(err) {
			return buffered, true, nil
		}
		if err != nil {
			return nil, false, err
		}
		buffered = append(buffered, b...)
	}
	return buffered, false, nil
}

// forwardStorable sends the buffered part of a response and then, if it is not
// complete, the rest. It reads the rest to the end even if the entry has
// disconnected. sendErr is an error of sending, err one of reading.
func (s *servedRequest) forwardStorable(ctx context.Context, ans port.Answer, buffered []byte, complete bool) (sendErr, err error) {
	if sendErr = s.sendHead(ctx, ans.Head()); sendErr == nil {
		sendErr = s.sendData(ctx, buffered)
	}
	for !complete {
		b, err := ans.Next()
		if port.AnswerEnded(err) {
			break
		}
		if err != nil {
			return sendErr, err
		}
		if sendErr == nil {
			sendErr = s.sendData(ctx, b)
		}
	}
	return sendErr, nil
}
