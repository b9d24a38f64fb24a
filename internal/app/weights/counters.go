package weights

import (
	"sync/atomic"

	"github.com/masticwing/masticwing/internal/port"
)

// Names of the metrics.
const (
	metricOrigin    = "weights_origin_bytes"
	metricFromPeers = "weights_from_peers_bytes"
	metricToPeers   = "weights_to_peers_bytes"
	metricCorrupted = "weights_corrupted_chunks"
)

// Counters are the totals since the start of the manager. Bytes that are lost
// to corruption or to an abandoned fetch are included.
type Counters struct {
	Origin, SameRegion, OtherRegion, ToPeers, ToOtherRegions int64
	CorruptedChunks                                          int64
}

type counters struct {
	metrics                                                  port.Metrics
	origin, sameRegion, otherRegion, toPeers, toOtherRegions atomic.Int64
	corrupted                                                atomic.Int64
}

// Counters returns the totals.
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

func (c *counters) fromOrigin(n int) {
	c.origin.Add(int64(n))
	c.metrics.Count(metricOrigin, int64(n))
}

func (c *counters) fromPeer(n int, local bool) {
	region := port.Attr{Key: "region", Value: "other"}
	if local {
		region.Value = "same"
		c.sameRegion.Add(int64(n))
	} else {
		c.otherRegion.Add(int64(n))
	}
	c.metrics.Count(metricFromPeers, int64(n), region)
}

func (c *counters) toPeer(n int, local bool) {
	region := port.Attr{Key: "region", Value: "other"}
	if local {
		region.Value = "same"
	} else {
		c.toOtherRegions.Add(int64(n))
	}
	c.toPeers.Add(int64(n))
	c.metrics.Count(metricToPeers, int64(n), region)
}

func (c *counters) corruptedChunk() {
	c.corrupted.Add(1)
	c.metrics.Count(metricCorrupted, 1)
}
