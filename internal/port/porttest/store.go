package porttest

import (
	"context"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/masticwing/masticwing/internal/port"
)

// Store is a fake of port.Store in memory. Its lock guards all fields; it is
// held only for map operations.
type Store struct {
	mu      sync.Mutex
	rev     int64
	items   map[string]port.StoreItem
	changes []port.StoreChange
	// oldest is the revision up to which the history is gone.
	oldest int64
	down   bool
	lease  int64
	leases map[port.LeaseID]bool
	owned  map[string]port.LeaseID
	wake   chan struct{}
	// lists counts the calls of List.
	lists int
}

var _ port.Store = (*Store)(nil)

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		items: map[string]port.StoreItem{}, leases: map[port.LeaseID]bool{}, owned: map[string]port.LeaseID{}, wake: make(chan struct{}),
	}
}

// SetDown switches an outage on or off.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.signal()
}

// Forget drops the history and cuts the watches.
func (s *Store) Forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.oldest = s.rev
	s.changes = nil
	s.signal()
}

// Silently makes a change that no watch reports.
func (s *Store) Silently(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.items[key] = port.StoreItem{Key: key, Value: []byte(value), Revision: s.rev}
}

// Put writes a key.
func (s *Store) Put(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(port.StoreWrite{Key: key, Value: []byte(value)})
}

// Get returns the value of a key.
func (s *Store) Get(key string) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, ok := s.items[key]
	return string(it.Value), ok
}

// Lists returns the number of calls of List, refused ones included.
func (s *Store) Lists() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lists
}

// Expire ends all leases and removes their keys.
func (s *Store) Expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.leases {
		s.end(id)
	}
}

func (s *Store) put(w port.StoreWrite) {
	s.rev++
	it := port.StoreItem{Key: w.Key, Value: w.Value, Revision: s.rev}
	s.items[w.Key] = it
	s.owned[w.Key] = w.Lease
	s.changes = append(s.changes, port.StoreChange{StoreItem: it})
	s.signal()
}

func (s *Store) end(id port.LeaseID) {
	delete(s.leases, id)
	for k, owner := range s.owned {
		if owner != id {
			continue
		}
		s.rev++
		delete(s.items, k)
		delete(s.owned, k)
		s.changes = append(s.changes, port.StoreChange{StoreItem: port.StoreItem{Key: k, Revision: s.rev}, Removed: true})
	}
	s.signal()
}

// signal wakes the watches. The caller holds the lock.
func (s *Store) signal() {
	close(s.wake)
	s.wake = make(chan struct{})
}

// List implements port.Store.
func (s *Store) List(_ context.Context, prefix string) ([]port.StoreItem, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lists++
	if s.down {
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
		out, at, wake, err := s.since(prefix, after)
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

func (s *Store) since(prefix string, after int64) ([]port.StoreChange, int64, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.down:
		return nil, after, nil, port.ErrUnavailable
	case after < s.oldest:
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
	if s.down {
		return port.ErrUnavailable
	}
	for _, e := range expect {
		if s.items[e.Key].Revision != e.Revision {
			return port.ErrConflict
		}
	}
	for _, w := range writes {
		s.put(w)
	}
	return nil
}

// Grant implements port.Store.
func (s *Store) Grant(context.Context, time.Duration) (port.LeaseID, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return port.NoLease, port.ErrUnavailable
	}
	s.lease++
	id := port.LeaseID(strconv.FormatInt(s.lease, 10))
	s.leases[id] = true
	return id, nil
}

// KeepAlive implements port.Store.
func (s *Store) KeepAlive(_ context.Context, id port.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.down:
		return port.ErrUnavailable
	case !s.leases[id]:
		return port.ErrNotFound
	}
	return nil
}

// Revoke implements port.Store.
func (s *Store) Revoke(_ context.Context, id port.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return port.ErrUnavailable
	}
	s.end(id)
	return nil
}
