package porttest

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/masticwing/masticwing/internal/port"
)

// leaseTimer ends a lease.
type leaseTimer struct {
	ttl   time.Duration
	timer *time.Timer
}

// NewTimedStore returns an empty store whose leases end after their TTL.
func NewTimedStore() *Store {
	s := NewStore()
	s.timers = map[port.LeaseID]*leaseTimer{}
	return s
}

// startTimerLocked starts or restarts the timer of a lease, if leases end by themselves.
func (s *Store) startTimerLocked(id port.LeaseID, ttl time.Duration) {
	if s.timers == nil {
		return
	}
	if t := s.timers[id]; t != nil {
		t.timer.Stop()
	}
	t := &leaseTimer{ttl: ttl}
	s.timers[id] = t
	t.timer = time.AfterFunc(ttl, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.timers[id] == t {
			s.endLeaseLocked(id)
		}
	})
}

// StoreCopy is a copy of a store.
type StoreCopy struct {
	rev    int64
	items  map[string]port.StoreItem
	leases map[port.LeaseID]bool
	byKey  map[string]port.LeaseID
}

// Copy returns a copy of the store.
func (s *Store) Copy() StoreCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return StoreCopy{s.rev, maps.Clone(s.items), maps.Clone(s.leases), maps.Clone(s.leaseByKey)}
}

// Restore replaces the store by an older copy, which raises its era. Leases of the copy go on.
func (s *Store) Restore(c StoreCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev, s.items, s.leases, s.leaseByKey = c.rev, c.items, c.leases, c.byKey
	s.changes, s.compactedAt = nil, c.rev
	s.era++
	for id := range s.leases {
		if t := s.timers[id]; t != nil {
			s.startTimerLocked(id, t.ttl)
		}
	}
	s.signalLocked()
}

// StoreLink is the access of one process to a store. Messages in either direction can be lost. It implements
// port.StoreEra.
type StoreLink struct {
	*Store
	mu sync.Mutex
	// requestsCut and answersCut are set while messages are lost.
	requestsCut, answersCut bool
	seen                    int64
	calls                   int
}

var (
	_ port.Store    = (*StoreLink)(nil)
	_ port.StoreEra = (*StoreLink)(nil)
)

// Cut makes requests to the store, or its answers, be lost from now on.
func (l *StoreLink) Cut(requests, answers bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requestsCut, l.answersCut = requests, answers
}

// Calls returns the number of calls.
func (l *StoreLink) Calls() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.calls
}

// Era implements port.StoreEra.
func (l *StoreLink) Era() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.seen
}

// call executes f at the store and waits for ctx to end if a message is lost.
func (l *StoreLink) call(ctx context.Context, f func() error) error {
	l.mu.Lock()
	l.calls++
	cut := l.requestsCut
	l.mu.Unlock()
	lost := func() error {
		<-ctx.Done()
		return errors.Wrap(port.ErrUnknownOutcome, ctx.Err().Error())
	}
	if cut {
		return lost()
	}
	err := f()
	l.Store.mu.Lock()
	era := l.Store.era
	l.Store.mu.Unlock()
	l.mu.Lock()
	cut = l.answersCut
	if !cut {
		l.seen = max(l.seen, era)
	}
	l.mu.Unlock()
	if cut {
		return lost()
	}
	return err
}

// List implements port.Store.
func (l *StoreLink) List(ctx context.Context, prefix string) (items []port.StoreItem, at int64, err error) {
	err = l.call(ctx, func() (err error) { items, at, err = l.Store.List(ctx, prefix); return err })
	return items, at, err
}

// Changes implements port.Store.
func (l *StoreLink) Changes(ctx context.Context, prefix string, after int64, wait time.Duration) (cs []port.StoreChange, at int64, err error) {
	err = l.call(ctx, func() (err error) { cs, at, err = l.Store.Changes(ctx, prefix, after, wait); return err })
	return cs, at, err
}

// Commit implements port.Store.
func (l *StoreLink) Commit(ctx context.Context, expect []port.Precondition, writes []port.StoreWrite) error {
	return l.call(ctx, func() error { return l.Store.Commit(ctx, expect, writes) })
}

// Grant implements port.Store.
func (l *StoreLink) Grant(ctx context.Context, ttl time.Duration) (id port.LeaseID, err error) {
	err = l.call(ctx, func() (err error) { id, err = l.Store.Grant(ctx, ttl); return err })
	return id, err
}

// KeepAlive implements port.Store.
func (l *StoreLink) KeepAlive(ctx context.Context, id port.LeaseID) error {
	return l.call(ctx, func() error { return l.Store.KeepAlive(ctx, id) })
}

// Revoke implements port.Store.
func (l *StoreLink) Revoke(ctx context.Context, id port.LeaseID) error {
	return l.call(ctx, func() error { return l.Store.Revoke(ctx, id) })
}
