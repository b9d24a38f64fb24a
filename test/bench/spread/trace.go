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

// traceInterval is the time between two lines of a trace.
const traceInterval = 500 * time.Millisecond

// traceProgress prints the lowest, mean and highest number of chunks that the
// machines of a run hold, until the returned function is called.
func (b *bench) traceProgress(c *cluster.Cluster) func() {
	return startTicker(func(at time.Duration) { b.printProgress(c, at) })
}

// traceCPU prints the CPU time that the processes of a fleet use until the
// returned function is called.
func traceCPU(f *procs.Fleet) func() {
	prev, prevAt := f.CPUTime(), time.Duration(0)
	return startTicker(func(at time.Duration) {
		cur := f.CPUTime()
		used := cur.Sub(prev)
		cores := func(t time.Duration) float64 { return t.Seconds() / (at - prevAt).Seconds() }
		fmt.Printf("#   %5.1fs cores used by agents %.2f, entries %.2f, engines %.2f, platform and origin %.2f\n",
			at.Seconds(), cores(used.Agents), cores(used.Entries), cores(used.Engines), cores(used.Standins))
		prev, prevAt = cur, at
	})
}

// startTicker calls f at traceInterval, with the time since the start, until the
// returned function is called.
func startTicker(f func(at time.Duration)) func() {
	done, start := make(chan struct{}), time.Now()
	var wg conc.WaitGroup
	wg.Go(func() {
		t := time.NewTicker(traceInterval)
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

func (b *bench) printProgress(c *cluster.Cluster, at time.Duration) {
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
	used := c.LinkUsage()
	fmt.Printf("#   %5.1fs low %d mean %d high %d origin %.2f machine %.2f region %.2f slowest %s\n", at.Seconds(), low,
		sum/len(c.Agents), high, used.Origin, used.MachineMax, used.RegionMax, slowest)
}

// startProfile writes a CPU profile until the returned function is called.
func startProfile(file string) (func(), error) {
	f, err := os.Create(file)
	if err != nil {
		return nil, errors.Wrap(err, "creating the CPU profile")
	}
	if err := pprof.StartCPUProfile(f); err != nil {
		return nil, errors.Wrap(err, "starting the CPU profile")
	}
	return func() {
		pprof.StopCPUProfile()
		_ = f.Close()
	}, nil
}
