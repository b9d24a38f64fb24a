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
	// openAnswerBytes is the memory counted for an open answer in addition to its
	// frame. 457 callers that did not read took 58 KiB each in live heap and
	// stacks: five goroutines and the buffers of two connections. The rest allows
	// for garbage, so that the garbage collector does not run constantly when the
	// limit is reached.
	openAnswerBytes = 96 << 10
	// smallBodyBytes is the longest body that is not counted as large.
	smallBodyBytes = firstBodyBytes
	// maxMemoryWaiters limits the requests that wait for memory while they hold a
	// permit. Each takes about 25 KiB that is not counted.
	maxMemoryWaiters = 64
	// slowTime is the time after which the caller of a blocked write, or of a body
	// that does not arrive, is considered slow. Other callers receive a frame, or
	// send a part of a body, within milliseconds.
	slowTime = 100 * time.Millisecond
	// maxReserveRetries limits how often a reservation waits slowTime for memory.
	maxReserveRetries = 10
)

// errSlowBody is the error of a request whose body is given up for the memory of others.
var errSlowBody = verdict.New(verdict.NotRun, verdict.CodeOverloaded,
	"entry has no memory for a body that arrives slowly").WithRetryAfter(time.Second)

// caller is the caller of one request.
type caller struct {
	id       fleet.RequestID
	customer fleet.Customer
	maxBytes int64
	// interrupt unblocks a write to the caller, which then fails.
	interrupt    func()
	disconnected atomic.Bool
	// refusedForMemory is true if there was no memory for the answer.
	refusedForMemory bool
}

// requestMemory describes the memory reserved for a request.
type requestMemory struct {
	caller *caller
	// bodyBytes is the size reserved for the body, of which largeBytes are those of a large one.
	bodyBytes, largeBytes int64
	// interruptBody ends the read of the body, or is nil once the body has arrived.
	interruptBody func(cause error)
	// answerBytes is openAnswerBytes, or zero before the answer is open.
	answerBytes int64
	// frameBytes is the size of the frame being written, or zero.
	frameBytes int64
	// blockedSince is the time since which the caller has sent no further part of its
	// body, or has not received the frame. It is zero while nothing waits for the caller.
	blockedSince time.Time
}

// callerMemory limits the memory held for callers, in total and by customer. At a
// limit it disconnects the slowest callers. Large bodies have a share of the memory,
// so that those that never end do not keep small requests from being served.
type callerMemory struct {
	bytes, largeBodies *schedule.ByteLimiter
	maxBody            int64
	requests           *shard.Map[fleet.RequestID, requestMemory]
	// waiters counts the requests in reserveAnswer.
	waiters atomic.Int64
}

func newCallerMemory(limit, maxBody int64) *callerMemory {
	return &callerMemory{
		bytes: schedule.NewByteLimiter(limit), largeBodies: schedule.NewByteLimiter(largeShare(limit, maxBody)), maxBody: maxBody,
		requests: shard.New[fleet.RequestID, requestMemory](0),
	}
}

// largeShare returns the part of a limit that large bodies may take: three quarters, or more if a body of the
// largest size needs it.
func largeShare(limit, maxBody int64) int64 { return max(limit-limit/4, min(maxBody, limit)) }

// beginBody starts the account of a request whose body is read. interrupt ends the read, and must not block.
func (m *callerMemory) beginBody(c *caller, interrupt func(cause error)) {
	m.requests.Put(c.id, requestMemory{caller: c, interruptBody: interrupt, blockedSince: time.Now()})
}

