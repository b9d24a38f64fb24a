// Package enroll keeps the entry of this process in the platform's store, so
// that the other processes of the deployment find it.
package enroll

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/masticwing/masticwing/internal/adapter/logging"
	"github.com/masticwing/masticwing/internal/port"
)

const (
	// leaseTTL is the time after which the entry of a lost process disappears.
	leaseTTL = 8 * time.Second
	// keepEvery leaves two more tries before the lease ends.
	keepEvery = 2500 * time.Millisecond
	// retryAfter is the pause after a failed call.
	retryAfter = 500 * time.Millisecond
)

// Enrolment writes the entry of one process.
type Enrolment struct {
	Store  port.Store
	Prefix string
	Self   port.StoredMember
	Clock  port.Clock
	Log    *logging.Logger
}

// Run keeps the entry until ctx ends, and removes it then.
func (e *Enrolment) Run(ctx context.Context) {
	for ctx.Err() == nil {
		lease, err := e.write(ctx)
		if err != nil {
			e.Log.Fault("could not register in the store", err)
			e.sleep(ctx, retryAfter)
			continue
		}
		e.Log.State("registered in the store", logging.F("address", e.Self.Address))
		e.keep(ctx, lease)
		if ctx.Err() != nil {
			// The entry would disappear with the lease anyway.
			_ = e.Store.Revoke(context.WithoutCancel(ctx), lease)
		}
	}
}

func (e *Enrolment) write(ctx context.Context) (port.LeaseID, error) {
	lease, err := e.Store.Grant(ctx, leaseTTL)
	if err != nil {
		return port.NoLease, errors.Wrap(err, "granting a lease")
	}
	value, err := json.Marshal(e.Self)
	if err != nil {
		return port.NoLease, errors.Wrap(err, "encoding the entry")
	}
	w := port.StoreWrite{Key: e.Prefix + e.Self.ID, Value: value, Lease: lease}
	return lease, errors.Wrap(e.Store.Commit(ctx, nil, []port.StoreWrite{w}), "writing the entry")
}

// keep extends the lease until it has ended or ctx ends.
func (e *Enrolment) keep(ctx context.Context, lease port.LeaseID) {
	pause := keepEvery
	for {
		e.sleep(ctx, pause)
		if ctx.Err() != nil {
			return
		}
		err := e.Store.KeepAlive(ctx, lease)
		if errors.Is(err, port.ErrNotFound) {
			e.Log.Fault("lease of the entry has ended", err)
			return
		}
		pause = keepEvery
		if err != nil {
			pause = retryAfter
		}
	}
}

func (e *Enrolment) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-e.Clock.After(d):
	}
}
