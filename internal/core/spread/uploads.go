package spread

import (
	"sync"
	"time"

	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/ratelimit"
	"github.com/masticwing/masticwing/internal/core/shard"
)

const (
	// MaxUploads is the maximum number of chunks that an agent sends at the same time.
	MaxUploads = 4
	// maxQueued bounds the requests that wait for an upload slot.
	maxQueued = 16
	// maxRequesters bounds the requesters whose received bytes are counted. When it
	// is exceeded all counts are dropped, which only resets the order of requesters.
	maxRequesters = 1024
	// copiesPerChunk is the number of copies of one chunk that an agent sends before
	// the stricter limit of extraSlackPercent applies. With two, each chunk is
	// distributed along a binary tree, whose inner nodes differ from chunk to chunk,
	// so that no machine sends much more than one copy of the version.
	copiesPerChunk = 2
	// firstSlackPercent and repeatSlackPercent are how far the bytes that an agent
	// sends may exceed those that it received, in percent of the version, for the
	// first and for repeated copies of a chunk. A first copy has more slack, because
	// no other agent may have the chunk.
	firstSlackPercent  = 12
	repeatSlackPercent = 6
	// extraSlackPercent is the same limit for copies beyond copiesPerChunk. It is
	// negative: the agent must have sent less than it received.
	extraSlackPercent = -5
	// extraCopySeconds is the time in which an agent may send one more copy of a
	// version beyond these limits, so that a late agent is served by peers that have
	// already sent their share.
	extraCopySeconds = 30
)

// UploadCredit limits the bytes that an agent sends of one version, depending on the
// bytes that it received.
type UploadCredit struct {
	bytes       int64
	copiesSent  *shard.Map[int, int]
	extraCopies *ratelimit.Bucket

	mu       sync.Mutex
	received int64
	sent     int64
}

// NewUploadCredit returns the credit for a version with the given size.
func NewUploadCredit(bytes int64, now time.Time) *UploadCredit {
	rate := max(1, bytes/extraCopySeconds)
	return &UploadCredit{bytes: bytes, copiesSent: shard.New[int, int](0), extraCopies: ratelimit.NewBucket(rate, now)}
}

// AddReceived records bytes that the agent received.
func (c *UploadCredit) AddReceived(n int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.received += n
}

// Allow reports whether chunk i of n bytes may be sent now, and records it as sent
// if so.
func (c *UploadCredit) Allow(i int, n int64, now time.Time) bool {
	copies, _ := c.copiesSent.Get(i)
	slack := int64(repeatSlackPercent)
	switch {
	case copies == 0:
		slack = firstSlackPercent
	case copies >= copiesPerChunk:
		slack = extraSlackPercent
	}
	if !c.withinSlack(slack) && !c.extraCopies.TryTake(now, int(n)) {
		return false
	}
	c.copiesSent.Update(i, func(k int, _ bool) (int, bool) { return k + 1, true })
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent += n
	return true
}

// Refund undoes a successful Allow whose upload did not happen.
func (c *UploadCredit) Refund(i int, n int64) {
	c.copiesSent.Update(i, func(k int, _ bool) (int, bool) { return k - 1, k > 1 })
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent -= n
}

// withinSlack reports whether the bytes sent exceed the bytes received by at most
// slack percent of the version.
func (c *UploadCredit) withinSlack(slack int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sent <= c.received+c.bytes*slack/100
}

// UploadSlots grants a fixed number of upload slots. The waiting requester that
// received the fewest bytes is served first.
type UploadSlots struct {
	mu        sync.Mutex
	free      int
	bytesSent map[fleet.VM]int64
	queued    []*Ticket
}

// Ticket is a request for a slot.
type Ticket struct {
	vm fleet.VM
	// Granted is closed when the slot is granted.
	Granted chan struct{}
}

// NewUploadSlots returns an UploadSlots with n free slots.
func NewUploadSlots(n int) *UploadSlots {
	return &UploadSlots{free: n, bytesSent: map[fleet.VM]int64{}}
}

// Request returns a ticket that is granted at once or waits for a slot, or nil if
// too many requests wait.
func (s *UploadSlots) Request(vm fleet.VM) *Ticket {
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

// Cancel withdraws a waiting ticket. It returns false if the slot was granted
// already; the caller must then release it.
func (s *UploadSlots) Cancel(t *Ticket) bool {
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

// Release returns a slot after n bytes were sent to its requester, and grants it to
// the next one.
func (s *UploadSlots) Release(t *Ticket, n int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.bytesSent) >= maxRequesters {
		clear(s.bytesSent)
	}
	s.bytesSent[t.vm] += n
	if len(s.queued) == 0 {
		s.free++
		return
	}
	best := 0
	for i, q := range s.queued {
		if s.bytesSent[q.vm] < s.bytesSent[s.queued[best].vm] {
			best = i
		}
	}
	next := s.queued[best]
	s.queued = append(s.queued[:best], s.queued[best+1:]...)
	close(next.Granted)
}
