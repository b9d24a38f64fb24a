package loader

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/masticwing/masticwing/internal/app/leased"
	"github.com/masticwing/masticwing/internal/port"
)

// intactWeights holds the last load of which it is known that the engine took intact chunks. The
// gateways send requests only to such weights.
type intactWeights struct {
	mu   sync.Mutex
	load loadRecord
	// changed receives after set.
	changed chan struct{}
}

// loadRecord is a load that an engine has completed. A loader that starts again reads it from the
// store, since it can't tell chunks that turned bad after the load from those that were taken so.
type loadRecord struct {
	// Started identifies the run of the engine, and Orders is its count of orders after the load.
	Started int64 `json:"started"`
	Orders  int64 `json:"orders"`
	// Number is the number of the weights.
	Number int64 `json:"number"`
}

func newIntactWeights() *intactWeights { return &intactWeights{changed: make(chan struct{}, 1)} }

// recordOf returns the record of the load of the weights that an engine holds.
func recordOf(r *port.EngineReport) loadRecord {
	return loadRecord{Started: r.Started, Orders: r.OrderCount, Number: newestHeld(r).Number}
}

// set records that the weights which the engine holds are intact.
func (w *intactWeights) set(r *port.EngineReport) {
	w.restore(recordOf(r))
	signal(w.changed)
}

// restore adopts a record that is in the store.
func (w *intactWeights) restore(l loadRecord) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.load = l
}

func (w *intactWeights) last() loadRecord {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.load
}

// number returns the newest weights that the engine has loaded intact in its current run, or zero.
// An engine that has begun no order holds the weights with which it was started. One that holds the
// same weights after a further order has loaded them again: an earlier loader has sent that order.
func (w *intactWeights) number(r *port.EngineReport) int64 {
	held := newestHeld(r).Number
	if r.OrderCount == 0 {
		return held
	}
	l := w.last()
	loadedAgain := !r.Busy && held == l.Number && r.OrderCount != l.Orders
	if l.Started != r.Started || loadedAgain {
		return 0
	}
	return l.Number
}

const (
	// recordTTL is the longest lease that the store grants. Without a record, a loader that starts
	// again checks the staged chunks.
	recordTTL = 10 * time.Minute
	// recordRetryDelay is the pause after a record could not be written. All calls are charged.
	recordRetryDelay = 3 * time.Second
	// restoreTimeout bounds the wait for the record. The engine gets no new requests meanwhile.
	restoreTimeout = time.Second
)

func (l *Loader) recordKey() string { return l.deps.Decoder.Prefixes().Loads + l.settings.ID }

// recordLoads writes the record of each load to the store until ctx ends, and writes it again after the
// store was restored from an older copy.
func (l *Loader) recordLoads(ctx context.Context) {
	var written loadRecord
	eraEnded := port.EraEnded(l.deps.Store)
	for ctx.Err() == nil {
		load := l.intact.last()
		if load == written {
			select {
			case <-ctx.Done():
			case <-l.intact.changed:
			case <-eraEnded:
				written, eraEnded = loadRecord{}, port.EraEnded(l.deps.Store)
			}
			continue
		}
		if err := l.writeRecord(ctx, load); err != nil {
			l.sleep(ctx, recordRetryDelay)
			continue
		}
		written = load
	}
}

func (l *Loader) writeRecord(ctx context.Context, load loadRecord) error {
	value, err := json.Marshal(load)
	if err != nil {
		return errors.Wrap(err, "encoding the record of a load")
	}
	lease, err := l.deps.Store.Grant(ctx, recordTTL)
	if err != nil {
		return errors.Wrap(err, "granting a lease")
	}
	w := port.StoreWrite{Key: l.recordKey(), Value: value, Lease: lease}
	return errors.Wrap(leased.Put(ctx, l.deps.Store, w, nil), "writing the record of a load")
}

// restoreIntact reads the record of the last load once, and returns whether it shows that the engine
// holds intact weights. A record counts only if the engine has begun no order since.
func (l *Loader) restoreIntact(ctx context.Context, r *port.EngineReport) bool {
	if l.restored {
		return false
	}
	l.restored = true
	ctx, cancel := context.WithTimeout(ctx, restoreTimeout)
	defer cancel()
	items, _, err := l.deps.Store.List(ctx, l.recordKey())
	if err != nil {
		l.deps.Log.Failure("record of the last load can't be read", err)
		return false
	}
	want := recordOf(r)
	for _, it := range items {
		var got loadRecord
		if it.Key == l.recordKey() && json.Unmarshal(it.Value, &got) == nil && got == want {
			l.intact.restore(got)
			l.deps.Log.StateChange("weights held are intact by the record of their load", port.F("number", want.Number))
			return true
		}
	}
	return false
}
