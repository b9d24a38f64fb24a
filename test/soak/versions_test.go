package soak

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/masticwing/masticwing/platform/platformtest"
)

const (
	// contactTime is the time for which a gateway and the store must have been undisturbed
	// for the gateway to be in touch, and for the store to be stable (ContactMs).
	contactTime = 3 * time.Second
	// storeResource is the name of the store in disturbances.
	storeResource = "store"
	linkPrefix    = "route of "
)

// linkOf returns the name, in disturbances, of the link from a process to the store.
func linkOf(process string) string { return linkPrefix + process }

// disturbance is a period in which a process, its link to the store, or the store is under
// a fault. Its end is zero while it lasts.
type disturbance struct {
	resource   string
	begin, end time.Time
}

// declaration is a version of the weights that the store has acknowledged.
type declaration struct {
	version      int64
	acknowledged time.Time
}

// history records what decides which weights a gateway may use.
type history struct {
	mu           sync.Mutex // guards the following
	declarations []declaration
	disturbances []*disturbance
}

// disturb records the beginning of a disturbance, and its end once end is called.
func (h *history) disturb(resource string) (end func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	d := &disturbance{resource: resource, begin: time.Now()}
	h.disturbances = append(h.disturbances, d)
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		d.end = time.Now()
	}
}

// add records a disturbance that has ended.
func (h *history) add(d disturbance) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.disturbances = append(h.disturbances, &d)
}

// declare records a declaration that has just been acknowledged.
func (h *history) declare(version int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.declarations = append(h.declarations, declaration{version, time.Now()})
}

// inTouch reports whether a gateway, its link and the store were undisturbed from
// contactTime before a time until another time.
func (h *history) inTouch(gateway string, from, to time.Time) bool {
	return !slices.ContainsFunc(h.disturbances, func(d *disturbance) bool {
		concerned := d.resource == gateway || d.resource == linkOf(gateway) || d.resource == storeResource
		return concerned && !d.begin.After(to) && (d.end.IsZero() || d.end.After(from.Add(-contactTime)))
	})
}

// due returns the end of the bound of weights that were acknowledged at a time, or false if
// it has no end yet. The bound counts in one stretch in which no link was disturbed and the
// store was stable, which it is from contactTime after a disturbance on.
func (h *history) due(acknowledged time.Time) (time.Time, bool) {
	breaks := []disturbance{}
	for _, d := range h.disturbances {
		b := *d
		switch {
		case d.resource == storeResource && !d.end.IsZero():
			b.end = d.end.Add(contactTime)
		case d.resource != storeResource && !strings.HasPrefix(d.resource, linkPrefix):
			continue
		}
		breaks = append(breaks, b)
	}
	slices.SortFunc(breaks, func(a, b disturbance) int { return a.begin.Compare(b.begin) })
	start := acknowledged
	for _, b := range breaks {
		switch {
		case !b.begin.Before(start.Add(weightsBound)):
			return start.Add(weightsBound), true
		case b.end.IsZero():
			return time.Time{}, false
		case b.end.After(start):
			start = b.end
		}
	}
	return start.Add(weightsBound), true
}

// versionViolations returns descriptions of the executions of a request that began on
// weights older than their bound allows. The gateway sent the request at an unknown time
// between its arrival there and the start of the execution, and must have been in touch at
// each of them.
func (h *history) versionViolations(gateway string, r result, executions []platformtest.Execution) (violations []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, e := range executions {
		if !e.Engine || !h.inTouch(gateway, r.sent, e.At) {
			continue
		}
		for _, d := range h.declarations {
			due, ok := h.due(d.acknowledged)
			if d.version <= e.WeightsVersion || !ok || !e.At.After(due) {
				continue
			}
			violations = append(violations, fmt.Sprintf(
				"request %s of %s began at %s on weights %d at %s, %v after weights %d were acknowledged and %v after the end of their bound",
				r.id, gateway, e.Target, e.WeightsVersion, e.At.Format(time.StampMilli), e.At.Sub(d.acknowledged).Round(time.Millisecond),
				d.version, e.At.Sub(due).Round(time.Millisecond)))
			break
		}
	}
	return violations
}

// describe returns the disturbances of gateways, links and the store, and the declarations, for
// the log of a failed run.
func (h *history) describe() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var b strings.Builder
	for _, d := range h.declarations {
		fmt.Fprintf(&b, "%s weights %d acknowledged\n", d.acknowledged.Format(time.StampMilli), d.version)
	}
	for _, d := range h.disturbances {
		fmt.Fprintf(&b, "%s to %s %s disturbed\n", d.begin.Format(time.StampMilli), d.end.Format(time.StampMilli), d.resource)
	}
	return b.String()
}