// growBody reserves n more bytes for a request body, or returns the error for the caller. It disconnects slow
// callers to free memory.
func (m *callerMemory) growBody(c *caller, n int64) error {
	held, found := m.requests.Get(c.id)
	if !found {
		return errSlowBody
	}
	var large int64
	if held.bodyBytes+n > smallBodyBytes {
		large = held.bodyBytes + n - held.largeBytes
	}
	if err := m.reserveLarge(c, large); err != nil {
		return err
	}
	for {
		err := m.bytes.Reserve(c.customer, n, c.maxBytes)
		if err == nil {
			break
		}
		if !m.disconnectSlowest(c, verdict.FromError(err).Code, anyRequest) {
			m.largeBodies.Release(c.customer, large)
			return err
		}
	}
	m.requests.Update(c.id, func(v requestMemory, ok bool) (requestMemory, bool) {
		found = ok
		v.bodyBytes += n
		v.largeBytes += large
		v.blockedSince = time.Now()
		return v, ok
	})
	if !found {
		m.bytes.Release(c.customer, n)
		m.largeBodies.Release(c.customer, large)
		return errSlowBody
	}
	return nil
}

// reserveLarge reserves n bytes of the share of large bodies.
func (m *callerMemory) reserveLarge(c *caller, n int64) error {
	for n > 0 {
		var limit int64
		if c.maxBytes > 0 {
			limit = largeShare(c.maxBytes, m.maxBody)
		}
		err := m.largeBodies.Reserve(c.customer, n, limit)
		if err == nil {
			break
		}
		if !m.disconnectSlowest(c, verdict.FromError(err).Code, hasLargeBody) {
			return err
		}
	}
	return nil
}

// bodyProgress states that a further part of a body has arrived.
func (m *callerMemory) bodyProgress(c *caller) {
	now := time.Now()
	m.requests.Update(c.id, func(v requestMemory, ok bool) (requestMemory, bool) {
		v.blockedSince = now
		return v, ok
	})
}

// bodyArrived states that a body has arrived completely. It fails if the body was given up.
func (m *callerMemory) bodyArrived(c *caller) error {
	found := false
	m.requests.Update(c.id, func(v requestMemory, ok bool) (requestMemory, bool) {
		found = ok
		v.interruptBody, v.blockedSince = nil, time.Time{}
		return v, ok
	})
	if !found {
		return errSlowBody
	}
	return nil
}

// releaseBody releases the memory of the body. Further calls have no effect.
func (m *callerMemory) releaseBody(c *caller) {
	var body, large int64
	m.requests.Update(c.id, func(v requestMemory, ok bool) (requestMemory, bool) {
		body, large = v.bodyBytes, v.largeBytes
		v.bodyBytes, v.largeBytes = 0, 0
		return v, ok
	})
	m.releaseBytes(c, body, large)
}

func (m *callerMemory) releaseBytes(c *caller, n, large int64) {
	if n > 0 {
		m.bytes.Release(c.customer, n)
	}
	if large > 0 {
		m.largeBodies.Release(c.customer, large)
	}
}

// reserveAnswer reserves memory for an answer before the request is sent to a
// target, so a failure means that the request did not run. It waits only at the
// limit of the process, not at that of the customer: the request holds a permit
// that other customers need.
func (m *callerMemory) reserveAnswer(ctx context.Context, c *caller) error {
	mayWait := m.waiters.Add(1) <= maxMemoryWaiters
	defer m.waiters.Add(-1)
	err := m.reserve(ctx, c, openAnswerBytes, func(code verdict.Code) bool { return mayWait && code != verdict.CodeCustomerLimit })
	if err != nil && ctx.Err() != nil {
		return verdict.Wrap(ctx.Err(), verdict.NotRun, verdict.CodeCanceled, "caller left")
	}
	if err != nil {
		c.refusedForMemory = true
		return err
	}
	m.requests.Update(c.id, func(v requestMemory, _ bool) (requestMemory, bool) {
		v.caller, v.answerBytes = c, openAnswerBytes
		return v, true
	})
	return nil
}

// reserve reserves n bytes. It disconnects slow callers to free memory. If there
// are none and mayWait returns true for the code of the error, it waits and tries
// again, up to maxReserveRetries times, since another caller may become slow or an
// answer may end.
func (m *callerMemory) reserve(ctx context.Context, c *caller, n int64, mayWait func(verdict.Code) bool) error {
	for retries := 0; ; {
		err := m.bytes.Reserve(c.customer, n, c.maxBytes)
		if err == nil {
			return nil
		}
		code := verdict.FromError(err).Code
		if m.disconnectSlowest(c, code, anyRequest) {
			continue
		}
		if retries++; retries > maxReserveRetries || !mayWait(code) {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(slowTime):
		}
	}
}

