//go:build review

package main

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"time"

	"github.com/masticwing/masticwing/platform/platformtest"
)

const (
	// coldPerS is ColdPerS of the service; coldExcess and coldSlack are the bounds of the rule.
	coldPerS, coldExcess, coldSlack = 26, 1.5, 5
	coldTime                        = 3 * time.Second
	// storeDown is how long the store rejects all calls. All leases run out meanwhile.
	storeDown = 4500 * time.Millisecond
)

// endLeases ends all leases, as they run out while the store is down. It gives out low numbers as their ids.
func endLeases(s *platformtest.Store) {
	for id := range 1000 {
		s.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodDelete, fmt.Sprintf("/kv-lease-end/%d", id), nil))
	}
}

// coldAfterLapse takes the store down for so long that all leases run out. Once it is back and the gateways
// are registered again, a worker becomes cold.
func coldAfterLapse(d *deployment, trouble bool) ([]string, error) {
	gs, ws, err := startThreeZones(d, coldPerS, 1, 1)
	if err != nil {
		return nil, err
	}
	t := startTraffic(gs, "GET", "/desk/stations", 40)
	time.Sleep(4 * time.Second)
	if trouble {
		d.record.printf("the store rejects all calls")
		d.store.SetFault(platformtest.StoreBusy)
		time.Sleep(storeDown)
		d.store.SetFault(platformtest.StoreHealthy)
		endLeases(d.store)
		d.record.printf("the store is back, all leases have run out")
	}
	time.Sleep(1500 * time.Millisecond)
	cold := time.Now()
	ws[0].setCold(coldTime)
	d.record.printf("worker %s is cold for %v", ws[0].id, coldTime)
	time.Sleep(coldTime + time.Second)
	t.end(d.record)
	for _, g := range gs {
		for _, l := range g.logLines("number of gateways changed") {
			d.record.printf("log of %s: %s", g.name, l)
		}
	}
	// The gateways learn of it within the pause between two reads of the targets, which the check leaves out.
	const known = 500 * time.Millisecond
	var counted []run
	for _, r := range ws[0].all() {
		if after := r.at.Sub(cold); after >= known && after < coldTime {
			counted = append(counted, r)
		}
	}
	most := 0
	for _, first := range counted {
		from, n := t.sentAt[first.id], 0
		for _, r := range counted {
			if !t.sentAt[r.id].Before(from) && r.at.Before(from.Add(time.Second)) {
				n++
			}
		}
		most = max(most, n)
	}
	limit := coldPerS*coldExcess + coldSlack
	d.record.printf("worker %s got at most %d requests that were sent and arrived within a second, allowed are %.0f", ws[0].id, most, limit)
	if float64(most) > limit {
		return []string{fmt.Sprintf("FAILBACK: the cold worker %s got %d requests in one second, more than %.0f", ws[0].id, most, limit)}, nil
	}
	return nil, nil
}
