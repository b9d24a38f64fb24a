package weights

import (
	"sync/atomic"

	"github.com/masticwing/masticwing/internal/port"
)

const (
	metricOrigin    = "weights_origin_bytes"
	metricFromPeers = "weights_from_peers_bytes"
	metricToPeers   = "weights_to_peers_bytes"
	metricCorrupted = "weights_corrupted_chunks"
)

// Counters are totals since the manager was created. Origin, SameRegion and
// OtherRegion are the bytes received, by sender; they include corrupted chunks and
// abandoned fetches. ToPeers are the bytes sent to peers, of which ToOtherRegions
// went to other regions.
type Counters struct {
	Origin, SameRegion, OtherRegion, ToPeers, ToOtherRegions int64
	CorruptedChunks                                          int64
}

type counters struct {
	metrics                                                  port.Metrics
	origin, sameRegion, otherRegion, toPeers, toOtherRegions atomic.Int64
	corrupted                                                atomic.Int64
}

// Counters returns the current totals.
func (m *Manager) Counters() Counters {
	c := &m.counters
	return Counters{
		Origin:          c.origin.Load(),
		SameRegion:      c.sameRegion.Load(),
		OtherRegion:     c.otherRegion.Load(),
		ToPeers:         c.toPeers.Load(),
		ToOtherRegions:  c.toOtherRegions.Load(),
		CorruptedChunks: c.corrupted.Load(),
	}
}

func (c *counters) addFromOrigin(n int) {
	c.origin.Add(int64(n))
	c.metrics.Count(metricOrigin, int64(n))
}

func (c *counters) addFromPeer(n int, local bool) {
	region := port.Attr{Key: "region", Value: "other"}
	if local {
		region.Value = "same"
		c.sameRegion.Add(int64(n))
	} else {
		c.otherRegion.Add(int64(n))
	}
	c.metrics.Count(metricFromPeers, int64(n), region)
}

func (c *counters) addToPeer(n int, local bool) {
	region := port.Attr{Key: "region", Value: "other"}
	if local {
		region.Value = "same"
	} else {
		c.toOtherRegions.Add(int64(n))
	}
	c.toPeers.Add(int64(n))
	c.metrics.Count(metricToPeers, int64(n), region)
}

func (c *counters) addCorrupted() {
	c.corrupted.Add(1)
	c.metrics.Count(metricCorrupted, 1)
}
