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
	// maxMemoryWaiters limits the requests that wait for memory while they hold a
	// permit. Each takes about 25 KiB that is not counted.
	maxMemoryWaiters = 64
	// slowWriteTime is the time after which the caller of a blocked write is
	// considered slow. Other callers receive a frame within milliseconds.
	slowWriteTime = 100 * time.Millisecond
	// maxReserveRetries limits how often a reservation waits slowWriteTime for
	// memory.
	maxReserveRetries = 10
)

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

// answerMemory describes the memory reserved for an open answer.
type answerMemory struct {
	caller *caller
	// frameBytes is the size of the frame being written, or zero.
	frameBytes int64
	// writeStart is the time at which the write of the frame started.
	writeStart time.Time
}

// callerMemory limits the memory held for callers, in total and by customer. At a
// limit it disconnects the slowest callers.
type callerMemory struct {
	bytes       *schedule.ByteLimiter
	openAnswers *shard.Map[fleet.RequestID, answerMemory]
	// waiters counts the requests in reserveAnswer.
	waiters atomic.Int64
}

func newCallerMemory(limit int64) *callerMemory {
	return &callerMemory{bytes: schedule.NewByteLimiter(limit), openAnswers: shard.New[fleet.RequestID, answerMemory](0)}
}

// reserveBody reserves n bytes for a request body, or returns the error for the
// caller. It disconnects slow callers to free memory.
func (m *callerMemory) reserveBody(c *caller, n int64) error {
	for {
		err := m.bytes.Reserve(c.customer, n, c.maxBytes)
		if err == nil || !m.disconnectSlowest(c, verdict.FromError(err).Code) {
			return err
		}
	}
}

func (m *callerMemory) releaseBody(c *caller, n int64) { m.bytes.Release(c.customer, n) }

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
	m.openAnswers.Put(c.id, answerMemory{caller: c})
	return nil
}

// releaseAnswer releases the memory of the answer unless disconnectSlowest already
// did.
func (m *callerMemory) releaseAnswer(c *caller) { m.release(c.id) }

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
		if m.disconnectSlowest(c, code) {
			continue
		}
		if retries++; retries > maxReserveRetries || !mayWait(code) {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(slowWriteTime):
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
	m.openAnswers.Update(c.id, func(a answerMemory, ok bool) (answerMemory, bool) {
		found = ok
		a.frameBytes, a.writeStart = size, now
		return a, ok
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
	m.openAnswers.Update(c.id, func(a answerMemory, ok bool) (answerMemory, bool) {
		size, a.frameBytes = a.frameBytes, 0
		return a, ok
	})
	if size > 0 {
		m.bytes.Release(c.customer, size)
	}
}

// release removes an open answer and releases its memory. It returns false if the
// answer was already removed.
func (m *callerMemory) release(id fleet.RequestID) bool {
	var a answerMemory
	var found bool
	m.openAnswers.Update(id, func(v answerMemory, ok bool) (answerMemory, bool) {
		a, found = v, ok
		return v, false
	})
	if found {
		m.bytes.Release(a.caller.customer, openAnswerBytes+a.frameBytes)
	}
	return found
}

// disconnectSlowest disconnects the slow caller whose write has been blocked for
// the longest time. At the limit of a customer only its own callers are considered.
// It reports whether a caller was disconnected.
func (m *callerMemory) disconnectSlowest(self *caller, code verdict.Code) bool {
	var slowest answerMemory
	latest := time.Now().Add(-slowWriteTime)
	m.openAnswers.Range(func(_ fleet.RequestID, a answerMemory) bool {
		if code == verdict.CodeCustomerLimit && a.caller.customer != self.customer {
			return true
		}
		if a.frameBytes > 0 && a.writeStart.Before(latest) && (slowest.caller == nil || a.writeStart.Before(slowest.writeStart)) {
			slowest = a
		}
		return true
	})
	if slowest.caller == nil {
		return false
	}
	slowest.caller.disconnected.Store(true)
	slowest.caller.interrupt()
	m.release(slowest.caller.id)
	return true
}
