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
	silentBefore    = 8 * time.Second
	gatewaysPerZone = 4
	// rounds is the number of times that the channels go silent.
	rounds = 3
	// sparseRate is the number of requests that each gateway gets in a second.
	sparseRate = 0.4
)

// releaseBehindSilentChannels lets all open channels from the gateways to the store go silent, while new ones
// work, three times. Each time the workers of a service are replaced: the new ones start, then the old ones drain.
func releaseBehindSilentChannels(d *deployment, trouble bool) ([]string, error) {
	d.proxied = true
	gs, ws, err := startThreeZones(d, 0, len(zones), gatewaysPerZone)
	if err != nil {
		return nil, err
	}
	t := startSparseTraffic(gs, "GET", "/desk/stations", sparseRate)
	var silences []time.Time
	acked := map[string]time.Time{}
	drain := func(w *worker) {
		w.leave()
		acked[w.id] = time.Now()
		d.record.printf("the store acknowledges that worker %s is draining", w.id)
	}
	all := ws
	for range rounds {
		time.Sleep(silentBefore)
		if trouble {
			silences = append(silences, time.Now())
			for _, g := range gs {
				d.record.printf("%d channels of %s to the store go silent", g.storeProxy.silence(), g.name)
			}
		}
		time.Sleep(500 * time.Millisecond)
		var next []*worker
		for _, z := range zones {
			w, err := d.addWorker(fmt.Sprintf("i-%d", len(all)), "desk", z, 6, 15*time.Millisecond, 0)
			if err != nil {
				return nil, err
			}
			all, next = append(all, w), append(next, w)
		}
		time.Sleep(500 * time.Millisecond)
		drain(ws[0])
		drain(ws[1])
		time.Sleep(time.Second)
		drain(ws[2])
		ws = next
	}
	time.Sleep(silentBefore)
	t.end(d.record)
	for _, g := range gs {
		for _, l := range g.logLines(`"draining":true`) {
			d.record.printf("log of %s: %s", g.name, l)
		}
	}
	late := 0
	for _, w := range all {
		ack, drains := acked[w.id]
		for _, r := range w.all() {
			since := sinceLast(silences, r.at)
			if after := r.at.Sub(ack); drains && after > drainBound && since > contact {
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

// sinceLast returns the time from the last of some moments before at, or a long time if there is none.
func sinceLast(moments []time.Time, at time.Time) time.Duration {
	since := time.Hour
	for _, m := range moments {
		if d := at.Sub(m); d >= 0 {
			since = min(since, d)
		}
	}
	return since
}
