// Package port defines the interfaces through which the decisions of
// masticwing meet the outside: the platform, the origin of weights, engines,
// plain services, and the other processes of the system.
package port

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/masticwing/masticwing/internal/core/fleet"
)

// Errors of KV.
var (
	// ErrNotFound means that the key has no value.
	ErrNotFound = errors.New("key not found")
	// ErrConflict means that the compare-and-swap saw another revision, so the
	// write did not take effect.
	ErrConflict = errors.New("compare-and-swap conflict")
	// ErrUnavailable means that the service refused the call or could not be
	// reached before anything was sent; a write did not take effect.
	ErrUnavailable = errors.New("platform unavailable")
	// ErrUnknownOutcome means that a write may have taken effect.
	ErrUnknownOutcome = errors.New("outcome of write unknown")
)

// KVEntry is a value with the service's revision of it.
type KVEntry struct {
	Key   string
	Value []byte
	// Rev is the revision of the last write of the key.
	Rev int64
}

// LeaseID names a lease of the platform's key-value service.
type LeaseID string

// NoLease attaches no lease to a key.
const NoLease LeaseID = ""

// KV is the platform's key-value service.
type KV interface {
	// Get returns ErrNotFound for an absent key.
	Get(ctx context.Context, key string) (KVEntry, error)
	// CompareAndSwap writes value if the key's revision is rev; rev 0 means
	// that the key is absent. The key disappears with the lease, if one is
	// given. It returns the new revision.
	CompareAndSwap(ctx context.Context, key string, rev int64, value []byte, lease LeaseID) (int64, error)
	// Delete removes the key if its revision is rev.
	Delete(ctx context.Context, key string, rev int64) error
	// Watch returns the entry once its revision exceeds after. It returns
	// ErrNotFound if the wait ends without a change.
	Watch(ctx context.Context, key string, after int64, wait time.Duration) (KVEntry, error)
	// Grant creates a lease.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive extends a lease to its full time. It returns ErrNotFound for a
	// lease that has expired.
	KeepAlive(ctx context.Context, id LeaseID) error
	// Revoke ends a lease.
	Revoke(ctx context.Context, id LeaseID) error
}

// VMState is what the platform's list says of a VM.
type VMState string

// The states of a VM in the platform's list.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VMRecord is one line of the platform's list of VMs, which lags.
type VMRecord struct {
	VM     fleet.VM
	Domain fleet.Domain
	State  VMState
}

// VMList is the platform's list of VMs.
type VMList interface {
	// VMs returns the VMs that are live or leaving.
	VMs(ctx context.Context) ([]VMRecord, error)
}

// Clock gives time to applications. Core packages take time as an argument.
type Clock interface {
	// Now returns the time with a reading of the monotonic clock.
	Now() time.Time
	// After returns a channel that receives once d has passed.
	After(d time.Duration) <-chan time.Time
}

// Rand gives random numbers.
type Rand interface {
	// IntN returns a number from 0 to n-1; n must be positive.
	IntN(n int) int
	// Uint64 returns a number of all 64-bit numbers.
	Uint64() uint64
}
