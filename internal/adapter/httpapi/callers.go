package httpapi

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/schedule"
	"github.com/masticwing/masticwing/internal/core/shard"
	"github.com/masticwing/masticwing/internal/core/verdict"
)

const (
	// openBytes is counted for an open answer beside the bytes of its frame.
	// 457 callers that did not read took 58 KiB each in live heap and stacks:
	// five goroutines and the buffers of two connections. The rest is for
	// garbage, so that the collector is not busy while the bound is reached.
	openBytes = 96 << 10
	// maxWaiting bounds the requests that wait for memory with their permit.
	// Each takes about 25 KiB, which is not counted.
	maxWaiting = 64
	// slowAfter is the time a write must be blocked before its caller counts
	// as slow. Healthy callers take a frame within milliseconds.
	slowAfter = 100 * time.Millisecond
	// holdTries bounds how often a request or a frame waits slowAfter for memory.
	holdTries = 10
)

// caller is one request of a caller, as the accounting of memory sees it.
type caller struct {
	id       fleet.RequestID
	customer fleet.Customer
	maxBytes int64
	// interrupt makes a blocked write return.
	interrupt func()
	ended     atomic.Bool
	// refused is true if the request found no memory.
	refused bool
}

// hold is what an open answer holds.
type hold struct {
	caller *caller
	// frame is the size of the frame that is being written, zero if none is.
	frame int64
	// since is the time at which the write began.
	since time.Time
}

// callers counts the memory held for callers and ends the slowest when a bound
// is passed.
type callers struct {
	bytes *schedule.ByteLimiter
	open  *shard.Map[fleet.RequestID, hold]
	// waiting counts the requests in beginAnswer.
	waiting atomic.Int64
}

func newCallers(limit int64) *callers {
	return &callers{bytes: schedule.NewByteLimiter(limit), open: shard.New[fleet.RequestID, hold](0)}
}

// takeBody counts n bytes of a request body, or returns the error for the
// caller. Slow callers make way for new requests.
func (s *callers) takeBody(c *caller, n int64) error {
	for {
		err := s.bytes.Reserve(c.customer, n, c.maxBytes)
		if err == nil || !s.endSlowest(c, verdict.FromError(err).Code) {
			return err
		}
	}
}

func (s *callers) giveBody(c *caller, n int64) { s.bytes.Release(c.customer, n) }

// beginAnswer counts an answer that is about to be opened. The request has not
// been sent on, so a failure means that it did not run. It waits only for the
// bound of the process: the request has a permit, which others need while its
// customer is over its own bound.
func (s *callers) beginAnswer(ctx context.Context, c *caller) error {
	patient := s.waiting.Add(1) <= maxWaiting
	defer s.waiting.Add(-1)
	err := s.wait(ctx, c, openBytes, func(code verdict.Code) bool { return patient && code != verdict.CodeCustomerLimit })
	if err != nil && ctx.Err() != nil {
		return verdict.Wrap(ctx.Err(), verdict.NotRun, verdict.CodeCanceled, "caller left")
	}
	if err != nil {
		c.refused = true
		return err
	}
	s.open.Put(c.id, hold{caller: c})
	return nil
}

// endAnswer returns what the answer holds unless endSlowest did.
func (s *callers) endAnswer(c *caller) { s.drop(c.id) }

// wait counts n bytes. It ends slow callers to make room, and waits up to
// holdTries times for one that becomes slow or for an answer that ends, if patient
// allows it for the code of the error.
func (s *callers) wait(ctx context.Context, c *caller, n int64, patient func(verdict.Code) bool) error {
	for try := 0; ; {
		err := s.bytes.Reserve(c.customer, n, c.maxBytes)
		if err == nil {
			return nil
		}
		code := verdict.FromError(err).Code
		if s.endSlowest(c, code) {
			continue
		}
		if try++; try > holdTries || !patient(code) {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(slowAfter):
		}
	}
}

// beginWrite counts a frame that is about to be written. It waits for a slow
// caller to make way and fails if none does.
func (s *callers) beginWrite(ctx context.Context, c *caller, n int) error {
	size := int64(n)
	if err := s.wait(ctx, c, size, func(verdict.Code) bool { return true }); err != nil {
		if ctx.Err() != nil {
			return verdict.Wrap(ctx.Err(), verdict.MayHaveRun, verdict.CodeCanceled, "caller left")
		}
		return verdict.New(verdict.MayHaveRun, verdict.CodeSlowCaller, "entry has no memory for the answer")
	}
	now := time.Now()
	held := false
	s.open.Update(c.id, func(h hold, ok bool) (hold, bool) {
		held = ok
		h.frame, h.since = size, now
		return h, ok
	})
	if !held {
		s.bytes.Release(c.customer, size)
		return verdict.New(verdict.MayHaveRun, verdict.CodeSlowCaller, "answer holds no memory")
	}
	return nil
}

// endWrite returns the bytes of a write unless endSlowest did.
func (s *callers) endWrite(c *caller) {
	var size int64
	s.open.Update(c.id, func(h hold, ok bool) (hold, bool) {
		size, h.frame = h.frame, 0
		return h, ok
	})
	if size > 0 {
		s.bytes.Release(c.customer, size)
	}
}

// drop removes an open answer and returns its bytes; only one of its callers
// does.
func (s *callers) drop(id fleet.RequestID) bool {
	var h hold
	var found bool
	s.open.Update(id, func(v hold, ok bool) (hold, bool) {
		h, found = v, ok
		return v, false
	})
	if found {
		s.bytes.Release(h.caller.customer, openBytes+h.frame)
	}
	return found
}

// endSlowest ends the caller whose write is blocked the longest, among those
// of one customer if its bound was passed. It reports whether one was ended.
func (s *callers) endSlowest(self *caller, code verdict.Code) bool {
	var worst hold
	limit := time.Now().Add(-slowAfter)
	s.open.Range(func(_ fleet.RequestID, h hold) bool {
		if code == verdict.CodeCustomerLimit && h.caller.customer != self.customer {
			return true
		}
		if h.frame > 0 && h.since.Before(limit) && (worst.caller == nil || h.since.Before(worst.since)) {
			worst = h
		}
		return true
	})
	if worst.caller == nil {
		return false
	}
	worst.caller.ended.Store(true)
	worst.caller.interrupt()
	s.drop(worst.caller.id)
	return true
}
