package ledger

import (
	"container/list"
	"sync/atomic"
	"time"

	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/shard"
)

// MaxResponseBytes bounds one cached response.
const MaxResponseBytes = 64 << 10

// responseOverhead is the number of bytes charged for each response in addition
// to its size.
const responseOverhead = 256

// ResponseCache keeps the responses of calls so that a retry gets the same
// response. It is bounded by the total number of bytes and evicts the
// least recently used response first. The responses of each partition are
// guarded by the lock of its shard.
type ResponseCache[V any] struct {
	maxBytes   int64
	usedBytes  atomic.Int64
	uses       atomic.Int64 // sequence number of the latest use
	partitions *shard.Map[int, *partitionCache[V]]
}

type responseID struct {
	service fleet.Service
	hash    KeyHash
}

type partitionCache[V any] struct {
	byID    map[responseID]*list.Element
	recency *list.List // of *cachedResponse[V], most recently used first
}

type cachedResponse[V any] struct {
	id      responseID
	value   V
	bytes   int64
	time    time.Time
	lastUse int64
}

// NewResponseCache returns an empty cache bounded to maxBytes.
func NewResponseCache[V any](maxBytes int64) *ResponseCache[V] {
	return &ResponseCache[V]{maxBytes: maxBytes, partitions: shard.New[int, *partitionCache[V]](Partitions)}
}

// Get returns the cached response of the call with key k.
func (c *ResponseCache[V]) Get(k Key) (v V, ok bool) {
	c.partitions.Update(k.Partition, func(p *partitionCache[V], had bool) (*partitionCache[V], bool) {
		if !had {
			return p, false
		}
		if e, found := p.byID[responseID{k.Service, k.Hash}]; found {
			r := e.Value.(*cachedResponse[V])
			r.lastUse = c.uses.Add(1)
			p.recency.MoveToFront(e)
			v, ok = r.value, true
		}
		return p, true
	})
	return v, ok
}

// Put caches a response of the given size, unless the size exceeds
// MaxResponseBytes or the whole cache.
func (c *ResponseCache[V]) Put(k Key, v V, bytes int) {
	size := int64(bytes) + responseOverhead
	if bytes > MaxResponseBytes || size > c.maxBytes {
		return
	}
	c.partitions.Update(k.Partition, func(p *partitionCache[V], had bool) (*partitionCache[V], bool) {
		if !had {
			p = &partitionCache[V]{byID: map[responseID]*list.Element{}, recency: list.New()}
		}
		id := responseID{k.Service, k.Hash}
		if e, found := p.byID[id]; found {
			c.removeLocked(p, e)
		}
		p.byID[id] = p.recency.PushFront(&cachedResponse[V]{id, v, size, k.Time, c.uses.Add(1)})
		c.usedBytes.Add(size)
		return p, true
	})
	for c.usedBytes.Load() > c.maxBytes && c.evict() {
	}
}

// evict removes the least recently used response of all partitions and reports
// whether there was one. It locks one shard at a time, so the response removed
// may have been used in between.
func (c *ResponseCache[V]) evict() bool {
	oldestUse, oldestPartition := int64(0), -1
	for i := range Partitions {
		c.partitions.Update(i, func(p *partitionCache[V], ok bool) (*partitionCache[V], bool) {
			if !ok {
				return p, false
			}
			if e := p.recency.Back(); e != nil && (oldestPartition < 0 || e.Value.(*cachedResponse[V]).lastUse < oldestUse) {
				oldestUse, oldestPartition = e.Value.(*cachedResponse[V]).lastUse, i
			}
			return p, true
		})
	}
	if oldestPartition < 0 {
		return false
	}
	c.partitions.Update(oldestPartition, func(p *partitionCache[V], ok bool) (*partitionCache[V], bool) {
		if e := p.recency.Back(); e != nil {
			c.removeLocked(p, e)
		}
		return p, ok
	})
	return true
}

// Expire removes the responses whose keys are older than the window.
func (c *ResponseCache[V]) Expire(now time.Time, window time.Duration) {
	c.partitions.Range(func(_ int, p *partitionCache[V]) bool {
		for e := p.recency.Back(); e != nil; {
			prev := e.Prev()
			if now.Sub(e.Value.(*cachedResponse[V]).time) > window {
				c.removeLocked(p, e)
			}
			e = prev
		}
		return true
	})
}

func (c *ResponseCache[V]) removeLocked(p *partitionCache[V], e *list.Element) {
	r := e.Value.(*cachedResponse[V])
	p.recency.Remove(e)
	delete(p.byID, r.id)
	c.usedBytes.Add(-r.bytes)
}

// Bytes returns the bytes charged for all cached responses, including
// responseOverhead.
func (c *ResponseCache[V]) Bytes() int64 { return c.usedBytes.Load() }
