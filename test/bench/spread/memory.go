package main

import (
	"context"
	"fmt"
	"time"

	"github.com/masticwing/masticwing/test/bench/spread/procs"
)

const (
	// rssBytes is large against what an agent holds besides weights.
	rssBytes = 64 << 20
	// rssRate makes the version last long enough to be sampled.
	rssRate   = 32 << 20
	rssSettle = 2 * time.Second
)

// memory prints what the agents of a small fleet hold in copies of a version:
// beyond an agent with almost no weights, with one version, and at most while
// a second one arrives beside it.
func (b *bench) memory() {
	c := procs.Config{Machines: 3, Regions: regions, Bytes: rssBytes, Rate: rssRate}
	b.withFleet("spread.agent_rss_copies", c, func(ctx context.Context, f *procs.Fleet) error {
		idle, err := f.MaxRSS()
		if err != nil {
			return err
		}
		if _, _, err := f.Spread(ctx, nil); err != nil {
			return err
		}
		time.Sleep(rssSettle)
		one, err := f.MaxRSS()
		if err != nil {
			return err
		}
		f.Next()
		peak := int64(0)
		stop := every(func(time.Duration) {
			if n, err := f.MaxRSS(); err == nil {
				peak = max(peak, n)
			}
		})
		_, _, err = f.Spread(ctx, nil)
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
