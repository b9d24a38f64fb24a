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
	// warmUpTime is the time of live requests before the measurement, in which the
	// engines complete their ramp.
	warmUpTime = 1500 * time.Millisecond
	// baseTime is the interval before the distribution with which the latency
	// during the distribution is compared.
	baseTime = 3 * time.Second
	// boundLive is the bound of the p99 latency during the distribution divided by
	// the p99 latency before it.
	boundLive = 2.0
	// tracedRequests is the number of slow live requests that a trace prints.
	tracedRequests = 30
)

// withFleet calls f with a fleet of real processes and stops the fleet afterwards.
// It reports an error as a failed run.
func (b *bench) withFleet(name string, c procs.Config, f func(context.Context, *procs.Fleet) error) {
	ctx, cancel := context.WithTimeout(context.Background(), runTimeout)
	defer cancel()
	h, err := harness.New(func(f string, args ...any) { fmt.Fprintf(os.Stderr, f+"\n", args...) })
	if err != nil {
		b.fail(name, err)
		return
	}
	defer h.Close()
	fleet, err := procs.Start(ctx, h, c)
	if err == nil {
		err = f(ctx, fleet)
	}
	if err != nil {
		b.fail(name, err)
	}
}

func (b *bench) fleetConfig(n int) procs.Config {
	return procs.Config{Machines: n, Regions: regions, Bytes: b.version.Bytes, Rate: b.rate}
}

// measureMachineLinks distributes a version to n real agents during live requests.
// The links of the machines are the slowest.
func (b *bench) measureMachineLinks(n int) {
	name := fmt.Sprintf("spread.machine.%d", n)
	b.withFleet(name, b.fleetConfig(n), func(ctx context.Context, f *procs.Fleet) error {
		live := f.StartLive(ctx)
		time.Sleep(warmUpTime)
		baseStart := time.Now()
		time.Sleep(baseTime)
		start := time.Now()
		stopTrace := func() {}
		if b.trace {
			stopTrace = traceCPU(f)
		}
		took, used, err := f.Distribute(ctx, nil)
		end := time.Now()
		stopTrace()
		live.Stop()
		if err != nil {
			return err
		}
		base, during := live.Summarize(baseStart, start), live.Summarize(start, end)
		ratio := took.Seconds() / b.idealTime().Seconds()
		fmt.Printf("# %d agent processes, machine links slowest: %.1f s, ratio %.2f, origin %.2f, machine %.2f, region %.2f copies\n",
			n, took.Seconds(), ratio, used.Origin, used.MachineMax, used.RegionMax)
		fmt.Printf("# live requests, %.0f/s through %d entries: before %d, p50 %v p99 %v; during %d, p50 %v p99 %v\n",
			live.Rate, len(f.Entries), base.Requests, base.P50.Round(time.Millisecond), base.P99.Round(time.Millisecond),
			during.Requests, during.P50.Round(time.Millisecond), during.P99.Round(time.Millisecond))
		if e := base.Errors + during.Errors; e > 0 {
			fmt.Printf("# live errors: %d before, %d during; one: %v %v\n", base.Errors, during.Errors, base.ExampleError, during.ExampleError)
		}
		if b.trace {
			for _, line := range live.Slowest(start, end, tracedRequests) {
				fmt.Println("#   slow request", line)
			}
		}
		b.report(fmt.Sprintf("spread.origin_copies.%d", n), used.Origin, "copies", boundOrigin)
		b.report(fmt.Sprintf("spread.machine_copies_max.%d", n), used.MachineMax, "copies", boundMachine)
		b.report(fmt.Sprintf("spread.region_link_copies_max.%d", n), used.RegionMax, "copies", boundRegion)
		b.report(fmt.Sprintf("spread.time_ratio.%d", n), ratio, "machine_link", b.timeBound(n))
		b.report(fmt.Sprintf("spread.live_errors.%d", n), float64(base.Errors+during.Errors), "requests", 0)
		b.report(fmt.Sprintf("spread.live_p99_ratio.%d", n), during.P99.Seconds()/base.P99.Seconds(), "times", boundLive)
		return nil
	})
}

// measureFaults kills a tenth of the agents when half of the version is distributed
// and stops another tenth, while the origin corrupts one chunk in fifty. It sends
// no live requests, since those at a killed agent fail.
func (b *bench) measureFaults(n int) {
	c := b.fleetConfig(n)
	c.Corrupt = 0.02
	name := fmt.Sprintf("spread.faulted_time_ratio.%d", n)
	b.withFleet(name, c, func(ctx context.Context, f *procs.Fleet) error {
		took, used, err := f.Distribute(ctx, f.StopAgents)
		if err != nil {
			return err
		}
		fmt.Printf("# %d agent processes with faults: %.1f s, origin %.2f, machine %.2f, region %.2f copies, %d chunks corrupted\n",
			n, took.Seconds(), used.Origin, used.MachineMax, used.RegionMax, used.Corrupted)
		b.report(name, took.Seconds()/b.idealTime().Seconds(), "machine_link", boundFaulted)
		b.report(fmt.Sprintf("spread.faulted_origin_copies.%d", n), used.Origin, "copies", boundOrigin)
		return nil
	})
}