// reserveFrame reserves memory for a frame before it is written. It waits for
// memory at each limit.
func (m *callerMemory) reserveFrame(ctx context.Context, c *caller, n int) error {
	size := int64(n)
	if err := m.reserve(ctx, c, size, func(verdict.Code) bool { return true }); err != nil {
		if ctx.Err() != nil {
			return verdict.Wrap(ctx.Err(), verdict.MayHaveRun, verdict.CodeCanceled, "caller left")
		}
		return verdict.New(verdict.MayHaveRun, verdict.CodeSlowCaller, "entry has no memory for the answer")
	}
	now := time.Now()
	found := false
	m.requests.Update(c.id, func(v requestMemory, ok bool) (requestMemory, bool) {
		found = ok
		v.frameBytes, v.blockedSince = size, now
		return v, ok
	})
	if !found {
		m.bytes.Release(c.customer, size)
		return verdict.New(verdict.MayHaveRun, verdict.CodeSlowCaller, "answer holds no memory")
	}
	return nil
}

// releaseFrame releases the memory of the frame unless disconnectSlowest already
// did.
func (m *callerMemory) releaseFrame(c *caller) {
	var size int64
	m.requests.Update(c.id, func(v requestMemory, ok bool) (requestMemory, bool) {
		size = v.frameBytes
		v.frameBytes, v.blockedSince = 0, time.Time{}
		return v, ok
	})
	m.releaseBytes(c, size, 0)
}

// release ends the account of a request and releases its memory, unless
// disconnectSlowest already did.
func (m *callerMemory) release(c *caller) {
	m.releaseIf(c, func(requestMemory) bool { return true })
}

// releaseIf ends the account of a request and releases its memory if the account is
// still open and meets a condition. It returns the account and true in this case.
func (m *callerMemory) releaseIf(c *caller, condition func(requestMemory) bool) (requestMemory, bool) {
	var out requestMemory
	released := false
	m.requests.Update(c.id, func(v requestMemory, ok bool) (requestMemory, bool) {
		released = ok && condition(v)
		out = v
		return v, ok && !released
	})
	if released {
		m.releaseBytes(c, out.bodyBytes+out.answerBytes+out.frameBytes, out.largeBytes)
	}
	return out, released
}

func anyRequest(requestMemory) bool { return true }

func hasLargeBody(r requestMemory) bool { return r.largeBytes > 0 }

// disconnectSlowest disconnects the slow caller that has blocked its request for the
// longest time, of those whose requests have the wanted kind of memory. At the limit
// of a customer only its own callers are considered. It reports whether a caller was
// disconnected.
func (m *callerMemory) disconnectSlowest(self *caller, code verdict.Code, wanted func(requestMemory) bool) bool {
	var slowest requestMemory
	latest := time.Now().Add(-slowTime)
	m.requests.Range(func(_ fleet.RequestID, v requestMemory) bool {
		switch {
		case v.caller == self, code == verdict.CodeCustomerLimit && v.caller.customer != self.customer:
		case v.blockedSince.IsZero(), !v.blockedSince.Before(latest), !wanted(v):
		case slowest.caller == nil || v.blockedSince.Before(slowest.blockedSince):
			slowest = v
		}
		return true
	})
	if slowest.caller == nil {
		return false
	}
	released, ok := m.releaseIf(slowest.caller, func(v requestMemory) bool { return v.blockedSince.Equal(slowest.blockedSince) })
	if !ok {
		// The caller has moved on meanwhile, so that another one is the slowest now.
		return true
	}
	released.caller.disconnected.Store(true)
	if released.interruptBody != nil {
		released.interruptBody(errSlowBody)
	} else {
		released.caller.interrupt()
	}
	return true
}
