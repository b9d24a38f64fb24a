package spread

import (
	"sync"
	"time"

	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/ratelimit"
	"github.com/masticwing/masticwing/internal/core/shard"
)

const (
	// MaxUploads is the number of chunks that an agent sends at one time.
	MaxUploads = 4
	// maxQueued bounds the requests that wait for an upload slot.
	maxQueued = 16
	// maxRecords bounds the requesters whose bytes are remembered. Requesters
	// come and go, and forgetting all of them only restarts their order.
	maxRecords = 1024
	// copiesPerChunk is the number of times that an agent gives one chunk
	// readily. Two make a tree of each chunk, whose inner nodes differ from
	// chunk to chunk, so that no machine gives much more than one copy of the
	// version.
	copiesPerChunk = 2
	// firstSlackPercent and moreSlackPercent are how much more than it took an
	// agent gives, in percent of the version. First copies of a chunk have
	// more slack, since nobody else may have the chunk.
	firstSlackPercent = 12
	moreSlackPercent  = 6
	// idleSlackPercent is how far below what it took an agent has to be to
	// give further copies of a chunk.
	idleSlackPercent = -5
	// extraSeconds is the time in which an agent gives one more copy of a
	// version beyond these limits, so that a late agent is served by peers
	// that have given their share.
	extraSeconds = 30
)

// Credit limits what an agent gives of one version.
type Credit struct {
	bytes int64
	given *shard.Map[int, int]
	extra *ratelimit.Bucket

	mu    sync.Mutex
	taken int64
	gave  int64
}

// NewCredit returns the credit of a version with the given size.
func NewCredit(bytes int64, now time.Time) *Credit {
	rate := max(1, bytes/extraSeconds)
	return &Credit{bytes: bytes, given: shard.New[int, int](0), extra: ratelimit.NewBucket(rate, now)}
}

// Took records bytes that the agent received.
func (c *Credit) Took(n int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.taken += n
}

// Allow reports whether chunk i may be given now, and records it.
func (c *Credit) Allow(i int, n int64, now time.Time) bool {
	copies, _ := c.given.Get(i)
	slack := int64(moreSlackPercent)
	switch {
	case copies == 0:
		slack = firstSlackPercent
	case copies >= copiesPerChunk:
		slack = idleSlackPercent
	}
	if !c.within(slack) && !c.extra.TryTake(now, int(n)) {
		return false
	}
	c.given.Update(i, func(k int, _ bool) (int, bool) { return k + 1, true })
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gave += n
	return true
}

// Return takes back what Allow recorded for an upload that did not happen.
func (c *Credit) Return(i int, n int64) {
	c.given.Update(i, func(k int, _ bool) (int, bool) { return k - 1, k > 1 })
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gave -= n
}

// within reports whether the agent gave at most slack percent of the version
// more than it took.
func (c *Credit) within(slack int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.gave <= c.taken+c.bytes*slack/100
}

// Slots grants upload slots. The waiting requester that was given the fewest
// bytes goes first.
type Slots struct {
	mu     sync.Mutex
	free   int
	given  map[fleet.VM]int64
	queued []*Ticket
}

// Ticket waits for a slot.
type Ticket struct {
	vm fleet.VM
	// Granted is closed when the slot is granted.
	Granted chan struct{}
}

// NewSlots returns n free slots.
func NewSlots(n int) *Slots { return &Slots{free: n, given: map[fleet.VM]int64{}} }

// Request returns a ticket, or nil if too many requests wait.
func (s *Slots) Request(vm fleet.VM) *Ticket {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := &Ticket{vm: vm, Granted: make(chan struct{})}
	if s.free > 0 {
		s.free--
		close(t.Granted)
		return t
	}
	if len(s.queued) >= maxQueued {
		return nil
	}
	s.queued = append(s.queued, t)
	return t
}

// Cancel gives up a ticket. It reports false if the slot was granted already,
// which then has to be released.
func (s *Slots) Cancel(t *Ticket) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, q := range s.queued {
		if q == t {
			s.queued = append(s.queued[:i], s.queued[i+1:]...)
			return true
		}
	}
	return false
}

// Release returns a slot after n bytes were given to its requester, and grants
// it to the next.
func (s *Slots) Release(t *Ticket, n int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.given) >= maxRecords {
		clear(s.given)
	}
	s.given[t.vm] += n
	if len(s.queued) == 0 {
		s.free++
		return
	}
	best := 0
	for i, q := range s.queued {
		if s.given[q.vm] < s.given[s.queued[best].vm] {
			best = i
		}
	}
	next := s.queued[best]
	s.queued = append(s.queued[:best], s.queued[best+1:]...)
	close(next.Granted)
}
