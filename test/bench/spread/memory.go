package main

import (
	"context"
	"fmt"
	"time"

	"github.com/masticwing/masticwing/test/bench/spread/procs"
)

const (
	// rssBytes is the size of a version, large compared with the other memory of an
	// agent.
	rssBytes = 64 << 20
	// rssRate, in bytes per second, makes a distribution take several samples.
	rssRate = 32 << 20
	// rssSettleTime is the time between the end of a distribution and a reading.
	rssSettleTime = 2 * time.Second
)

// measureMemory prints the resident memory of the agents of a small fleet, in
// copies of a version and without the memory of an agent that holds almost no
// weights: with one version, and the peak while a second version arrives.
func (b *bench) measureMemory() {
	c := procs.Config{Machines: 3, Regions: regions, Bytes: rssBytes, Rate: rssRate}
	b.withFleet("spread.agent_rss_copies", c, func(ctx context.Context, f *procs.Fleet) error {
		idle, err := f.MaxRSS()
		if err != nil {
			return err
		}
		if _, _, err := f.Distribute(ctx, nil); err != nil {
			return err
		}
		time.Sleep(rssSettleTime)
		one, err := f.MaxRSS()
		if err != nil {
			return err
		}
		f.PrepareNextVersion()
		peak := int64(0)
		stop := startTicker(func(time.Duration) {
			if n, err := f.MaxRSS(); err == nil {
				peak = max(peak, n)
			}
		})
		_, _, err = f.Distribute(ctx, nil)
		stop()
		if err != nil {
			return err
		}
		copies := func(n int64) float64 { return float64(n-idle) / rssBytes }
		fmt.Printf("# resident memory of an agent without weights: %d MiB; a version has %d MiB\n", idle>>20, rssBytes>>20)
		fmt.Printf("spread.agent_rss_copies.one %.2f copies - ok\n", copies(one))
		fmt.Printf("spread.agent_rss_copies.two %.2f copies - ok\n", copies(peak))
		return nil
	})
}
