package ledger

import (
	"sync"
	"time"
)

// Pacer spaces the writes of a process. One second's worth of writes may go at
// once after a pause.
type Pacer struct {
	mu       sync.Mutex // guards all fields
	interval time.Duration
	burst    time.Duration
	next     time.Time // when the next write is due if there is no pause
}

// NewPacer returns a pacer for the given number of writes per second.
func NewPacer(perSecond float64) *Pacer {
	p := &Pacer{}
	p.SetRate(perSecond)
	return p
}

// SetRate changes the number of writes per second.
func (p *Pacer) SetRate(perSecond float64) {
	i := time.Duration(float64(time.Second) / perSecond)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.interval, p.burst = i, max(time.Second-i, 0)
}

// Reserve takes the next turn and returns the time to wait until it.
func (p *Pacer) Reserve(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if earliest := now.Add(-p.burst); p.next.Before(earliest) {
		p.next = earliest
	}
	at := p.next
	p.next = p.next.Add(p.interval)
	return max(at.Sub(now), 0)
}

// Spare returns the number of writes that could go now without a wait, beside
// half of a second's worth that is left to calls.
func (p *Pacer) Spare(now time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	next := p.next
	if earliest := now.Add(-p.burst); next.Before(earliest) {
		next = earliest
	}
	free := now.Sub(next) - p.burst/2
	if free < 0 {
		return 0
	}
	return int(free/p.interval) + 1
}
