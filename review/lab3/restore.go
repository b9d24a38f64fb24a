//go:build review

package main

import (
	"fmt"
	"sort"
	"time"

	"github.com/masticwing/masticwing/platform/platformtest"
)

const (
	drainBound = 2000 * time.Millisecond
	// heartbeat is HeartbeatMs of the platform: a worker writes its entry again after a restore of the store
	// with its next heartbeat.
	heartbeat = 1200 * time.Millisecond
	// storeAway is how long the store does not answer before it is back.
	storeAway = 300 * time.Millisecond
	// copyAge is the age of the copy from which the store comes back.
	copyAge = 3 * time.Second
)

// drainAcrossRestore lets a worker drain and, after the drain bound, restores the store from a copy that was
// made before the worker's entry said so. The worker writes its entry again with its next heartbeat.
func drainAcrossRestore(d *deployment, trouble bool) ([]string, error) {
	// The store states its era from the first answer on.
	d.store.Restore(d.store.Copy())
	gs, ws, err := startThreeZones(d, 0, 3, 2)
	if err != nil {
		return nil, err
	}
	t := startTraffic(gs, "GET", "/desk/stations", 6)
	time.Sleep(5 * time.Second)
	older := d.store.Copy()
	copied := time.Now()
	time.Sleep(400 * time.Millisecond)
	leaving := ws[0]
	leaving.leave()
	acked := time.Now()
	d.record.printf("the store acknowledges that worker %s is draining", leaving.id)
	time.Sleep(time.Until(copied.Add(copyAge - storeAway)))
	if trouble {
		d.record.printf("the store is away")
		d.store.SetFault(platformtest.StoreBusy)
		time.Sleep(storeAway)
		d.store.Restore(older)
		d.store.SetFault(platformtest.StoreHealthy)
		d.record.printf("the store is back from a copy that is %.1f s old", time.Since(copied).Seconds())
		time.Sleep(heartbeat)
		leaving.writeEntry()
		d.record.printf("worker %s has written its entry again: draining", leaving.id)
	}
	time.Sleep(4 * time.Second)
	t.end(d.record)
	for _, g := range gs {
		for _, l := range g.logLines(`"target":"` + leaving.id + `"`) {
			if containsAny(l, `"message":"target"`, `target gone`) {
				d.record.printf("log of %s: %s", g.name, l)
			}
		}
		for _, l := range g.logLines(`"prefix":"servers/","era"`) {
			d.record.printf("log of %s: %s", g.name, l)
		}
	}
	var broken []string
	late := 0
	runs := leaving.all()
	sort.Slice(runs, func(i, j int) bool { return runs[i].at.Before(runs[j].at) })
	for _, r := range runs {
		if after := r.at.Sub(acked); after > drainBound {
			late++
			d.record.printf("worker %s got %s %.3f s after the acknowledgement", r.worker, r.id, after.Seconds())
		}
	}
	d.record.printf("worker %s got %d requests in all, %d of them over %v after the acknowledgement", leaving.id, len(runs), late, drainBound)
	if late > 0 {
		broken = append(broken, fmt.Sprintf("DRAIN: worker %s got %d requests later than %v after the acknowledgement that it is draining", leaving.id, late, drainBound))
	}
	return broken, nil
}
