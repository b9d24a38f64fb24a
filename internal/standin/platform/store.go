// Package platform is a stand-in for the platform's key-value service and its
// list of VMs. Only tests, benchmarks and the demo use it.
package platform

import (
	"strconv"
	"sync"
	"time"
)

type entry struct {
	value []byte
	rev   int64
	lease string
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// store is the state of the key-value service, guarded by one lock. changed is
// closed and replaced at each write, which wakes all watches.
type store struct {
	mu      sync.Mutex
	now     func() time.Time
	rev     int64
	nextID  int64
	keys    map[string]entry
	leases  map[string]lease
	changed chan struct{}
}

func newStore() *store {
	return &store{
		now:     time.Now,
		keys:    map[string]entry{},
		leases:  map[string]lease{},
		changed: make(chan struct{}),
	}
}

// expireLocked removes expired leases and their keys.
func (s *store) expireLocked() {
	now := s.now()
	for id, l := range s.leases {
		if now.After(l.expires) {
			s.deleteLeaseLocked(id)
		}
	}
}

func (s *store) deleteLeaseLocked(id string) {
	delete(s.leases, id)
	for k, e := range s.keys {
		if e.lease == id {
			delete(s.keys, k)
		}
	}
}

func (s *store) get(key string) (entry, bool, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked()
	e, ok := s.keys[key]
	return e, ok, s.changed
}

// compareAndSwap writes value if the key's revision is rev and the lease, if one
// is given, has not expired. It returns the new revision.
func (s *store) compareAndSwap(key string, rev int64, value []byte, leaseID string) (int64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked()
	if s.keys[key].rev != rev {
		return s.keys[key].rev, false
	}
	if _, valid := s.leases[leaseID]; leaseID != "" && !valid {
		return rev, false
	}
	s.rev++
	s.keys[key] = entry{value, s.rev, leaseID}
	s.notifyLocked()
	return s.rev, true
}

func (s *store) remove(key string, rev int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked()
	if e, ok := s.keys[key]; !ok || e.rev != rev {
		return false
	}
	delete(s.keys, key)
	s.notifyLocked()
	return true
}

func (s *store) notifyLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) grant(ttl time.Duration) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextID++
	id := strconv.FormatInt(s.nextID, 10)
	s.leases[id] = lease{ttl, s.now().Add(ttl)}
	return id
}

func (s *store) keepAlive(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked()
	l, ok := s.leases[id]
	if !ok {
		return false
	}
	s.leases[id] = lease{l.ttl, s.now().Add(l.ttl)}
	return true
}

func (s *store) revoke(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deleteLeaseLocked(id)
}
