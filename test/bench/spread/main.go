// Command spread measures the time in which a version reaches N machines and the
// bytes that the distribution puts on the links. It prints one line "name value
// unit bound ok|MISSED" for each figure and exits with 1 if a bound is missed.
// Runs with slow machine links start real processes and send live requests. Runs
// with slow region links and the baseline use weight managers in one process.
// QUICK=1 omits the largest fleet, the runs in one process and the memory of
// agents.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/masticwing/masticwing/internal/standin/origin"
	"github.com/masticwing/masticwing/test/bench/spread/cluster"
	"github.com/masticwing/masticwing/test/harness"
)

const (
	regions = 3
	// The bounds come from section 10 of the design. The first three are in copies
	// of the version, boundFaulted is a multiple of the ideal time.
	boundOrigin, boundMachine, boundRegion, boundFaulted = 4.0, 2.2, 1.2, 2.0
	// rateFactor is the rate of the other links divided by that of the slowest. It
	// is 4 because the origin's link carries about four copies while a machine's
	// carries one.
	rateFactor = 4
	// runTimeout limits one run.
	runTimeout = 150 * time.Second
)

// timeBounds are the bounds of the time ratio by number of machines.
var timeBounds = map[int]float64{15: 1.3, 60: 1.5, 200: 1.7}

type bench struct {
	version origin.Version
	rate    int64 // of the slowest link, in bytes per second
	missed  bool  // a figure missed its bound or a run failed
	trace   bool
}

func main() {
	code := run()
	harness.RemoveBinaries()
	os.Exit(code)
}

func run() int {
	quick := os.Getenv("QUICK") != ""
	only := flag.String("only", "", "run one of machine, region, inside, faulted, memory, baseline")
	n := flag.Int("n", 0, "run with this number of machines only")
	trace := flag.Bool("trace", false, "print the slowest live requests, and the progress of runs in one process")
	profile := flag.String("cpuprofile", "", "write a CPU profile of the bench's own process to this file")
	flag.Parse()
	if *profile != "" {
		stop, err := startProfile(*profile)
		if err != nil {
			fmt.Fprintln(os.Stderr, "bench:", err)
			return 1
		}
		defer stop()
	}
	b := &bench{
		version: origin.Version{Model: "bench", Bytes: 8 << 20, ChunkBytes: 32 << 10, Seed: 1},
		rate:    1 << 20,
		trace:   *trace,
	}
	if _, err := harness.Binary("masticwing-agent"); err != nil { // builds the binaries outside the timed runs
		fmt.Fprintln(os.Stderr, "bench:", err)
		return 1
	}
	sizes := []int{15, 60, 200}
	if quick {
		sizes = sizes[:2]
	}
	if *n > 0 {
		sizes = []int{*n}
	}
	fmt.Printf("# %d bytes in chunks of %d, %d regions; the slowest link has %d B/s, so that one copy takes %.0f s; "+
		"the origin's link has %d times that\n",
		b.version.Bytes, b.version.ChunkBytes, regions, b.rate, b.idealTime().Seconds(), rateFactor)
	enabled := func(name string, inQuick bool) bool { return *only == name || *only == "" && (inQuick || !quick) }
	for _, n := range sizes {
		if enabled("machine", true) {
			b.measureMachineLinks(n)
		}
		for _, kind := range []string{"region", "inside"} {
			if enabled(kind, false) {
				b.measureRegionLinks(n, kind)
			}
		}
	}
	if enabled("faulted", true) && (*n == 0 || *n == 60) {
		b.measureFaults(60)
	}
	if enabled("memory", false) && *n == 0 {
		b.measureMemory()
	}
	if enabled("baseline", false) {
		b.measureBaseline(15)
	}
	if b.missed {
		return 1
	}
	return 0
}

func (b *bench) timeBound(n int) float64 {
	if t, ok := timeBounds[n]; ok {
		return t
	}
	return timeBounds[200]
}

// report prints a figure whose bound is the highest allowed value.
func (b *bench) report(name string, v float64, unit string, bound float64) {
	state := "ok"
	if v > bound {
		state, b.missed = "MISSED", true
	}
	fmt.Printf("%s %.2f %s %.1f %s\n", name, v, unit, bound, state)
}

// fail prints that a run failed, which counts as a missed bound.
func (b *bench) fail(name string, err error) {
	b.missed = true
	fmt.Printf("%s failed: %v MISSED\n", name, err)
}

// idealTime is the time that the slowest link takes for one copy.
func (b *bench) idealTime() time.Duration {
	return time.Duration(float64(b.version.Bytes) / float64(b.rate) * float64(time.Second))
}

func (b *bench) clusterConfig(n int, slowest string) cluster.Config {
	c := cluster.Config{
		Machines: n, Regions: regions, Version: b.version,
		MachineRate: rateFactor * b.rate, RegionRate: rateFactor * b.rate, OriginRate: rateFactor * b.rate,
	}
	if slowest == "machine" {
		c.MachineRate = b.rate
	} else {
		c.RegionRate, c.OriginInRegion = b.rate, slowest == "inside"
	}
	return c
}

// measureRegionLinks runs a cluster of n machines whose slowest links are those of
// the regions. The origin is outside all regions (kind "region") or inside one
// ("inside"). The managers run in one process, because the rate limit of a link
// that the machines of a region share works only within a process.
func (b *bench) measureRegionLinks(n int, kind string) {
	took, used, err := b.runCluster(b.clusterConfig(n, kind))
	if err != nil {
		b.fail(fmt.Sprintf("spread.%s_run.%d", kind, n), err)
		return
	}
	ratio := took.Seconds() / b.idealTime().Seconds()
	fmt.Printf("# %d managers in one process, %s run: %.1f s, origin %.2f, machine %.2f, region %.2f copies\n",
		n, kind, took.Seconds(), used.Origin, used.MachineMax, used.RegionMax)
	b.report(fmt.Sprintf("spread.%s_run.origin_copies.%d", kind, n), used.Origin, "copies", boundOrigin)
	b.report(fmt.Sprintf("spread.%s_run.machine_copies_max.%d", kind, n), used.MachineMax, "copies", boundMachine)
	b.report(fmt.Sprintf("spread.%s_run.region_link_copies_max.%d", kind, n), used.RegionMax, "copies", boundRegion)
	b.report(fmt.Sprintf("spread.%s_run.time_ratio.%d", kind, n), ratio, "region_link", b.timeBound(n))
}

// runCluster runs a cluster until all machines hold the version.
func (b *bench) runCluster(cfg cluster.Config) (time.Duration, cluster.LinkUsage, error) {
	c, err := cluster.New(cfg)
	if err != nil {
		return 0, cluster.LinkUsage{}, err
	}
	defer c.Close()
	ctx, cancel := context.WithTimeout(context.Background(), runTimeout)
	defer cancel()
	if b.trace {
		stop := b.traceProgress(c)
		defer stop()
	}
	c.SetVersion()
	took, err := c.WaitComplete(ctx)
	return took, c.LinkUsage(), err
}

// measureBaseline measures the fleet when every machine fetches everything from the
// origin.
func (b *bench) measureBaseline(n int) {
	cfg := b.clusterConfig(n, "machine")
	cfg.WithoutPeers = true
	took, used, err := b.runCluster(cfg)
	if err != nil {
		b.fail(fmt.Sprintf("spread.baseline.%d", n), err)
		return
	}
	fmt.Printf("# baseline, each of %d machines fetches from the origin: %.1f s, ratio %.2f, origin %.2f copies\n",
		n, took.Seconds(), took.Seconds()/b.idealTime().Seconds(), used.Origin)
}
