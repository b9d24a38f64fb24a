// Package porttest has in-memory fakes of the ports for tests.
package porttest

import (
	"bytes"
	"io"
	"sync/atomic"

	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/shard"
	"github.com/masticwing/masticwing/internal/port"
)

// Weights is a fake of port.Weights. A version is complete once Put was called
// for it, whether it is wanted or not.
type Weights struct {
	held    *shard.Map[fleet.Version, []byte]
	wanted  *shard.Map[string, []port.WantedVersion]
	changed chan struct{}
	// Live and LiveIn count the bytes charged for live traffic out and in.
	Live, LiveIn atomic.Int64
}

var _ port.Weights = (*Weights)(nil)

// NewWeights returns a store without versions.
func NewWeights() *Weights {
	return &Weights{
		held:    shard.New[fleet.Version, []byte](0),
		wanted:  shard.New[string, []port.WantedVersion](1),
		changed: make(chan struct{}, 1),
	}
}

const wantedKey = "wanted"

// Put completes a version.
func (w *Weights) Put(v fleet.Version, data []byte) {
	w.held.Put(v, data)
	w.signal()
}

// Drop makes a version incomplete.
func (w *Weights) Drop(v fleet.Version) {
	w.held.Delete(v)
	w.signal()
}

func (w *Weights) signal() {
	select {
	case w.changed <- struct{}{}:
	default:
	}
}

// Wanted returns the last set given to Want.
func (w *Weights) Wanted() []port.WantedVersion {
	ts, _ := w.wanted.Get(wantedKey)
	return ts
}

// Want implements port.Weights.
func (w *Weights) Want(ts []port.WantedVersion) { w.wanted.Put(wantedKey, ts) }

// Open implements port.Weights.
func (w *Weights) Open(v fleet.Version) (io.Reader, int64, bool) {
	b, ok := w.held.Get(v)
	return bytes.NewReader(b), int64(len(b)), ok
}

// Progress implements port.Weights.
func (w *Weights) Progress() port.Progress {
	ts := w.Wanted()
	if len(ts) == 0 {
		return port.Progress{}
	}
	p := port.Progress{Target: ts[0].Version, State: "fetching"}
	if _, _, ok := w.Open(p.Target); ok {
		p.State = "complete"
	}
	return p
}

// Changed implements port.Weights.
func (w *Weights) Changed() <-chan struct{} { return w.changed }

// ChargeLiveTraffic implements port.Weights.
func (w *Weights) ChargeLiveTraffic(in, out int) {
	w.LiveIn.Add(int64(in))
	w.Live.Add(int64(out))
}
