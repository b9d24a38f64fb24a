// Package follow reports all changes of the items under a prefix of the platform's
// store. It continues after outages of the store, and lists the prefix again after
// the store dropped part of its history or was restored from an older copy.
package follow

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/masticwing/masticwing/internal/core/storeera"
	"github.com/masticwing/masticwing/internal/port"
)

const (
	// settleTime is the time after a listing in which changes are read at short
	// intervals, because many changes come together at the start of a deployment and
	// after a loss of power.
	settleTime = 4 * time.Second
	// maxSettleDelay is the longest pause between two calls within settleTime.
	maxSettleDelay = 500 * time.Millisecond
	// retryMin and retryMax bound the pause after a failed call, which doubles with
	// each failure. The store counts refused calls as well.
	retryMin = 100 * time.Millisecond
	retryMax = time.Second
	// minWait is the time below which a call without changes counts as one that did not
	// wait. All waits are several times as long.
	minWait = 50 * time.Millisecond
)

// Event reports changes under a prefix. If Reset is set, Changes holds all items
// that exist, and all other items are gone.
type Event struct {
	Reset bool
	// Restored is set with Reset if the store was restored from an older copy since the last listing.
	// Changes then also holds items that it lacks, with their old revisions (storeera.Holdover).
	Restored bool
	Changes  []port.StoreChange
	// At is the revision up to which all changes are known with this event, or zero if
	// others may be missing that were made before these.
	At int64
	// ReadAt is the time since boot at which the listing began if Reset is set: it has
	// everything that was in the store then.
	ReadAt time.Duration
}

// Follower reads the changes under one prefix.
type Follower struct {
	Store  port.Store
	Prefix string
	// Wait is the longest time that a call waits for changes.
	Wait time.Duration
	// BatchDelay returns the pause between two calls. The changes within it are read
	// with one call.
	BatchDelay func() time.Duration
	// OnRevision is called after each response of the store was applied, also if it
	// held no changes, with the revision up to which all changes are known and the time
	// since boot at which the call began. It may be nil.
	OnRevision func(revision int64, calledAt time.Duration)
	Clock      port.BootClock
	Log        port.Log

	relist    chan struct{}
	storeLost bool
	// receivedAt is the time since boot, in nanoseconds, at which the last part of a long response of the store arrived, or
	// zero. receiving is set while one arrives, and listing during a listing.
	receivedAt         atomic.Int64
	receiving, listing atomic.Bool
	// items holds the items that Run has reported.
	items storeera.Holdover[port.StoreItem]
}

// New returns a follower of a prefix. See the fields of Follower for the parameters.
func New(s port.Store, prefix string, wait time.Duration, batchDelay func() time.Duration, c port.BootClock, l port.Log) *Follower {
	return &Follower{Store: s, Prefix: prefix, Wait: wait, BatchDelay: batchDelay, Clock: c, Log: l, relist: make(chan struct{}, 1)}
}

// Relist makes the follower list the prefix again.
func (f *Follower) Relist() {
	select {
	case f.relist <- struct{}{}:
	default:
	}
}

// RelistDue reports whether a call of Relist has had no effect yet.
func (f *Follower) RelistDue() bool { return len(f.relist) > 0 }

// dropRelist drops a call of Relist that has had no effect yet.
func (f *Follower) dropRelist() {
	select {
	case <-f.relist:
	default:
	}
}

// longResponse is the length in bytes from which on a response counts as long. One without changes has some dozens: it
// shows that the store responds, not that a change is on its way.
const longResponse = 16 << 10

// ReceivedAt returns the time since boot at which the last part of a long response of the store arrived, or zero if none
// has.
func (f *Follower) ReceivedAt() time.Duration { return time.Duration(f.receivedAt.Load()) }

// Receiving reports whether a part of a long response of the store has arrived, but not its end.
func (f *Follower) Receiving() bool { return f.receiving.Load() }

// Listing reports whether a listing is in progress.
func (f *Follower) Listing() bool { return f.listing.Load() }

// list lists the prefix.
func (f *Follower) list(ctx context.Context) ([]port.StoreItem, int64, error) {
	f.listing.Store(true)
	defer f.listing.Store(false)
	defer f.receiving.Store(false)
	return f.Store.List(f.withReceipt(ctx), f.Prefix)
}

// withReceipt returns a context for a call whose response sets receivedAt as it arrives.
func (f *Follower) withReceipt(ctx context.Context) context.Context {
	received := 0
	return port.ContextWithReceipt(ctx, func(n int) {
		if received += n; received < longResponse {
			return
		}
		f.receivedAt.Store(int64(f.Clock.SinceBoot()))
		f.receiving.Store(true)
	})
}

// Run lists the prefix, then reads its changes, and calls apply with each event until
// ctx ends.
func (f *Follower) Run(ctx context.Context, apply func(Event)) {
	pause := retryMin
	for ctx.Err() == nil {
		readAt := f.Clock.SinceBoot()
		items, revision, err := f.list(ctx)
		if err == nil && storeera.Era(revision) < f.items.Era() {
			// It comes from another process that has not seen the restore yet.
			err = errors.Wrap(port.ErrUnavailable, "listing is of an older era of the store")
		}
		if err != nil {
			f.items.Postpone(f.Clock.SinceBoot())
			f.markLost(ctx, err)
			f.sleep(ctx, pause)
			pause = min(2*pause, retryMax)
			continue
		}
		f.markRegained(revision)
		apply(f.listed(items, revision, readAt))
		if f.watch(ctx, revision, apply) {
			pause = retryMin
			continue
		}
		// A store that lists but has no changes would be listed without end.
		f.sleep(ctx, pause)
		pause = min(2*pause, retryMax)
	}
}

