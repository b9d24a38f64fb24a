// Package registration registers this process in the platform's store, so that
// the other processes of the deployment discover it, and keeps the list of the
// registered processes.
package registration

import (
	"bytes"
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/masticwing/masticwing/internal/app/leased"
	"github.com/masticwing/masticwing/internal/port"
)

const (
	// leaseTTL is the time after which the registration of a lost process
	// expires.
	leaseTTL = 8 * time.Second
	// keepAliveInterval leaves time for two more attempts before the lease
	// expires.
	keepAliveInterval = 2500 * time.Millisecond
	// retryDelay is the delay before a failed store call is repeated.
	retryDelay = 500 * time.Millisecond
	// maxUnlisted is the number of renewals in a row, 10 s, for which the list of registered processes may
	// lack the registration. A process sees a change of that list at most 8 s late.
	maxUnlisted = 4
)

// Registrar maintains the registration of one process under a lease.
type Registrar struct {
	Store  port.Store
	Prefix string
	Self   port.StoredMember
	// Listed returns the lease under which the list of registered processes holds this one, or
	// port.NoLease if it lacks it. It may be nil, and must not block.
	Listed func() port.LeaseID
	Clock  port.Clock
	Log    port.Log
}

// Run keeps the process registered until ctx ends, and then removes the
// registration. It registers again whenever the lease expires, the store was restored from an
// older copy, or the registration is not listed although its lease lasts.
func (r *Registrar) Run(ctx context.Context) {
	lease := port.NoLease
	for ctx.Err() == nil {
		var err error
		if lease, err = r.register(ctx, lease); err != nil {
			r.Log.Failure("could not register in the store", err)
			r.sleep(ctx, retryDelay)
			continue
		}
		r.Log.StateChange("registered in the store", port.F("address", r.Self.Address), port.F("lease", lease))
		if r.keepAlive(ctx, lease, port.EraEnded(r.Store)) {
			lease = port.NoLease
		}
	}
	if lease != port.NoLease {
		// If the call fails, the registration expires with the lease.
		_ = r.Store.Revoke(context.WithoutCancel(ctx), lease)
	}
}

// register writes the registration under a lease and returns the lease, also with an
// error. A write without a response may be executed after its repetition, so both
// have the lease of the first attempt while it lasts.
func (r *Registrar) register(ctx context.Context, lease port.LeaseID) (port.LeaseID, error) {
	if lease != port.NoLease {
		err := r.Store.KeepAlive(ctx, lease)
		if errors.Is(err, port.ErrNotFound) {
			lease = port.NoLease
		} else if err != nil {
			return lease, errors.Wrap(err, "extending the lease")
		}
	}
	if lease == port.NoLease {
		var err error
		if lease, err = r.Store.Grant(ctx, leaseTTL); err != nil {
			return port.NoLease, errors.Wrap(err, "granting a lease")
		}
	}
	self := r.Self
	self.Lease = lease
	value, err := json.Marshal(self)
	if err != nil {
		return lease, errors.Wrap(err, "encoding the registration")
	}
	w := port.StoreWrite{Key: r.Prefix + self.ID, Value: value, Lease: lease}
	isCurrent := func(v []byte) bool { return bytes.Equal(v, value) }
	return lease, errors.Wrap(leased.Put(ctx, r.Store, w, isCurrent), "writing the registration")
}

// keepAlive extends the lease until the store reports it as expired, the store's era ends, which
// ends its leases, the registration is not listed for too long, or ctx ends. It returns whether the lease has
// ended.
func (r *Registrar) keepAlive(ctx context.Context, lease port.LeaseID, eraEnded <-chan struct{}) (expired bool) {
	delay, unlisted := keepAliveInterval, 0
	for {
		select {
		case <-ctx.Done():
			return false
		case <-eraEnded:
			return true
		case <-r.Clock.After(delay):
		}
		err := r.Store.KeepAlive(ctx, lease)
		if errors.Is(err, port.ErrNotFound) {
			r.Log.Failure("lease of the entry has ended", err)
			return true
		}
		delay = keepAliveInterval
		if err != nil {
			delay = retryDelay
			continue
		}
		if r.Listed == nil || r.Listed() == lease {
			unlisted = 0
			continue
		}
		if unlisted++; unlisted >= maxUnlisted {
			r.Log.Failure("registration is not listed", nil, port.F("lease", lease), port.F("listed", r.Listed()))
			return false
		}
	}
}

func (r *Registrar) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-r.Clock.After(d):
	}
}
