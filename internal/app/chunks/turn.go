package chunks

import (
	"time"

	"github.com/masticwing/masticwing/internal/core/originorder"
	"github.com/masticwing/masticwing/internal/port"
)

// originTurn decides whether a version leaves the link of the origin to the version before it. Only
// the loop that fetches the newer version uses it.
type originTurn struct {
	f     *Fetcher
	newer *version
	// waits is set while the origin's link is left to the older version, and at the start.
	waits bool
}

// olderFirst reports whether the newer version leaves the origin to the older one. While no chunk of
// either arrives, the origin is probably down, and members that lack chunks of the older version try
// it. Once a chunk arrives, the newer version follows after the time that the link takes for the rest
// of the older one. An older version that can't serve any more is dropped.
func (t *originTurn) olderFirst(now time.Time) bool {
	older := t.f.incompleteBefore(t.newer)
	linkTime := time.Duration(0)
	if older != nil {
		linkTime = older.table.OriginTime()
		if t.f.choose(older, t.newer, linkTime) == originorder.Drop {
			t.f.drop(older, linkTime)
			older, linkTime = nil, 0
		}
	}
	waits := linkTime > 0 && older.table.Stalled(now) && t.newer.table.Stalled(now)
	if t.waits && !waits {
		t.f.paceOrigin(t.newer, linkTime)
	}
	t.waits = waits
	return waits
}

// incompleteBefore returns the version before the current one v, or nil if it is complete or not
// fetched any more.
func (f *Fetcher) incompleteBefore(v *version) *version {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.current != v || f.previous == nil || f.previous.cancel == nil || f.previous.table.MissingCount() == 0 {
		return nil
	}
	return f.previous
}

// choose decides what becomes of the older of two versions.
func (f *Fetcher) choose(older, newer *version, linkTime time.Duration) originorder.Choice {
	if f.deps.Uses == nil {
		return originorder.First
	}
	u := f.deps.Uses(older.name)
	return originorder.Choose(
		originorder.Version{LinkTime: linkTime, Until: u.Until, Limited: u.Limited},
		originorder.Version{LinkTime: newer.table.OriginTime()}, u.Served,
	)
}

// drop ends the fetch of a version that can't serve any more. Other members that ask for it are told
// that this one does not fetch it.
func (f *Fetcher) drop(v *version, linkTime time.Duration) {
	f.mu.Lock()
	dropped := f.previous == v
	if dropped {
		f.previous = nil
		v.cancel()
	}
	f.mu.Unlock()
	if !dropped {
		return
	}
	f.deps.Metrics.Count("loader_versions_dropped_total", 1)
	f.deps.Log.StateChange("older version is not fetched any more", port.F("version", string(v.name)),
		port.F("missing", v.table.MissingCount()), port.Millis("origin_ms", linkTime))
}
