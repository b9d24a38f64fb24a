package porttest

import (
	"context"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/masticwing/masticwing/internal/port"
)

// Store is an in-memory fake of port.Store. mu guards all fields and is held only
// for map operations.
type Store struct {
	mu      sync.Mutex
	rev     int64
	items   map[string]port.StoreItem
	changes []port.StoreChange
	// compactedAt is the revision before which the history is no longer available.
	compactedAt int64
	unavailable bool
	lastLease   int64
	leases      map[port.LeaseID]bool
	leaseByKey  map[string]port.LeaseID
	wake        chan struct{}
	// listCalls is the number of calls of List.
	listCalls int
	// timers end the leases of a store whose leases end by themselves. They are nil otherwise.
	timers map[port.LeaseID]*leaseTimer
	// era is the number of restores.
	era int64
}

var _ port.Store = (*Store)(nil)

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		items: map[string]port.StoreItem{}, leases: map[port.LeaseID]bool{}, leaseByKey: map[string]port.LeaseID{}, wake: make(chan struct{}),
	}
}

// SetUnavailable starts or ends an outage, in which calls fail with
// port.ErrUnavailable.
func (s *Store) SetUnavailable(unavailable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unavailable = unavailable
	s.signalLocked()
}

// CompactHistory discards the history, so that watches from earlier revisions fail.
func (s *Store) CompactHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compactedAt = s.rev
	s.changes = nil
	s.signalLocked()
}

// PutWithoutWatch writes a key without reporting the change to watches.
func (s *Store) PutWithoutWatch(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.items[key] = port.StoreItem{Key: key, Value: []byte(value), Revision: s.rev}
}

// Put writes a key.
func (s *Store) Put(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.putLocked(port.StoreWrite{Key: key, Value: []byte(value)})
}

// Remove removes a key, if it exists.
func (s *Store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; !ok {
		return
	}
	s.rev++
	delete(s.items, key)
	delete(s.leaseByKey, key)
	s.changes = append(s.changes, port.StoreChange{StoreItem: port.StoreItem{Key: key, Revision: s.rev}, Removed: true})
	s.signalLocked()
}

// Get returns the value of a key.
func (s *Store) Get(key string) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, ok := s.items[key]
	return string(it.Value), ok
}

// ListCalls returns the number of calls of List, including failed ones.
func (s *Store) ListCalls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listCalls
}

// ExpireLeases ends all leases and removes their keys.
func (s *Store) ExpireLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.leases {
		s.endLeaseLocked(id)
	}
}

// putLocked applies a write and signals the watches.
func (s *Store) putLocked(w port.StoreWrite) {
	s.rev++
	it := port.StoreItem{Key: w.Key, Value: w.Value, Revision: s.rev}
	s.items[w.Key] = it
	s.leaseByKey[w.Key] = w.Lease
	s.changes = append(s.changes, port.StoreChange{StoreItem: it})
	s.signalLocked()
}

// endLeaseLocked removes a lease and its keys and signals the watches.
func (s *Store) endLeaseLocked(id port.LeaseID) {
	delete(s.leases, id)
	for k, owner := range s.leaseByKey {
		if owner != id {
			continue
		}
		s.rev++
		delete(s.items, k)
		delete(s.leaseByKey, k)
		s.changes = append(s.changes, port.StoreChange{StoreItem: port.StoreItem{Key: k, Revision: s.rev}, Removed: true})
	}
	s.signalLocked()
}

// signalLocked wakes all watches.
func (s *Store) signalLocked() {
	close(s.wake)
	s.wake = make(chan struct{})
}

// List implements port.Store.
func (s *Store) List(_ context.Context, prefix string) ([]port.StoreItem, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listCalls++
	if s.unavailable {
		return nil, 0, port.ErrUnavailable
	}
	var out []port.StoreItem
	for k, it := range s.items {
		if strings.HasPrefix(k, prefix) {
			out = append(out, it)
		}
	}
	return out, s.rev, nil
}

// Changes implements port.Store.
func (s *Store) Changes(ctx context.Context, prefix string, after int64, wait time.Duration) ([]port.StoreChange, int64, error) {
	late := time.After(wait)
	for {
		out, at, wake, err := s.changesSince(prefix, after)
		if err != nil || len(out) > 0 {
			return out, at, err
		}
		select {
		case <-wake:
		case <-late:
			return nil, at, nil
		case <-ctx.Done():
			return nil, after, ctx.Err()
		}
	}
}

// changesSince returns the changes after a revision, the current revision, and a
// channel that is closed by the next change.
func (s *Store) changesSince(prefix string, after int64) ([]port.StoreChange, int64, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.unavailable:
		return nil, after, nil, port.ErrUnavailable
	case after < s.compactedAt:
		return nil, after, nil, port.ErrHistoryGone
	}
	var out []port.StoreChange
	for _, c := range s.changes {
		if c.Revision > after && strings.HasPrefix(c.Key, prefix) {
			out = append(out, c)
		}
	}
	return out, s.rev, s.wake, nil
}

// Commit implements port.Store.
func (s *Store) Commit(_ context.Context, expect []port.Precondition, writes []port.StoreWrite) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unavailable {
		return port.ErrUnavailable
	}
	for _, e := range expect {
		if s.items[e.Key].Revision != e.Revision {
			return s.conflictLocked(expect)
		}
	}
	for _, w := range writes {
		if s.timers != nil && w.Lease != port.NoLease && !s.leases[w.Lease] {
			return port.ErrNotFound
		}
	}
	for _, w := range writes {
		s.putLocked(w)
	}
	return nil
}

// conflictLocked returns the error of a commit whose preconditions do not hold.
func (s *Store) conflictLocked(expect []port.Precondition) error {
	e := &port.ConflictError{}
	for _, x := range expect {
		if it, ok := s.items[x.Key]; ok {
			e.Current = append(e.Current, it)
		}
	}
	return e
}

// Grant implements port.Store.
func (s *Store) Grant(_ context.Context, ttl time.Duration) (port.LeaseID, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unavailable {
		return port.NoLease, port.ErrUnavailable
	}
	s.lastLease++
	id := port.LeaseID(strconv.FormatInt(s.lastLease, 10))
	s.leases[id] = true
	s.startTimerLocked(id, ttl)
	return id, nil
}

// KeepAlive implements port.Store.
func (s *Store) KeepAlive(_ context.Context, id port.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.unavailable:
		return port.ErrUnavailable
	case !s.leases[id]:
		return port.ErrNotFound
	}
	if t := s.timers[id]; t != nil {
		s.startTimerLocked(id, t.ttl)
	}
	return nil
}

// Revoke implements port.Store.
func (s *Store) Revoke(_ context.Context, id port.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unavailable {
		return port.ErrUnavailable
	}
	s.endLeaseLocked(id)
	return nil
}
