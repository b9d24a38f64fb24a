// Command spread measures how fast a version reaches N machines and what it
// costs the links. It prints one line "name value unit bound ok|MISSED" for
// each figure and exits with 1 if a bound is missed. Runs with slow machine
// links start real processes and send live requests; runs with slow region
// links and the baseline have Managers in one process. QUICK=1 leaves out the
// largest fleet, the runs in one process and the memory of agents.
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
	// The bounds come from section 10 of the design.
	boundOrigin, boundMachine, boundRegion, boundFaulted = 4.0, 2.2, 1.2, 2.0
	// faster is how much faster the other links are than the slowest one. The
	// origin's link carries about four copies while a machine's carries one.
	faster = 4
	// runTimeout bounds one run.
	runTimeout = 150 * time.Second
)

var timeBounds = map[int]float64{15: 1.3, 60: 1.5, 200: 1.7}

type bench struct {
	version origin.Version
	rate    int64 // of the slowest link
	missed  bool
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
	if _, err := harness.Binary("masticwing-agent"); err != nil { // the build is not part of a run
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
		b.version.Bytes, b.version.ChunkBytes, regions, b.rate, b.ideal().Seconds(), faster)
	run := func(name string, inQuick bool) bool { return *only == name || *only == "" && (inQuick || !quick) }
	for _, n := range sizes {
		if run("machine", true) {
			b.machine(n)
		}
		for _, kind := range []string{"region", "inside"} {
			if run(kind, false) {
				b.region(n, kind)
			}
		}
	}
	if run("faulted", true) && (*n == 0 || *n == 60) {
		b.faulted(60)
	}
	if run("memory", false) && *n == 0 {
		b.memory()
	}
	if run("baseline", false) {
		b.baseline(15)
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

func (b *bench) line(name string, v float64, unit string, bound float64) {
	state := "ok"
	if v > bound {
		state, b.missed = "MISSED", true
	}
	fmt.Printf("%s %.2f %s %.1f %s\n", name, v, unit, bound, state)
}

func (b *bench) fail(name string, err error) {
	b.missed = true
	fmt.Printf("%s failed: %v MISSED\n", name, err)
}

// ideal is the time that the slowest link takes for one copy.
func (b *bench) ideal() time.Duration {
	return time.Duration(float64(b.version.Bytes) / float64(b.rate) * float64(time.Second))
}

func (b *bench) config(n int, slowest string) cluster.Config {
	c := cluster.Config{
		Machines: n, Regions: regions, Version: b.version,
		MachineRate: faster * b.rate, RegionRate: faster * b.rate, OriginRate: faster * b.rate,
	}
	if slowest == "machine" {
		c.MachineRate = b.rate
	} else {
		c.RegionRate, c.OriginInRegion = b.rate, slowest == "inside"
	}
	return c
}

// region runs a fleet of n machines with the region links the slowest, and the
// origin outside all regions (kind "region") or inside one ("inside"). Its
// Managers run in one process, because the pacing of a link that the machines
// of a region share is part of that process.
func (b *bench) region(n int, kind string) {
	took, use, err := b.once(b.config(n, kind))
	if err != nil {
		b.fail(fmt.Sprintf("spread.%s_run.%d", kind, n), err)
		return
	}
	r := took.Seconds() / b.ideal().Seconds()
	fmt.Printf("# %d Managers in one process, %s run: %.1f s, origin %.2f, machine %.2f, region %.2f copies\n",
		n, kind, took.Seconds(), use.Origin, use.MachineMax, use.RegionMax)
	b.line(fmt.Sprintf("spread.%s_run.origin_copies.%d", kind, n), use.Origin, "copies", boundOrigin)
	b.line(fmt.Sprintf("spread.%s_run.machine_copies_max.%d", kind, n), use.MachineMax, "copies", boundMachine)
	b.line(fmt.Sprintf("spread.%s_run.region_link_copies_max.%d", kind, n), use.RegionMax, "copies", boundRegion)
	b.line(fmt.Sprintf("spread.%s_run.time_ratio.%d", kind, n), r, "region_link", b.timeBound(n))
}

// once runs a fleet to completion.
func (b *bench) once(cfg cluster.Config) (time.Duration, cluster.LinkUsage, error) {
	c, err := cluster.New(cfg)
	if err != nil {
		return 0, cluster.LinkUsage{}, err
	}
	defer c.Close()
	ctx, cancel := context.WithTimeout(context.Background(), runTimeout)
	defer cancel()
	if b.trace {
		stop := b.follow(c)
		defer stop()
	}
	c.SetVersion()
	took, err := c.WaitComplete(ctx)
	return took, c.LinkUsage(), err
}

// baseline measures the same fleet when every machine draws from the origin.
func (b *bench) baseline(n int) {
	cfg := b.config(n, "machine")
	cfg.WithoutPeers = true
	took, copies, err := b.once(cfg)
	if err != nil {
		b.fail(fmt.Sprintf("spread.baseline.%d", n), err)
		return
	}
	fmt.Printf("# baseline, each of %d machines draws from the origin: %.1f s, ratio %.2f, origin %.2f copies\n",
		n, took.Seconds(), took.Seconds()/b.ideal().Seconds(), copies.Origin)
}
