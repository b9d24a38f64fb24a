// Package eviction decides which connection of a caller is given up so that another caller can be accepted
// when no more connections may be open. It answers crowds of callers whose requests never arrive completely:
// an ordinary request arrives within milliseconds and is served, whatever their number.
package eviction

import (
	"container/list"
	"sync"
	"sync/atomic"
	"time"
)

// Kind is what a connection that may be given up is used for. Others carry a request that has arrived.
type Kind uint8

// The kinds of connections, in the order in which they are given up.
const (
	// Answered means that the request was refused before it had arrived completely. Its caller has the
	// response, or gets it at once unless the connection is given up.
	Answered Kind = iota
	// Idle means that the connection has carried requests and carries none.
	Idle
	// Unfinished means that a request has not arrived completely.
	Unfinished
	kinds
)

// MinUnfinished is the time that a request has to arrive before its connection may be given up, some round
// trips to callers. With a longer time a crowd that comes back at once holds all connections, each for less
// than that time, and ordinary callers find none.
const MinUnfinished = 10 * time.Millisecond

// Admission is what happens to a new connection.
type Admission uint8

// The outcomes for a new connection.
const (
	// Admitted means that requests on the connection are served.
	Admitted Admission = iota
	// AdmittedForAnother means the same, after another connection was given up.
	AdmittedForAnother
	// Refused means that requests on the connection are refused.
	Refused
	// Closed means that the connection is closed before anything is read.
	Closed
)

// String returns the name used in metrics.
func (a Admission) String() string {
	return [...]string{"admitted", "another_closed", "refused", "closed"}[a]
}

// shards is the number of locks, a small multiple of the cores of an entry VM.
const shards = 8

// Queues holds the connections that may be given up. T tells the caller of Next how. It is safe for
// concurrent use, and no call holds two locks.
type Queues[T any] struct {
	shards [shards]queueShard
	next   atomic.Uint32
}

// queueShard holds its entries by kind, the oldest first. mu guards the lists and the positions of the entries.
type queueShard struct {
	mu     sync.Mutex
	byKind [kinds]list.List
}

// Entry is a connection in Queues.
type Entry[T any] struct {
	value    T
	kind     Kind
	since    time.Time
	shard    *queueShard
	position *list.Element // nil once the entry is removed
}

// New returns empty queues.
func New[T any]() *Queues[T] { return &Queues[T]{} }

// Add adds a connection that is of a kind since now. Calls with an earlier now than calls before may make
// Next miss the order by the difference.
func (q *Queues[T]) Add(k Kind, value T, now time.Time) *Entry[T] {
	sh := &q.shards[q.next.Add(1)%shards]
	e := &Entry[T]{value: value, kind: k, since: now, shard: sh}
	sh.mu.Lock()
	defer sh.mu.Unlock()
	e.position = sh.byKind[k].PushBack(e)
	return e
}

// Remove removes an entry, unless Next has returned it or it is nil.
func (q *Queues[T]) Remove(e *Entry[T]) {
	if e == nil {
		return
	}
	e.shard.mu.Lock()
	defer e.shard.mu.Unlock()
	if e.position != nil {
		e.shard.byKind[e.kind].Remove(e.position)
		e.position = nil
	}
}

// Next removes and returns the connection that is given up first: of the first kind that has one, the one
// that has been of the kind for the longest time. It returns false if there is none.
func (q *Queues[T]) Next(now time.Time) (T, bool) {
	for k := range kinds {
		latest := now
		if k == Unfinished {
			latest = now.Add(-MinUnfinished)
		}
		if sh := q.oldest(k, latest); sh != nil {
			if v, ok := pop[T](sh, k, latest); ok {
				return v, true
			}
		}
	}
	var none T
	return none, false
}

// oldest returns the shard with the oldest entry of a kind that was added at latest or before, or nil.
func (q *Queues[T]) oldest(k Kind, latest time.Time) *queueShard {
	var out *queueShard
	for i := range q.shards {
		sh := &q.shards[i]
		if since, ok := firstSince[T](sh, k); ok && !since.After(latest) {
			out, latest = sh, since
		}
	}
	return out
}

func firstSince[T any](sh *queueShard, k Kind) (time.Time, bool) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	first := sh.byKind[k].Front()
	if first == nil {
		return time.Time{}, false
	}
	return first.Value.(*Entry[T]).since, true
}

// pop removes the first entry of a kind, which another call may have replaced by a later one, unless it was
// added after latest.
func pop[T any](sh *queueShard, k Kind, latest time.Time) (value T, ok bool) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	first := sh.byKind[k].Front()
	if first == nil {
		return value, false
	}
	e := first.Value.(*Entry[T])
	if e.since.After(latest) {
		return value, false
	}
	sh.byKind[k].Remove(first)
	e.position = nil
	return e.value, true
}
