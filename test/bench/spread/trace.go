package main

import (
	"fmt"
	"os"
	"runtime/pprof"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/masticwing/masticwing/test/bench/spread/cluster"
	"github.com/masticwing/masticwing/test/bench/spread/procs"
)

// traceEvery is the time between two lines of a trace.
const traceEvery = 500 * time.Millisecond

// follow prints the slowest, median and fastest machines of a run until the
// returned function is called.
func (b *bench) follow(c *cluster.Cluster) func() {
	return every(func(at time.Duration) { b.traceLine(c, at) })
}

// followCPU prints the CPU time that the processes of a fleet use until the
// returned function is called.
func followCPU(f *procs.Fleet) func() {
	last, start := f.CPU(), time.Duration(0)
	return every(func(at time.Duration) {
		now := f.CPU()
		d := now.Sub(last)
		cores := func(t time.Duration) float64 { return t.Seconds() / (at - start).Seconds() }
		fmt.Printf("#   %5.1fs cores used by agents %.2f, entries %.2f, engines %.2f, platform and origin %.2f\n",
			at.Seconds(), cores(d.Agents), cores(d.Entries), cores(d.Engines), cores(d.Standins))
		last, start = now, at
	})
}

// every calls f with the time passed until the returned function is called.
func every(f func(at time.Duration)) func() {
	done, start := make(chan struct{}), time.Now()
	var wg conc.WaitGroup
	wg.Go(func() {
		t := time.NewTicker(traceEvery)
		defer t.Stop()
		for {
			select {
			case <-done:
				return
			case <-t.C:
				f(time.Since(start))
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
		if a.IsLost() {
			continue
		}
		sum += p.ChunksHave
		high = max(high, p.ChunksHave)
		if p.ChunksHave < low {
			low, slowest = p.ChunksHave, fmt.Sprintf("%s %q", a.VM, p.Reason)
		}
	}
	n := c.LinkUsage()
	fmt.Printf("#   %5.1fs low %d mean %d high %d origin %.2f machine %.2f region %.2f slowest %s\n", at.Seconds(), low,
		sum/len(c.Agents), high, n.Origin, n.MachineMax, n.RegionMax, slowest)
}

// startProfile writes a CPU profile until the returned function is called.
func startProfile(file string) (func(), error) {
	f, err := os.Create(file)
	if err != nil {
		return nil, errors.Wrap(err, "creating the profile")
	}
	if err := pprof.StartCPUProfile(f); err != nil {
		return nil, errors.Wrap(err, "starting the profile")
	}
	return func() {
		pprof.StopCPUProfile()
		_ = f.Close()
	}, nil
}
