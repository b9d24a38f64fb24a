package porttest

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/masticwing/masticwing/internal/port"
)

// KV is a fake of port.KV in memory. Its lock guards all fields; it is held
// only for map operations.
type KV struct {
	mu     sync.Mutex
	rev    int64
	now    func() time.Time
	keys   map[string]kvValue
	leases map[port.LeaseID]kvLease
	change chan struct{}
	down   bool
	lose   int
	calls  map[string]int
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

// NewKV returns an empty service. Leases expire by the given clock.
func NewKV(now func() time.Time) *KV {
	return &KV{
		now: now, keys: map[string]kvValue{}, leases: map[port.LeaseID]kvLease{},
		change: make(chan struct{}), calls: map[string]int{},
	}
}

// SetDown switches an outage on or off. Calls in an outage fail with
// ErrUnavailable and have no effect.
func (k *KV) SetDown(down bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.down = down
}

// LoseAnswers lets the next n writes take effect and return
// ErrUnknownOutcome.
func (k *KV) LoseAnswers(n int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lose = n
}

// Calls returns the number of calls of a kind: get, cas, delete, watch, grant,
// keepalive or revoke.
func (k *KV) Calls(kind string) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.calls[kind]
}

// enterLocked counts a call, expires leases and fails in an outage.
func (k *KV) enterLocked(kind string) error {
	k.calls[kind]++
	if k.down {
		return port.ErrUnavailable
	}
	now := k.now()
	for id, l := range k.leases {
		if !now.Before(l.until) {
			k.endLocked(id)
		}
	}
	return nil
}

func (k *KV) endLocked(id port.LeaseID) {
	delete(k.leases, id)
	for key, v := range k.keys {
		if v.lease == id {
			delete(k.keys, key)
		}
	}
}

func (k *KV) lostLocked() error {
	if k.lose > 0 {
		k.lose--
		return port.ErrUnknownOutcome
	}
	return nil
}

// Get implements port.KV.
func (k *KV) Get(_ context.Context, key string) (port.KVEntry, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if err := k.enterLocked("get"); err != nil {
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
	if err := k.enterLocked("cas"); err != nil {
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
	close(k.change)
	k.change = make(chan struct{})
	return k.rev, k.lostLocked()
}

// Delete implements port.KV.
func (k *KV) Delete(_ context.Context, key string, rev int64) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if err := k.enterLocked("delete"); err != nil {
		return err
	}
	if v, ok := k.keys[key]; !ok || v.rev != rev {
		return port.ErrConflict
	}
	delete(k.keys, key)
	return k.lostLocked()
}

// Watch implements port.KV.
func (k *KV) Watch(ctx context.Context, key string, after int64, wait time.Duration) (port.KVEntry, error) {
	t := time.NewTimer(wait)
	defer t.Stop()
	for first := true; ; first = false {
		e, change, err := k.look(key, after, first)
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

// look returns the entry if it is newer than after, or else a channel that is
// closed with the next change.
func (k *KV) look(key string, after int64, count bool) (port.KVEntry, <-chan struct{}, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !count {
		k.calls["watch"]--
	}
	if err := k.enterLocked("watch"); err != nil {
		return port.KVEntry{}, nil, err
	}
	if v, ok := k.keys[key]; ok && v.rev > after {
		return port.KVEntry{Key: key, Value: v.value, Rev: v.rev}, nil, nil
	}
	return port.KVEntry{}, k.change, nil
}

// Grant implements port.KV.
func (k *KV) Grant(_ context.Context, ttl time.Duration) (port.LeaseID, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if err := k.enterLocked("grant"); err != nil {
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
	if err := k.enterLocked("keepalive"); err != nil {
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
	if err := k.enterLocked("revoke"); err != nil {
		return err
	}
	k.endLocked(id)
	return nil
}
