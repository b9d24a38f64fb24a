package directory

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/membership"
	"github.com/masticwing/masticwing/internal/port"
)

const (
	// readerCheckInterval is the time between checks whether this process is a
	// reader of its failure domain.
	readerCheckInterval = 500 * time.Millisecond
	// platformRetryDelay is the pause after a failed call to the platform.
	platformRetryDelay = 500 * time.Millisecond
	// maxIdleWatches is the number of consecutive watches without a change after
	// which the key is read directly. The read detects a platform whose own
	// revisions went back, where a watch for a higher revision would not return
	// for a long time.
	maxIdleWatches = 5
	// vmMissThreshold is the number of consecutive lists in which a VM is missing
	// or leaving before its agent is contacted, because the list lags.
	vmMissThreshold = 2
	// vmListDelayPerVM times the length of the list is the minimum time between
	// two reads of the list. At 50 bytes per line this limits the reads to 250 B/s
	// for any size of the fleet. The platform cannot return only the changes of
	// the list; failed agents are detected by their neighbours in any case.
	vmListDelayPerVM = 200 * time.Millisecond
	// maxVMProbes bounds the agents contacted after one read of the list.
	maxVMProbes = 8
)

// readerLoop watches the platform while this process is a reader.
func (d *Directory) readerLoop(ctx context.Context) {
	for d.sleep(ctx, readerCheckInterval) {
		if !d.table.IsReader() {
			continue
		}
		d.deps.Metrics.Gauge("directory_reader", 1)
		d.watch(ctx)
		d.deps.Metrics.Gauge("directory_reader", 0)
	}
}

// watch follows the declaration's key, one call at a time, until this process is
// no longer a reader.
func (d *Directory) watch(ctx context.Context) {
	w := watcher{d: d}
	for ctx.Err() == nil && d.table.IsReader() {
		if err := w.step(ctx); err != nil {
			d.deps.Metrics.Count("directory_platform_errors_total", 1)
			if !d.sleep(ctx, d.jitter(platformRetryDelay)) {
				return
			}
		}
	}
}

// watcher is the state of a reader that follows the declaration's key.
type watcher struct {
	d *Directory
	// rev is the platform's revision of the key that was seen last, declRev the
	// revision of the declaration in that document.
	rev         int64
	declRev     uint64
	idleWatches int
}

// step makes one watch or read call and accepts the returned document.
func (w *watcher) step(ctx context.Context) error {
	began := w.d.deps.Clock.Now()
	if w.idleWatches >= maxIdleWatches {
		w.idleWatches = 0
		e, err := w.d.deps.KV.Get(ctx, w.d.cfg.Key)
		if err == nil {
			w.acceptEntry(e, began)
		}
		return ignoreNotFound(err)
	}
	e, err := w.d.deps.KV.Watch(ctx, w.d.cfg.Key, w.rev, w.d.cfg.WatchTimeout)
	switch {
	case err == nil:
		progress := e.Rev > w.rev
		w.acceptEntry(e, began)
		if !progress {
			// The next watch would return at once as well.
			return errors.Errorf("watch returned the revision %d again", e.Rev)
		}
	case errors.Is(err, port.ErrNotFound):
		// If the key is absent, a watch may return immediately.
		w.idleWatches++
		if w.rev == 0 && !w.d.sleep(ctx, platformRetryDelay) {
			return nil
		}
		w.d.rev.Confirm(w.declRev, 0, began)
	default:
		return err
	}
	return nil
}

func ignoreNotFound(err error) error {
	if errors.Is(err, port.ErrNotFound) {
		return nil
	}
	return err
}

// acceptEntry passes a document from the platform to accept. It was the newest one at some time
// after the call began. A document older than the newest known one is counted and does not
// refresh the newest one's age.
func (w *watcher) acceptEntry(e port.KVEntry, began time.Time) {
	w.rev = e.Rev
	declRev, err := w.d.accept(e.Value, w.d.ageSince(began, 0))
	if err != nil {
		return
	}
	w.declRev = declRev
	if declRev < w.d.rev.Revision() {
		w.d.deps.Metrics.Count("directory_platform_stale_total", 1)
	}
}

// vmListLoop reads the VM list while this process is a reader. The list is only a
// hint: an agent of the same failure domain whose VM is missing or leaving is
// contacted, and suspected if it does not respond. The suspicion spreads, and the
// agent can refute it.
func (d *Directory) vmListLoop(ctx context.Context) {
	misses := map[string]int{}
	length := 0
	for d.sleep(ctx, d.jitter(max(d.cfg.VMListInterval, time.Duration(length)*vmListDelayPerVM))) {
		if d.deps.VMs == nil || !d.table.IsReader() {
			continue
		}
		list, err := d.deps.VMs.VMs(ctx)
		if err != nil || len(list) == 0 {
			continue
		}
		length = len(list)
		d.probeMissingVMs(ctx, list, misses)
	}
}

func (d *Directory) probeMissingVMs(ctx context.Context, list []port.VMRecord, misses map[string]int) {
	live := map[string]bool{}
	for _, vm := range list {
		live[string(vm.VM)] = vm.State == port.VMLive
	}
	now := d.deps.Clock.Now()
	var wg conc.WaitGroup
	defer wg.Wait()
	probes := 0
	known := map[string]bool{}
	for _, rec := range d.table.LiveMembers(now) {
		if rec.Kind != fleet.KindAgent || rec.Domain != d.cfg.Self.Domain || rec.State == membership.Dead {
			continue
		}
		known[rec.ID] = true
		if live[rec.ID] {
			delete(misses, rec.ID)
			continue
		}
		misses[rec.ID]++
		if misses[rec.ID] < vmMissThreshold || probes >= maxVMProbes {
			continue
		}
		probes++
		wg.Go(func() { d.exchange(ctx, partner{rec.ID, rec.Address}, withComparison) })
	}
	for id := range misses {
		if !known[id] {
			delete(misses, id)
		}
	}
}
