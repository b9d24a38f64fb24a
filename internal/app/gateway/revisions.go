package gateway

import (
	"time"

	"github.com/masticwing/masticwing/internal/port"
)

// expectedRevisions returns the revisions of the operator keys in this view.
func (v *view) expectedRevisions() []port.Precondition {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.preconditions()
}

// preconditions returns the revisions of the known operator keys, and revision 0 for the keys
// that operators may write but have not: those of domains that are not cordoned, and of
// configured models whose weights were never declared. The caller holds mu.
func (v *view) preconditions() []port.Precondition {
	var out []port.Precondition
	existing := v.operatorKeys.Existing()
	for k, rev := range existing {
		out = append(out, port.Precondition{Key: k, Revision: rev})
	}
	absent := map[string]bool{}
	for d := range v.regions {
		absent[v.decoder.CordonKey(d)] = true
	}
	for d := range v.targetDomains {
		absent[v.decoder.CordonKey(d)] = true
	}
	if t := v.routeTable.Load(); t != nil {
		for _, m := range t.Models() {
			absent[v.decoder.WeightsKey(m)] = true
		}
	}
	for k := range absent {
		if _, known := existing[k]; !known {
			out = append(out, port.Precondition{Key: k})
		}
	}
	return out
}

// holds reports whether the view still has the revisions of a check: it may have changed since the check began.
func (v *view) holds(expect []port.Precondition) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	existing := v.operatorKeys.Existing()
	for _, e := range expect {
		if existing[e.Key] != e.Revision {
			return false
		}
	}
	return true
}

// coversConflict reports whether newer items in current account for all differences from
// expect, so that no listing is needed. It returns false if an expected key is missing
// from current, since only a listing shows removals, or if there is no difference.
func (v *view) coversConflict(expect []port.Precondition, current []port.StoreItem) bool {
	newest := map[string]int64{}
	for _, it := range current {
		newest[it.Key] = it.Revision
	}
	differs := false
	for _, e := range expect {
		now := newest[e.Key]
		if now < e.Revision {
			return false
		}
		differs = differs || now > e.Revision
	}
	return differs
}

// refutedAgo returns the time since the store first and last stated that this view is not current, or false if the
// view has been confirmed or has changed since.
func (v *view) refutedAgo() (first, last time.Duration, refuted bool) {
	r, refuted := v.confirmations.Refuted()
	now := v.clock.SinceBoot()
	return now - r.First, now - r.Last, refuted
}
