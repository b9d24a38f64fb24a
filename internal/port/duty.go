package port

import (
	"context"

	"github.com/masticwing/masticwing/internal/core/fleet"
)

// DutyCredentials identify the holder of the singleton duties in each call to the platform.
type DutyCredentials struct {
	// Holder is the name of the process.
	Holder string
	// Token increases with each change of the holder.
	Token int64
}

// UsageReport is the usage of one window of the wall clock.
type UsageReport struct {
	// Window is the number of the window: window k begins k window lengths after the start of 1970.
	Window int64
	// Counts holds the requests that targets began to run in the window, by client account.
	Counts map[fleet.Customer]int64
}

// ScaleOrder orders the number of engines of a service in one failure domain.
type ScaleOrder struct {
	Service fleet.Service
	Domain  fleet.Domain
	// Desired is the number of engines, not a change.
	Desired int
}

// DutyAPI is the platform's API for singleton duties. A call fails with ErrUnavailable if nothing was
// done, and with ErrUnknownOutcome if it may have been done.
type DutyAPI interface {
	// ReportUsage reports the usage of a window. A repeat with the same counts has no effect.
	ReportUsage(ctx context.Context, c DutyCredentials, r UsageReport) error
	// OrderScale orders a number of engines.
	OrderScale(ctx context.Context, c DutyCredentials, o ScaleOrder) error
}

// StoreEra is implemented by a Store that counts how often it was restored from an older copy.
type StoreEra interface {
	// Era returns the highest era that this process has seen, or 0 if the store states none.
	Era() int64
}

// sendCheckKey is the key of the check that WithSendCheck adds to a context.
type sendCheckKey struct{}

// WithSendCheck returns a context for a call that may be sent only while check returns nil.
func WithSendCheck(ctx context.Context, check func() error) context.Context {
	return context.WithValue(ctx, sendCheckKey{}, check)
}

// CheckSend returns nil if the call of ctx may be sent now. A client of DutyAPI asks directly before it
// writes, since the VM may have been suspended after the call began, and timers don't run meanwhile.
func CheckSend(ctx context.Context) error {
	if check, ok := ctx.Value(sendCheckKey{}).(func() error); ok {
		if err := check(); err != nil {
			return err
		}
	}
	return ctx.Err()
}

// EraWatcher is implemented by a Store that reports when its era ends.
type EraWatcher interface {
	// EraEnded returns a channel that is closed once this process has seen a higher era than the given one.
	EraEnded(era int64) <-chan struct{}
}

// EraEnded returns a channel that is closed once the present era of a store has ended. It is nil if the store
// does not report that.
func EraEnded(s Store) <-chan struct{} {
	e, states := s.(StoreEra)
	w, reports := s.(EraWatcher)
	if !states || !reports {
		return nil
	}
	return w.EraEnded(e.Era())
}
