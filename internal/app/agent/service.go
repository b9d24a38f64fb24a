package agent

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"io"

	"github.com/pkg/errors"

	"github.com/masticwing/masticwing/internal/core/verdict"
	"github.com/masticwing/masticwing/internal/port"
)

// keptAnswerBytes is the largest answer kept for repeats of a call.
const keptAnswerBytes = 64 << 10

func (s *serving) callService(ctx context.Context, v view) error {
	if s.a.d.Service == nil || s.r.Service != v.assign.Service {
		return verdict.New(verdict.NotRun, verdict.CodeVersionNotServing, "target does not run service %q", s.r.Service)
	}
	call, ok := v.declaration.Services[s.r.Service].Calls[s.r.Call]
	switch {
	case !ok:
		return verdict.New(verdict.NotRun, verdict.CodeBadRequest, "service %q has no call %q", s.r.Service, s.r.Call)
	case call.AtMostOnce && s.r.IdempotencyKey == "":
		return verdict.New(verdict.NotRun, verdict.CodeKeyRequired, "call %q needs an idempotency key", s.r.Call)
	}
	if err := s.admit(ctx); err != nil {
		return err
	}
	var err error
	if call.AtMostOnce {
		err = s.callOnce(ctx)
	} else {
		err = s.callRepeatable(ctx)
	}
	if err != nil {
		s.lost(err)
	}
	s.release(err)
	return err
}

func (s *serving) open(ctx context.Context) (port.Answer, error) {
	s.sent = s.a.d.Clock.Now()
	return s.a.d.Service.Call(ctx, port.ServiceRequest{
		ID:             s.r.ID,
		Service:        s.r.Service,
		Call:           s.r.Call,
		Customer:       s.r.Customer,
		Body:           s.r.Body,
		ContentType:    s.r.ContentType,
		IdempotencyKey: s.r.IdempotencyKey,
	})
}

// lost takes a connection lost before or within the answer as a sign that the
// service restarted, since a plain service reports no boot identity.
func (s *serving) lost(err error) {
	switch verdict.FromError(err).Code {
	case verdict.CodeTargetLost:
		s.a.adm.ResetToCold(s.a.target, s.a.d.Clock.Now())
		signal(s.a.probes)
	case verdict.CodeTargetError:
		signal(s.a.probes)
	}
}

func (s *serving) callRepeatable(ctx context.Context) error {
	ans, err := s.open(ctx)
	if err != nil {
		return err
	}
	defer func() { _ = ans.Close() }()
	return s.copyAnswer(ctx, ans, func() {})
}

// callOnce runs a call that may run at most once for its key.
func (s *serving) callOnce(ctx context.Context) error {
	t, stored, err := s.a.d.Ledger.Begin(ctx, port.LedgerKey{
		Service: s.r.Service, Customer: s.r.Customer, Key: s.r.IdempotencyKey,
	}, contentOf(s.r))
	if err != nil {
		return err
	}
	if stored != nil {
		return s.replay(ctx, stored)
	}
	if ctx.Err() != nil {
		t.NotRun()
		return verdict.Wrap(ctx.Err(), verdict.NotRun, verdict.CodeDeadline, "request ended before the call started")
	}
	return s.runOnce(ctx, t)
}

// contentOf returns the digest of what a call asks for.
func contentOf(r port.ServeRequest) (c port.ContentDigest) {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(r.Call), []byte(r.ContentType), r.Body} {
		_ = binary.Write(h, binary.BigEndian, uint64(len(part)))
		_, _ = h.Write(part)
	}
	copy(c[:], h.Sum(nil))
	return c
}

func (s *serving) replay(ctx context.Context, a *port.StoredAnswer) error {
	s.replayed = true
	h := a.Head
	h.ID, h.Replayed = s.r.ID, true
	if err := s.head(ctx, h); err != nil {
		return err
	}
	return s.data(ctx, a.Body)
}

// runOnce runs the call and settles the ticket exactly once. A caller that
// goes away does not end the call, only its deadline does: a call that was cut
// could no longer be told from one that ran.
func (s *serving) runOnce(ctx context.Context, t port.LedgerClaim) error {
	settled := false
	defer func() {
		if !settled {
			t.Unknown()
		}
	}()
	run := context.WithoutCancel(ctx)
	if deadline, ok := ctx.Deadline(); ok {
		var cancel context.CancelFunc
		run, cancel = context.WithDeadline(run, deadline)
		defer cancel()
	}
	ans, err := s.open(run)
	if err != nil {
		settled = true
		return settle(t, err)
	}
	defer func() { _ = ans.Close() }()
	kept, whole, err := keep(ans)
	if err != nil {
		settled = true
		return settle(t, err)
	}
	if whole {
		// The record does not wait for the caller.
		settled = true
		t.Done(&port.StoredAnswer{Head: ans.Head(), Body: kept})
	}
	sendErr, err := s.sendOnce(ctx, ans, kept, whole)
	if !settled {
		settled = true
		if err != nil {
			return settle(t, err)
		}
		t.Done(nil)
	}
	if sendErr != nil {
		return verdict.FromError(sendErr).WithVerdict(verdict.Ran)
	}
	return nil
}

// settle records a call that failed.
func settle(t port.LedgerClaim, err error) error {
	switch verdict.FromError(err).Verdict {
	case verdict.NotRun:
		t.NotRun()
	case verdict.Ran:
		t.Done(nil)
	default:
		t.Unknown()
	}
	return err
}

// keep reads an answer until its end, or until it is too large to be kept.
func keep(ans port.Answer) (kept []byte, whole bool, err error) {
	for len(kept) <= keptAnswerBytes {
		b, err := ans.Next()
		if errors.Is(err, io.EOF) {
			return kept, true, nil
		}
		if err != nil {
			return nil, false, err
		}
		kept = append(kept, b...)
	}
	return kept, false, nil
}

// sendOnce passes the answer on. The rest of an answer that is not whole yet
// is read to its end even if the entry has gone.
func (s *serving) sendOnce(ctx context.Context, ans port.Answer, kept []byte, whole bool) (sendErr, err error) {
	if sendErr = s.head(ctx, ans.Head()); sendErr == nil {
		sendErr = s.data(ctx, kept)
	}
	for !whole {
		b, err := ans.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return sendErr, err
		}
		if sendErr == nil {
			sendErr = s.data(ctx, b)
		}
	}
	return sendErr, nil
}
