package porttest

import (
	"bytes"
	"io"
	"sync/atomic"

	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/shard"
	"github.com/masticwing/masticwing/internal/port"
)

// Weights is a fake of port.Weights. A version is complete once Put was called for
// it, whether it is wanted or not.
type Weights struct {
	complete *shard.Map[fleet.Version, []byte]
	wanted   *shard.Map[string, []port.WantedVersion]
	changed  chan struct{}
	// LiveOutBytes and LiveInBytes count the bytes charged for live traffic.
	LiveOutBytes, LiveInBytes atomic.Int64
}

var _ port.Weights = (*Weights)(nil)

// NewWeights returns a fake without complete versions.
func NewWeights() *Weights {
	return &Weights{
		complete: shard.New[fleet.Version, []byte](0),
		wanted:   shard.New[string, []port.WantedVersion](1),
		changed:  make(chan struct{}, 1),
	}
}

// wantedKey is the only key of the map with the wanted versions.
const wantedKey = "wanted"

// Put makes a version complete.
func (w *Weights) Put(v fleet.Version, data []byte) {
	w.complete.Put(v, data)
	w.signal()
}

// Remove makes a version incomplete.
func (w *Weights) Remove(v fleet.Version) {
	w.complete.Delete(v)
	w.signal()
}

func (w *Weights) signal() {
	select {
	case w.changed <- struct{}{}:
	default:
	}
}

// WantedVersions returns the versions of the last call of Want.
func (w *Weights) WantedVersions() []port.WantedVersion {
	versions, _ := w.wanted.Get(wantedKey)
	return versions
}

// Want implements port.Weights.
func (w *Weights) Want(versions []port.WantedVersion) { w.wanted.Put(wantedKey, versions) }

// Open implements port.Weights.
func (w *Weights) Open(v fleet.Version) (io.Reader, int64, bool) {
	b, ok := w.complete.Get(v)
	return bytes.NewReader(b), int64(len(b)), ok
}

// Progress implements port.Weights.
func (w *Weights) Progress() port.Progress {
	versions := w.WantedVersions()
	if len(versions) == 0 {
		return port.Progress{}
	}
	p := port.Progress{Target: versions[0].Version, State: "fetching"}
	if _, _, ok := w.Open(p.Target); ok {
		p.State = "complete"
	}
	return p
}

// Changed implements port.Weights.
func (w *Weights) Changed() <-chan struct{} { return w.changed }

// ChargeLiveTraffic implements port.Weights.
func (w *Weights) ChargeLiveTraffic(in, out int) {
	w.LiveInBytes.Add(int64(in))
	w.LiveOutBytes.Add(int64(out))
}
