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
	// callOverhead is counted beside the bytes of a frame for what a request
	// whose caller does not read costs: five goroutines and the buffers of two
	// connections. 528 such callers took 71 KiB each in heap and stacks.
	callOverhead = 72 << 10
	// slowAfter is the time a write must be blocked before its caller counts
	// as slow. Healthy callers take a frame within milliseconds.
	slowAfter = 100 * time.Millisecond
	// holdTries bounds how often a frame waits slowAfter for memory.
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
}

// write is a write in progress.
type write struct {
	caller *caller
	bytes  int64
	since  time.Time
}

// callers counts the memory held for callers and ends the slowest when a bound
// is passed.
type callers struct {
	bytes  *schedule.Bytes
	writes *shard.Map[fleet.RequestID, write]
}

func newCallers(limit int64) *callers {
	return &callers{bytes: schedule.NewBytes(limit), writes: shard.New[fleet.RequestID, write](0)}
}

// takeBody counts n bytes of a request body, or returns the error for the
// caller. Slow callers make way for new requests.
func (s *callers) takeBody(c *caller, n int64) error {
	for {
		err := s.bytes.Take(c.customer, n, c.maxBytes)
		if err == nil || !s.endSlowest(c, verdict.Of(err).Code) {
			return err
		}
	}
}

func (s *callers) giveBody(c *caller, n int64) { s.bytes.Give(c.customer, n) }

// beginWrite counts a frame that is about to be written. It waits for a slow
// caller to make way and fails if none does.
func (s *callers) beginWrite(ctx context.Context, c *caller, n int) error {
	size := int64(n) + callOverhead
	for try := 0; ; {
		err := s.bytes.Take(c.customer, size, c.maxBytes)
		if err == nil {
			break
		}
		if s.endSlowest(c, verdict.Of(err).Code) {
			continue
		}
		if try++; try > holdTries {
			return verdict.New(verdict.MayHaveRun, verdict.CodeSlowCaller, "entry has no memory for the answer")
		}
		select {
		case <-ctx.Done():
			return verdict.Wrap(ctx.Err(), verdict.MayHaveRun, verdict.CodeCanceled, "caller left")
		case <-time.After(slowAfter):
		}
	}
	s.writes.Put(c.id, write{c, size, time.Now()})
	return nil
}

// endWrite returns the bytes of a write unless endSlowest did.
func (s *callers) endWrite(c *caller) {
	s.take(c.id)
}

// take removes a write and returns its bytes; only one of its callers does.
func (s *callers) take(id fleet.RequestID) (write, bool) {
	var w write
	var found bool
	s.writes.Update(id, func(v write, ok bool) (write, bool) {
		w, found = v, ok
		return v, false
	})
	if found {
		s.bytes.Give(w.caller.customer, w.bytes)
	}
	return w, found
}

// endSlowest ends the caller whose write is blocked the longest, among those
// of one customer if its bound was passed. It reports whether one was ended.
func (s *callers) endSlowest(self *caller, code verdict.Code) bool {
	var worst write
	limit := time.Now().Add(-slowAfter)
	s.writes.Range(func(_ fleet.RequestID, w write) bool {
		if code == verdict.CodeCustomerLimit && w.caller.customer != self.customer {
			return true
		}
		if w.since.Before(limit) && (worst.caller == nil || w.since.Before(worst.since)) {
			worst = w
		}
		return true
	})
	if worst.caller == nil {
		return false
	}
	worst.caller.ended.Store(true)
	worst.caller.interrupt()
	s.take(worst.caller.id)
	return true
}
