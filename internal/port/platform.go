// Package port defines the interfaces (ports) between the application code and
// its surroundings: the platform, the origin of weights, engines, plain services,
// and the other processes of the system. Adapters implement them.
package port

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/masticwing/masticwing/internal/core/fleet"
)

// Errors of KV and Store.
var (
	// ErrNotFound means that the key has no value or the lease has expired.
	ErrNotFound = errors.New("key not found")
	// ErrConflict means that a key was at another revision than expected, so the
	// write did not take effect.
	ErrConflict = errors.New("compare-and-swap conflict")
	// ErrUnavailable means that the service refused the call, or that nothing
	// could be sent to it; a write did not take effect.
	ErrUnavailable = errors.New("platform unavailable")
	// ErrUnknownOutcome means that a write may have taken effect.
	ErrUnknownOutcome = errors.New("outcome of write unknown")
)

// KVEntry is a key with its value and revision.
type KVEntry struct {
	Key   string
	Value []byte
	// Rev is the service's revision of the last write of the key.
	Rev int64
}

// LeaseID identifies a lease of the platform's key-value service or store.
type LeaseID string

// NoLease attaches no lease to a key.
const NoLease LeaseID = ""

// KV is the platform's key-value service.
type KV interface {
	// Get returns ErrNotFound for an absent key.
	Get(ctx context.Context, key string) (KVEntry, error)
	// CompareAndSwap writes value if the key's revision is rev, and returns the
	// new revision; rev 0 means that the key must be absent. If a lease is given,
	// the key is deleted when the lease ends.
	CompareAndSwap(ctx context.Context, key string, rev int64, value []byte, lease LeaseID) (int64, error)
	// Delete removes the key if its revision is rev.
	Delete(ctx context.Context, key string, rev int64) error
	// Watch waits until the key's revision exceeds after and returns the entry.
	// It returns ErrNotFound if wait passes without such a change.
	Watch(ctx context.Context, key string, after int64, wait time.Duration) (KVEntry, error)
	// Grant creates a lease.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease for its full duration. It returns ErrNotFound for
	// a lease that has expired.
	KeepAlive(ctx context.Context, id LeaseID) error
	// Revoke ends a lease and deletes its keys.
	Revoke(ctx context.Context, id LeaseID) error
}

// VMState is the state of a VM in the platform's list.
type VMState string

// States of a VM, as the platform spells them.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VMRecord is one entry of the platform's list of VMs. The list lags behind the
// real state.
type VMRecord struct {
	VM     fleet.VM
	Domain fleet.Domain
	State  VMState
}

// VMList is the platform's list of VMs.
type VMList interface {
	// VMs returns the VMs that the platform lists as live or leaving.
	VMs(ctx context.Context) ([]VMRecord, error)
}

// Clock is the time source of applications. Core packages take the time as an
// argument.
type Clock interface {
	// Now returns the time, including a monotonic clock reading.
	Now() time.Time
	// After returns a channel that receives the time once d has passed.
	After(d time.Duration) <-chan time.Time
}

// BootClock is a Clock with a second time source that also advances while the machine is
// suspended.
type BootClock interface {
	Clock
	// SinceBoot returns the time since the machine started.
	SinceBoot() time.Duration
}

// Rand is a source of uniformly distributed random numbers.
type Rand interface {
	// IntN returns a number from 0 to n-1; n must be positive.
	IntN(n int) int
	// Uint64 returns a number from the full range of uint64.
	Uint64() uint64
}
