// Package follow keeps up with the items under a prefix of the platform's
// store, through outages and lost history.
package follow

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/masticwing/masticwing/internal/adapter/logging"
	"github.com/masticwing/masticwing/internal/port"
)

const (
	// settleTime is the time after a listing in which changes are read soon: at the
	// start of a deployment, and after a loss of power, many come together.
	settleTime = 4 * time.Second
	// settlePause is the longest pause between two calls within that time.
	settlePause = 500 * time.Millisecond
	// retryMin and retryMax bound the pause after a failed call. The store
	// counts refused calls as well.
	retryMin = 100 * time.Millisecond
	retryMax = time.Second
)

// Event is news of a prefix. With Reset, Changes are all items that exist, and
// all others are gone.
type Event struct {
	Reset   bool
	Changes []port.StoreChange
	// At is the revision of a listing.
	At int64
}

// Follower reads one prefix.
type Follower struct {
	Store  port.Store
	Prefix string
	// Wait is the longest time that a call waits for changes.
	Wait time.Duration
	// Pause returns the time between two calls, in which changes collect.
	Pause func() time.Duration
	// Applied is called after each answer of the store was applied, also after one
	// without changes, with the revision up to which all changes are known. It may be
	// nil.
	Applied func(at int64)
	Clock   port.Clock
	Log     *logging.Logger

	relist chan struct{}
	lost   bool
}

// New returns a follower of a prefix.
func New(s port.Store, prefix string, wait time.Duration, pause func() time.Duration, c port.Clock, l *logging.Logger) *Follower {
	return &Follower{Store: s, Prefix: prefix, Wait: wait, Pause: pause, Clock: c, Log: l, relist: make(chan struct{}, 1)}
}

// Relist makes the follower list the prefix again.
func (f *Follower) Relist() {
	select {
	case f.relist <- struct{}{}:
	default:
	}
}

// Run calls apply with each event until ctx ends.
func (f *Follower) Run(ctx context.Context, apply func(Event)) {
	pause := retryMin
	for ctx.Err() == nil {
		items, at, err := f.Store.List(ctx, f.Prefix)
		if err != nil {
			f.failed(ctx, err)
			f.sleep(ctx, pause)
			pause = min(2*pause, retryMax)
			continue
		}
		pause = retryMin
		f.regained(at)
		e := Event{Reset: true, At: at}
		for _, it := range items {
			e.Changes = append(e.Changes, port.StoreChange{StoreItem: it})
		}
		apply(e)
		f.watch(ctx, at, apply)
	}
}

// watch applies changes until the prefix has to be listed again.
func (f *Follower) watch(ctx context.Context, at int64, apply func(Event)) {
	pause := retryMin
	listed := f.Clock.Now()
	for ctx.Err() == nil {
		changes, next, err := f.changes(ctx, at)
		switch {
		case errors.Is(err, port.ErrHistoryGone), errors.Is(err, errRelist):
			f.Log.State("listing again", logging.F("prefix", f.Prefix), logging.F("after", at), logging.F("reason", err.Error()))
			return
		case err != nil:
			f.failed(ctx, err)
			f.sleep(ctx, pause)
			pause = min(2*pause, retryMax)
			continue
		}
		pause = retryMin
		f.regained(next)
		at = next
		if len(changes) > 0 {
			apply(Event{Changes: changes})
		}
		if f.Applied != nil {
			f.Applied(at)
		}
		if len(changes) > 0 {
			pause := f.Pause()
			if f.Clock.Now().Sub(listed) < settleTime {
				pause = min(pause, settlePause)
			}
			f.sleep(ctx, pause)
		}
	}
}

var errRelist = errors.New("picture differs from the store")

// changes makes one call, which Relist ends early.
func (f *Follower) changes(ctx context.Context, at int64) (changes []port.StoreChange, next int64, err error) {
	ctx, cancel := context.WithCancel(ctx)
	var wg conc.WaitGroup
	defer wg.Wait()
	defer cancel()
	done := make(chan struct{})
	wg.Go(func() {
		defer close(done)
		changes, next, err = f.Store.Changes(ctx, f.Prefix, at, f.Wait)
	})
	select {
	case <-done:
		return changes, next, err
	case <-f.relist:
		cancel()
		<-done
		return nil, at, errRelist
	}
}

func (f *Follower) failed(ctx context.Context, err error) {
	if !f.lost && ctx.Err() == nil {
		f.lost = true
		f.Log.Fault("lost the store", err, logging.F("prefix", f.Prefix))
	}
}

func (f *Follower) regained(at int64) {
	if f.lost {
		f.lost = false
		f.Log.State("regained the store", logging.F("prefix", f.Prefix), logging.F("revision", at))
	}
}

func (f *Follower) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-f.Clock.After(d):
	}
}
