package porttest

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/masticwing/masticwing/internal/port"
)

// KV is an in-memory fake of port.KV. mu guards all fields and is held only for map
// operations.
type KV struct {
	mu          sync.Mutex
	rev         int64
	now         func() time.Time
	keys        map[string]kvValue
	leases      map[port.LeaseID]kvLease
	changed     chan struct{}
	unavailable bool
	lostAnswers int
	callCounts  map[string]int
}

type kvValue struct {
	value []byte
	rev   int64
	lease port.LeaseID
}

type kvLease struct {
	ttl   time.Duration
	until time.Time
}

var _ port.KV = (*KV)(nil)

// NewKV returns an empty KV whose leases expire according to the clock now.
func NewKV(now func() time.Time) *KV {
	return &KV{
		now: now, keys: map[string]kvValue{}, leases: map[port.LeaseID]kvLease{},
		changed: make(chan struct{}), callCounts: map[string]int{},
	}
}

// SetUnavailable starts or ends an outage. During an outage, calls fail with
// port.ErrUnavailable and have no effect.
func (k *KV) SetUnavailable(unavailable bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.unavailable = unavailable
}

// LoseWriteAnswers makes the next n writes take effect but return
// port.ErrUnknownOutcome.
func (k *KV) LoseWriteAnswers(n int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lostAnswers = n
}

// CallCount returns the number of calls of a kind: get, cas, delete, watch, grant,
// keepalive or revoke.
func (k *KV) CallCount(kind string) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.callCounts[kind]
}

// beginCallLocked counts a call, ends expired leases, and fails during an outage.
func (k *KV) beginCallLocked(kind string) error {
	k.callCounts[kind]++
	if k.unavailable {
		return port.ErrUnavailable
	}
	now := k.now()
	for id, l := range k.leases {
		if !now.Before(l.until) {
			k.endLeaseLocked(id)
		}
	}
	return nil
}

// endLeaseLocked removes a lease and its keys.
func (k *KV) endLeaseLocked(id port.LeaseID) {
	delete(k.leases, id)
	for key, v := range k.keys {
		if v.lease == id {
			delete(k.keys, key)
		}
	}
}

// writeErrorLocked returns the error of a write that took effect.
func (k *KV) writeErrorLocked() error {
	if k.lostAnswers > 0 {
		k.lostAnswers--
		return port.ErrUnknownOutcome
	}
	return nil
}

// Get implements port.KV.
func (k *KV) Get(_ context.Context, key string) (port.KVEntry, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if err := k.beginCallLocked("get"); err != nil {
		return port.KVEntry{}, err
	}
	v, ok := k.keys[key]
	if !ok {
		return port.KVEntry{}, port.ErrNotFound
	}
	return port.KVEntry{Key: key, Value: v.value, Rev: v.rev}, nil
}

// CompareAndSwap implements port.KV.
func (k *KV) CompareAndSwap(
	_ context.Context, key string, rev int64, value []byte, lease port.LeaseID,
) (int64, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if err := k.beginCallLocked("cas"); err != nil {
		return 0, err
	}
	if _, ok := k.leases[lease]; lease != port.NoLease && !ok {
		return 0, port.ErrNotFound
	}
	if k.keys[key].rev != rev {
		return 0, port.ErrConflict
	}
	k.rev++
	k.keys[key] = kvValue{append([]byte(nil), value...), k.rev, lease}
	close(k.changed)
	k.changed = make(chan struct{})
	return k.rev, k.writeErrorLocked()
}

// Delete implements port.KV.
func (k *KV) Delete(_ context.Context, key string, rev int64) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if err := k.beginCallLocked("delete"); err != nil {
		return err
	}
	if v, ok := k.keys[key]; !ok || v.rev != rev {
		return port.ErrConflict
	}
	delete(k.keys, key)
	return k.writeErrorLocked()
}

// Watch implements port.KV.
func (k *KV) Watch(ctx context.Context, key string, after int64, wait time.Duration) (port.KVEntry, error) {
	t := time.NewTimer(wait)
	defer t.Stop()
	for first := true; ; first = false {
		e, change, err := k.newerThan(key, after, first)
		if err != nil || change == nil {
			return e, err
		}
		select {
		case <-change:
		case <-t.C:
			return port.KVEntry{}, port.ErrNotFound
		case <-ctx.Done():
			return port.KVEntry{}, ctx.Err()
		}
	}
}

// newerThan returns the entry if its revision exceeds after, or else a channel that
// is closed by the next change. A repeated check by the same Watch does not count as
// a call.
func (k *KV) newerThan(key string, after int64, countCall bool) (port.KVEntry, <-chan struct{}, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !countCall {
		k.callCounts["watch"]--
	}
	if err := k.beginCallLocked("watch"); err != nil {
		return port.KVEntry{}, nil, err
	}
	if v, ok := k.keys[key]; ok && v.rev > after {
		return port.KVEntry{Key: key, Value: v.value, Rev: v.rev}, nil, nil
	}
	return port.KVEntry{}, k.changed, nil
}

// Grant implements port.KV.
func (k *KV) Grant(_ context.Context, ttl time.Duration) (port.LeaseID, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if err := k.beginCallLocked("grant"); err != nil {
		return port.NoLease, err
	}
	k.rev++
	id := port.LeaseID(fmt.Sprint("lease-", k.rev))
	k.leases[id] = kvLease{ttl, k.now().Add(ttl)}
	return id, nil
}

// KeepAlive implements port.KV.
func (k *KV) KeepAlive(_ context.Context, id port.LeaseID) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if err := k.beginCallLocked("keepalive"); err != nil {
		return err
	}
	l, ok := k.leases[id]
	if !ok {
		return port.ErrNotFound
	}
	k.leases[id] = kvLease{l.ttl, k.now().Add(l.ttl)}
	return nil
}

// Revoke implements port.KV.
func (k *KV) Revoke(_ context.Context, id port.LeaseID) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if err := k.beginCallLocked("revoke"); err != nil {
		return err
	}
	k.endLeaseLocked(id)
	return nil
}
