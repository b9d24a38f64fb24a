package main

import (
	"fmt"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/masticwing/masticwing/test/bench/spread/cluster"
)

// traceEvery is the time between two lines of a trace.
const traceEvery = 500 * time.Millisecond

// follow prints the slowest, median and fastest machines of a run until the
// returned function is called.
func (b *bench) follow(c *cluster.Cluster) func() {
	done := make(chan struct{})
	var wg conc.WaitGroup
	wg.Go(func() {
		t := time.NewTicker(traceEvery)
		defer t.Stop()
		for i := 1; ; i++ {
			select {
			case <-done:
				return
			case <-t.C:
				b.traceLine(c, time.Duration(i)*traceEvery)
			}
		}
	})
	return func() {
		close(done)
		wg.Wait()
	}
}

func (b *bench) traceLine(c *cluster.Cluster, at time.Duration) {
	low, high, sum, slowest := 1<<30, 0, 0, ""
	for _, a := range c.Agents {
		p := a.Manager.Progress()
		if a.Lost() {
			continue
		}
		sum += p.ChunksHave
		high = max(high, p.ChunksHave)
		if p.ChunksHave < low {
			low, slowest = p.ChunksHave, fmt.Sprintf("%s %q", a.VM, p.Reason)
		}
	}
	n := c.Copies()
	fmt.Printf("#   %5.1fs low %d mean %d high %d origin %.2f machine %.2f region %.2f slowest %s\n", at.Seconds(), low,
		sum/len(c.Agents), high, n.Origin, n.MachineMax, n.RegionMax, slowest)
}
