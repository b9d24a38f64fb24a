// Package stagecheck records what is known of the chunks in an engine's staging area, and decides
// when they are known to be intact at the moment at which the engine takes them.
//
// A staged chunk may turn bad at any time, and does not become good again until it is written. One
// that was read back intact was therefore intact from the end of its last write until the start
// of that read. All times are those of a clock that also counts while the machine is suspended.
package stagecheck

import (
	"sync"
	"time"
)

const (
	// MaxAge is the time for which a chunk may have been bad when the engine takes it. The platform
	// excuses 3 s; the rest covers differences between the clocks of processes.
	MaxAge = 2500 * time.Millisecond
	// MaxAgeAtOrder is the age of a check up to which the engine is ordered to take the chunks. The
	// order has the rest of MaxAge to reach the engine.
	MaxAgeAtOrder = time.Second
)

// Chunks holds what is known of each staged chunk of a version.
type Chunks struct {
	mu     sync.Mutex
	chunks []chunk
}

type chunk struct {
	// writtenAt is the end of the last write.
	writtenAt time.Duration
	// intactAt is the start of the last read that returned the chunk intact.
	intactAt time.Duration
	// read is set if the chunk was read back since its last write, and intact if it was intact.
	read, intact bool
}

// New returns the state of a number of chunks of which nothing is known.
func New(count int) *Chunks { return &Chunks{chunks: make([]chunk, count)} }

// RecordWrite records that a chunk was written, or may have been, by a time.
func (c *Chunks) RecordWrite(i int, endedAt time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.chunks[i] = chunk{writtenAt: endedAt}
}

// RecordRewrite records that all chunks are about to be replaced by those of other weights.
func (c *Chunks) RecordRewrite(at time.Duration) {
	for i := range c.chunks {
		c.RecordWrite(i, at)
	}
}

// RecordRead records the result of a read that started at a time.
func (c *Chunks) RecordRead(i int, startedAt time.Duration, intact bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.chunks[i].read, c.chunks[i].intact, c.chunks[i].intactAt = true, intact, startedAt
}

// Unchecked returns the chunks that were not read back intact at or after a time, in order.
func (c *Chunks) Unchecked(since time.Duration) []int {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []int
	for i, x := range c.chunks {
		if !x.intact || x.intactAt < since {
			out = append(out, i)
		}
	}
	return out
}

// Verdict tells what is known of the chunks that an engine has taken.
type Verdict uint8

// The verdicts on chunks that were taken.
const (
	// Unknown means that a check was too old when the engine took the chunk, and that reading it
	// again decides.
	Unknown Verdict = iota
	// Intact means that no chunk had been bad for longer than MaxAge.
	Intact
	// Damaged means that a chunk may have been bad for longer.
	Damaged
)

// Taken returns the verdict on the chunks if the engine took them between two times. A chunk that
// was written in between may have been bad before, and one that was intact since still was when
// the engine took it.
func (c *Chunks) Taken(from, to time.Duration) Verdict {
	c.mu.Lock()
	defer c.mu.Unlock()
	v := Intact
	for _, x := range c.chunks {
		switch {
		case x.writtenAt > from, x.read && !x.intact:
			return Damaged
		case !x.read, x.intactAt < to-MaxAge:
			v = Unknown
		}
	}
	return v
}
