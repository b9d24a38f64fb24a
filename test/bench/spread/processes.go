package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/masticwing/masticwing/test/bench/spread/procs"
	"github.com/masticwing/masticwing/test/harness"
)

const (
	// warm is how long live requests go on before they are measured, so that
	// the engines are past their ramp.
	warm = 1500 * time.Millisecond
	// before is the stretch with which the spread is compared.
	before = 3 * time.Second
	// boundLive is the bound of the p99 latency during the spread over that
	// before it.
	boundLive = 2.0
	// slowest is the number of slow live requests that a trace shows.
	slowest = 30
)

// withFleet starts a fleet of real processes for the time of f.
func (b *bench) withFleet(name string, c procs.Config, f func(context.Context, *procs.Fleet) error) {
	ctx, cancel := context.WithTimeout(context.Background(), runTimeout)
	defer cancel()
	h, err := harness.New(func(f string, args ...any) { fmt.Fprintf(os.Stderr, f+"\n", args...) })
	if err != nil {
		b.fail(name, err)
		return
	}
	defer h.Close()
	fl, err := procs.Start(ctx, h, c)
	if err == nil {
		err = f(ctx, fl)
	}
	if err != nil {
		b.fail(name, err)
	}
}

func (b *bench) processConfig(n int) procs.Config {
	return procs.Config{Machines: n, Regions: regions, Bytes: b.version.Bytes, Rate: b.rate}
}

// machine spreads a version over n real agents with live requests.
func (b *bench) machine(n int) {
	name := fmt.Sprintf("spread.machine.%d", n)
	b.withFleet(name, b.processConfig(n), func(ctx context.Context, f *procs.Fleet) error {
		live := f.StartLive(ctx)
		time.Sleep(warm)
		t0 := time.Now()
		time.Sleep(before)
		t1 := time.Now()
		stop := func() {}
		if b.trace {
			stop = followCPU(f)
		}
		took, use, err := f.Spread(ctx, nil)
		t2 := time.Now()
		stop()
		live.Stop()
		if err != nil {
			return err
		}
		calm, during := live.Between(t0, t1), live.Between(t1, t2)
		ratio := took.Seconds() / b.ideal().Seconds()
		fmt.Printf("# %d agent processes, machine links slowest: %.1f s, ratio %.2f, origin %.2f, machine %.2f, region %.2f copies\n",
			n, took.Seconds(), ratio, use.Origin, use.MachineMax, use.RegionMax)
		fmt.Printf("# live requests, %.0f/s through %d entries: before %d, p50 %v p99 %v; during %d, p50 %v p99 %v\n",
			live.Rate, len(f.Entries), calm.Requests, calm.P50.Round(time.Millisecond), calm.P99.Round(time.Millisecond),
			during.Requests, during.P50.Round(time.Millisecond), during.P99.Round(time.Millisecond))
		if e := calm.Errors + during.Errors; e > 0 {
			fmt.Printf("# live errors: %d before, %d during; one: %v %v\n", calm.Errors, during.Errors, calm.First, during.First)
		}
		if b.trace {
			for _, s := range live.Slowest(t1, t2, slowest) {
				fmt.Println("#   slow request", s)
			}
		}
		b.line(fmt.Sprintf("spread.origin_copies.%d", n), use.Origin, "copies", boundOrigin)
		b.line(fmt.Sprintf("spread.machine_copies_max.%d", n), use.MachineMax, "copies", boundMachine)
		b.line(fmt.Sprintf("spread.region_link_copies_max.%d", n), use.RegionMax, "copies", boundRegion)
		b.line(fmt.Sprintf("spread.time_ratio.%d", n), ratio, "machine_link", b.timeBound(n))
		b.line(fmt.Sprintf("spread.live_errors.%d", n), float64(calm.Errors+during.Errors), "requests", 0)
		b.line(fmt.Sprintf("spread.live_p99_ratio.%d", n), during.P99.Seconds()/calm.P99.Seconds(), "times", boundLive)
		return nil
	})
}

// faulted kills a tenth of the agents half way and stops another tenth, while
// the origin corrupts one chunk in fifty. It has no live requests, since those
// on a killed agent fail.
func (b *bench) faulted(n int) {
	c := b.processConfig(n)
	c.Corrupt = 0.02
	name := fmt.Sprintf("spread.faulted_time_ratio.%d", n)
	b.withFleet(name, c, func(ctx context.Context, f *procs.Fleet) error {
		took, use, err := f.Spread(ctx, f.Fault)
		if err != nil {
			return err
		}
		fmt.Printf("# %d agent processes with faults: %.1f s, origin %.2f, machine %.2f, region %.2f copies, %d chunks corrupted\n",
			n, took.Seconds(), use.Origin, use.MachineMax, use.RegionMax, use.Corrupted)
		b.line(name, took.Seconds()/b.ideal().Seconds(), "machine_link", boundFaulted)
		b.line(fmt.Sprintf("spread.faulted_origin_copies.%d", n), use.Origin, "copies", boundOrigin)
		return nil
	})
}
