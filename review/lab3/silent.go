//go:build review

package main

import (
	"fmt"
	"time"
)

const (
	// contact is ContactMs of the platform.
	contact = 3 * time.Second
	// silentBefore is how long the gateways run before their channels to the store go silent.
	silentBefore = 8 * time.Second
	// sparseRate is the number of requests that each gateway gets in a second.
	sparseRate = 0.4
)

// releaseBehindSilentChannels lets all open channels from the gateways to the store go silent, while new ones
// work. The workers of a service are replaced afterwards: the new ones start, then the old ones drain.
func releaseBehindSilentChannels(d *deployment, trouble bool) ([]string, error) {
	d.proxied = true
	gs, ws, err := startThreeZones(d, 0, len(zones), 4)
	if err != nil {
		return nil, err
	}
	t := startSparseTraffic(gs, "GET", "/desk/stations", sparseRate)
	time.Sleep(silentBefore)
	silentAt := time.Now()
	if trouble {
		for _, g := range gs {
			d.record.printf("%d channels of %s to the store go silent", g.storeProxy.silence(), g.name)
		}
	}
	time.Sleep(500 * time.Millisecond)
	for i, z := range zones {
		if _, err := d.addWorker(fmt.Sprintf("i-%d", len(zones)+i), "desk", z, 6, 15*time.Millisecond, 0); err != nil {
			return nil, err
		}
	}
	acked := map[string]time.Time{}
	drain := func(w *worker) {
		w.leave()
		acked[w.id] = time.Now()
		d.record.printf("the store acknowledges that worker %s is draining", w.id)
	}
	time.Sleep(500 * time.Millisecond)
	drain(ws[0])
	drain(ws[1])
	time.Sleep(time.Second)
	drain(ws[2])
	time.Sleep(8 * time.Second)
	t.end(d.record)
	for _, g := range gs {
		for _, l := range g.logLines(`"draining":true`) {
			d.record.printf("log of %s: %s", g.name, l)
		}
	}
	late := 0
	for _, w := range ws {
		for _, r := range w.all() {
			after, since := r.at.Sub(acked[w.id]), r.at.Sub(silentAt)
			if after > drainBound && since > contact {
				late++
				d.record.printf("worker %s got %s %.3f s after the acknowledgement, %.3f s after the channels went silent", r.worker, r.id, after.Seconds(), since.Seconds())
			}
		}
	}
	d.record.printf("%d requests reached draining workers later than %v after the acknowledgement and %v after the channels went silent", late, drainBound, contact)
	if late > 0 {
		return []string{fmt.Sprintf("DRAIN: draining workers got %d requests later than %v after the acknowledgement, from machines in touch", late, drainBound)}, nil
	}
	return nil, nil
}