// listed returns the event of a listing.
func (f *Follower) listed(items []port.StoreItem, revision int64, readAt time.Duration) Event {
	e := Event{Reset: true, At: revision, ReadAt: readAt}
	listed := make(map[string]port.StoreItem, len(items))
	for _, it := range items {
		e.Changes = append(e.Changes, port.StoreChange{StoreItem: it})
		listed[it.Key] = it
	}
	var kept map[string]port.StoreItem
	kept, e.Restored = f.items.List(listed, revision, f.Clock.SinceBoot())
	for _, it := range kept {
		e.Changes = append(e.Changes, port.StoreChange{StoreItem: it})
	}
	if e.Restored {
		f.Log.StateChange("store was restored from an older copy", port.F("prefix", f.Prefix), port.F("era", storeera.Era(revision)),
			port.F("items", len(items)), port.F("missing", len(kept)))
	}
	return e
}

// record records changes, adds the end of items that have been missing since a restore for long enough,
// and returns all.
func (f *Follower) record(changes []port.StoreChange, revision int64) []port.StoreChange {
	for _, c := range changes {
		if c.Removed {
			f.items.Remove(c.Key)
		} else {
			f.items.Set(c.Key, c.StoreItem)
		}
	}
	for _, k := range f.items.End(f.Clock.SinceBoot()) {
		changes = append(changes, port.StoreChange{StoreItem: port.StoreItem{Key: k, Revision: revision}, Removed: true})
	}
	return changes
}

// watch applies the changes after a listing at the given revision, until the prefix
// has to be listed again. It returns whether a call for changes has succeeded or
// Relist asked for the listing.
func (f *Follower) watch(ctx context.Context, revision int64, apply func(Event)) bool {
	succeeded := false
	pause := retryMin
	listed := f.Clock.Now()
	for ctx.Err() == nil {
		called, calledAt := f.Clock.Now(), f.Clock.SinceBoot()
		changes, next, err := f.changes(ctx, revision)
		switch {
		case errors.Is(err, port.ErrHistoryGone), errors.Is(err, errRelist):
			f.Log.StateChange("listing again", port.F("prefix", f.Prefix), port.F("after", revision), port.F("reason", err.Error()))
			return succeeded || errors.Is(err, errRelist)
		case err != nil:
			f.items.Postpone(f.Clock.SinceBoot())
			f.markLost(ctx, err)
			f.sleep(ctx, pause)
			pause = min(2*pause, retryMax)
			continue
		}
		succeeded = true
		f.markRegained(next)
		stalled := next <= revision && (len(changes) > 0 || f.Clock.Now().Sub(called) < minWait)
		revision = next
		if changes = f.record(changes, revision); len(changes) > 0 {
			// What Relist was called for may be among them.
			f.dropRelist()
			apply(Event{Changes: changes, At: revision})
		}
		if f.OnRevision != nil {
			f.OnRevision(revision, calledAt)
		}
		if stalled {
			// The next call would return at once as well.
			f.sleep(ctx, pause)
			pause = min(2*pause, retryMax)
			continue
		}
		pause = retryMin
		if len(changes) > 0 {
			f.sleep(ctx, f.batchDelay(listed))
		}
	}
	return succeeded
}

// batchDelay returns the pause after changes, given the time of the listing.
func (f *Follower) batchDelay(listed time.Time) time.Duration {
	delay := f.BatchDelay()
	if f.Clock.Now().Sub(listed) < settleTime {
		delay = min(delay, maxSettleDelay)
	}
	return delay
}

var errRelist = errors.New("view differs from the store")

// changes makes one call for the changes after a revision. Relist ends it early
// with errRelist.
func (f *Follower) changes(ctx context.Context, revision int64) (changes []port.StoreChange, next int64, err error) {
	ctx, cancel := context.WithCancel(ctx)
	var wg conc.WaitGroup
	defer wg.Wait()
	defer cancel()
	wait := f.Wait
	if left, missing := f.items.Left(f.Clock.SinceBoot()); missing {
		wait = min(wait, max(left, minWait))
	}
	done := make(chan struct{})
	wg.Go(func() {
		defer close(done)
		defer f.receiving.Store(false)
		changes, next, err = f.Store.Changes(f.withReceipt(ctx), f.Prefix, revision, wait)
	})
	select {
	case <-done:
		return changes, next, err
	case <-f.relist:
		cancel()
		<-done
		return nil, revision, errRelist
	}
}

// markLost logs the first failed call after a successful one.
func (f *Follower) markLost(ctx context.Context, err error) {
	if !f.storeLost && ctx.Err() == nil {
		f.storeLost = true
		f.Log.Failure("lost the store", err, port.F("prefix", f.Prefix))
	}
}

// markRegained logs the first successful call after a failed one.
func (f *Follower) markRegained(revision int64) {
	if f.storeLost {
		f.storeLost = false
		f.Log.StateChange("regained the store", port.F("prefix", f.Prefix), port.F("revision", revision))
	}
}

func (f *Follower) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-f.Clock.After(d):
	}
}
