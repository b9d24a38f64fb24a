package ledger

import (
	"container/list"
	"sync/atomic"
	"time"

	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/shard"
)

// MaxAnswerBytes bounds one remembered answer.
const MaxAnswerBytes = 64 << 10

// answerOverhead is charged for each answer beside its bytes.
const answerOverhead = 256

// Answers remembers the answers of calls for repeats, up to a number of bytes
// in all. The least recently used answer goes first. The answers of each
// partition are under the lock of its shard.
type Answers[V any] struct {
	budget int64
	used   atomic.Int64
	clock  atomic.Int64 // rises with each use
	parts  *shard.Map[int, *partAnswers[V]]
}

type answerID struct {
	service fleet.Service
	hash    KeyHash
}

type partAnswers[V any] struct {
	byID  map[answerID]*list.Element
	order *list.List // of *answer[V], most recently used first
}

type answer[V any] struct {
	id    answerID
	value V
	bytes int64
	time  time.Time
	used  int64
}

// NewAnswers returns an empty memory of the given size.
func NewAnswers[V any](budget int64) *Answers[V] {
	return &Answers[V]{budget: budget, parts: shard.New[int, *partAnswers[V]](Partitions)}
}

// Get returns the remembered answer of a key.
func (m *Answers[V]) Get(k Key) (v V, ok bool) {
	m.parts.Update(k.Partition, func(p *partAnswers[V], had bool) (*partAnswers[V], bool) {
		if !had {
			return p, false
		}
		if e, found := p.byID[answerID{k.Service, k.Hash}]; found {
			a := e.Value.(*answer[V])
			a.used = m.clock.Add(1)
			p.order.MoveToFront(e)
			v, ok = a.value, true
		}
		return p, true
	})
	return v, ok
}

// Put remembers an answer of the given size, unless it is too large.
func (m *Answers[V]) Put(k Key, v V, bytes int) {
	size := int64(bytes) + answerOverhead
	if bytes > MaxAnswerBytes || size > m.budget {
		return
	}
	m.parts.Update(k.Partition, func(p *partAnswers[V], had bool) (*partAnswers[V], bool) {
		if !had {
			p = &partAnswers[V]{byID: map[answerID]*list.Element{}, order: list.New()}
		}
		id := answerID{k.Service, k.Hash}
		if e, found := p.byID[id]; found {
			m.removeLocked(p, e)
		}
		p.byID[id] = p.order.PushFront(&answer[V]{id, v, size, k.Time, m.clock.Add(1)})
		m.used.Add(size)
		return p, true
	})
	for m.used.Load() > m.budget && m.evict() {
	}
}

// evict drops the least recently used answer of all partitions. The locks are
// taken one after the other, so an answer that is used meanwhile may go.
func (m *Answers[V]) evict() bool {
	oldest, part := int64(0), -1
	for i := range Partitions {
		m.parts.Update(i, func(p *partAnswers[V], ok bool) (*partAnswers[V], bool) {
			if !ok {
				return p, false
			}
			if e := p.order.Back(); e != nil && (part < 0 || e.Value.(*answer[V]).used < oldest) {
				oldest, part = e.Value.(*answer[V]).used, i
			}
			return p, true
		})
	}
	if part < 0 {
		return false
	}
	m.parts.Update(part, func(p *partAnswers[V], ok bool) (*partAnswers[V], bool) {
		if e := p.order.Back(); e != nil {
			m.removeLocked(p, e)
		}
		return p, ok
	})
	return true
}

// Expire drops the answers whose keys are older than the window.
func (m *Answers[V]) Expire(now time.Time, window time.Duration) {
	m.parts.Range(func(_ int, p *partAnswers[V]) bool {
		for e := p.order.Back(); e != nil; {
			prev := e.Prev()
			if now.Sub(e.Value.(*answer[V]).time) > window {
				m.removeLocked(p, e)
			}
			e = prev
		}
		return true
	})
}

func (m *Answers[V]) removeLocked(p *partAnswers[V], e *list.Element) {
	a := e.Value.(*answer[V])
	p.order.Remove(e)
	delete(p.byID, a.id)
	m.used.Add(-a.bytes)
}

// Bytes returns the bytes held, with the overhead.
func (m *Answers[V]) Bytes() int64 { return m.used.Load() }
