//go:build review

package main

import (
	"fmt"
	"sort"
	"time"

	"github.com/masticwing/masticwing/platform/platformtest"
)

const (
	// weightsBound is version_ms of the platform.
	weightsBound = 8 * time.Second
	// killBefore is how long before the bound the loader is killed, and slowBefore how long before it its engine
	// turns slow.
	killBefore, slowBefore = 2 * time.Second, 2100 * time.Millisecond
	// startDelay is how late the slow engine begins requests, as one at a fifth of its speed does that has seven
	// prompts of 1,290 tokens to read before. It keeps requests whose channel was closed.
	startDelay = 2200 * time.Millisecond
	// loaderDown is how long the killed loader is down.
	loaderDown = 3500 * time.Millisecond
)

// oldWeights names a version of the weights. Before the last engine changes to it, that engine turns slow and its
// loader is killed.
func oldWeights(d *deployment, trouble bool) ([]string, error) {
	if err := d.startEngines(); err != nil {
		return nil, err
	}
	var gs []*gateway
	for i := range 2 {
		g, err := d.addGateway(fmt.Sprintf("gateway-%d", i+1), "zone-a")
		if err != nil {
			return nil, err
		}
		gs = append(gs, g)
	}
	t := startStreams(gs)
	time.Sleep(6 * time.Second)
	d.declare(2)
	acked := time.Now()
	time.Sleep(time.Until(acked.Add(weightsBound - slowBefore)))
	var last *platformtest.Target
	var loader *gateway
	for i, e := range d.engines {
		d.record.printf("engine %s holds version %d", e.ID, e.WeightsVersion())
		if e.WeightsVersion() == 1 {
			last, loader = e, d.gateways[i]
		}
	}
	if last == nil {
		return nil, fmt.Errorf("no engine holds the older version")
	}
	if trouble {
		last.SetStartDelay(startDelay)
		d.record.printf("engine %s turns slow and begins requests %v late", last.ID, startDelay)
	}
	time.Sleep(time.Until(acked.Add(weightsBound - killBefore)))
	if trouble {
		if err := loader.cmd.Process.Kill(); err != nil {
			return nil, err
		}
		<-loader.exited
		d.record.printf("killed %s", loader.name)
		time.Sleep(loaderDown)
		if err := d.start(loader); err != nil {
			return nil, err
		}
	}
	time.Sleep(4 * time.Second)
	last.SetStartDelay(0)
	t.end(d.record)
	var late []string
	runs := 0
	for _, xs := range d.recorder.Executions() {
		for _, x := range xs {
			runs++
			if after := x.At.Sub(acked); x.WeightsVersion < 2 && after > weightsBound {
				late = append(late, fmt.Sprintf("request %s began at %s on version %d %.3f s after version 2 was acknowledged", x.Request, x.Target, x.WeightsVersion, after.Seconds()))
			}
		}
	}
	sort.Strings(late)
	for _, l := range late {
		d.record.printf("%s", l)
	}
	d.record.printf("%d runs in all, %d on the older version later than %v after the acknowledgement", runs, len(late), weightsBound)
	if len(late) > 0 {
		return []string{fmt.Sprintf("VERSION: %d requests began on version 1 later than %v after version 2 was acknowledged", len(late), weightsBound)}, nil
	}
	return nil, nil
}
