// Command spread measures how fast a version reaches N machines and what it
// costs the links. It prints one line "name value unit bound ok|MISSED" for
// each figure and exits with 1 if a bound is missed. QUICK=1 leaves out the
// largest fleet and the longer baselines.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/masticwing/masticwing/internal/standin/origin"
	"github.com/masticwing/masticwing/test/bench/spread/cluster"
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

var timeBound = map[int]float64{15: 1.3, 60: 1.5, 200: 1.7}

type bench struct {
	version origin.Version
	rate    int64 // of the slowest link
	missed  bool
	trace   bool
}

func main() {
	quick := os.Getenv("QUICK") != ""
	only := flag.String("only", "", "run one of machine, region, inside, faulted, baseline")
	n := flag.Int("n", 0, "run with this number of machines only")
	trace := flag.Bool("trace", false, "print the progress of each run")
	flag.Parse()
	b := &bench{
		version: origin.Version{Model: "bench", Bytes: 8 << 20, ChunkBytes: 32 << 10, Seed: 1},
		rate:    1 << 20,
		trace:   *trace,
	}
	sizes := []int{15, 60, 200}
	if quick {
		sizes = sizes[:2]
		b.version.Bytes, b.version.ChunkBytes = 4<<20, 16<<10
	}
	if *n > 0 {
		sizes = []int{*n}
	}
	run := func(name string) bool { return *only == "" || *only == name }
	fmt.Printf("# %d bytes in chunks of %d; %d regions; the slowest link has %d B/s, others %d times that\n",
		b.version.Bytes, b.version.ChunkBytes, regions, b.rate, faster)
	for _, n := range sizes {
		b.spread(n, run)
	}
	if run("faulted") && (*n == 0 || *n == 60) {
		b.faulted(60)
	}
	if run("baseline") {
		b.baseline(15)
		if !quick {
			b.baseline(60)
		}
	}
	if b.missed {
		os.Exit(1)
	}
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
		c.RegionRate, c.OriginInside = b.rate, slowest == "inside"
	}
	return c
}

// spread runs a fleet of n machines once with each kind of link the slowest,
// and once with slow region links and the origin inside one of the regions.
// The copies printed are the higher ones of the two runs.
func (b *bench) spread(n int, run func(string) bool) {
	var worst cluster.Copies
	ratio, link := 0.0, ""
	for _, slowest := range []string{"region", "inside", "machine"} {
		if !run(slowest) {
			continue
		}
		took, copies, err := b.once(b.config(n, slowest), nil)
		if err != nil {
			b.fail(fmt.Sprintf("spread.%s.%d", slowest, n), err)
			continue
		}
		r := took.Seconds() / b.ideal().Seconds()
		fmt.Printf("# %d machines, %s links slowest: %.1f s, ratio %.2f, origin %.2f, machine %.2f, region %.2f copies\n",
			n, slowest, took.Seconds(), r, copies.Origin, copies.MachineMax, copies.RegionMax)
		if r > ratio {
			ratio, link = r, slowest
		}
		worst.Origin = max(worst.Origin, copies.Origin)
		worst.MachineMax = max(worst.MachineMax, copies.MachineMax)
		worst.RegionMax = max(worst.RegionMax, copies.RegionMax)
	}
	if ratio == 0 {
		return
	}
	b.line(fmt.Sprintf("spread.origin_copies.%d", n), worst.Origin, "copies", boundOrigin)
	b.line(fmt.Sprintf("spread.machine_copies_max.%d", n), worst.MachineMax, "copies", boundMachine)
	b.line(fmt.Sprintf("spread.region_link_copies_max.%d", n), worst.RegionMax, "copies", boundRegion)
	bound, ok := timeBound[n]
	if !ok {
		bound = timeBound[200]
	}
	b.line(fmt.Sprintf("spread.time_ratio.%d", n), ratio, link+"_link", bound)
}

// once runs a fleet to completion. half, if not nil, is called when the fleet
// holds half of the chunks.
func (b *bench) once(cfg cluster.Config, half func(*cluster.Cluster)) (time.Duration, cluster.Copies, error) {
	c, err := cluster.New(cfg)
	if err != nil {
		return 0, cluster.Copies{}, err
	}
	defer c.Close()
	ctx, cancel := context.WithTimeout(context.Background(), runTimeout)
	defer cancel()
	if b.trace {
		stop := b.follow(c)
		defer stop()
	}
	c.Want()
	if half != nil {
		for c.Held() < 0.5 && ctx.Err() == nil {
			time.Sleep(20 * time.Millisecond)
		}
		half(c)
	}
	took, err := c.Wait(ctx)
	return took, c.Copies(), err
}

// faulted stops a tenth of the machines half way and freezes another tenth,
// while one chunk in fifty is corrupted.
func (b *bench) faulted(n int) {
	cfg := b.config(n, "machine")
	cfg.Corrupt = 0.02
	took, copies, err := b.once(cfg, func(c *cluster.Cluster) {
		for i := range n / 10 {
			c.Agents[10*i+3].Stop()
			c.Agents[10*i+8].Freeze()
		}
	})
	name := fmt.Sprintf("spread.faulted_time_ratio.%d", n)
	if err != nil {
		b.fail(name, err)
		return
	}
	fmt.Printf("# %d machines with faults: %.1f s, origin %.2f, machine %.2f, region %.2f copies, %d chunks corrupted\n",
		n, took.Seconds(), copies.Origin, copies.MachineMax, copies.RegionMax, copies.Corrupted)
	b.line(name, took.Seconds()/b.ideal().Seconds(), "machine_link", boundFaulted)
	b.line(fmt.Sprintf("spread.faulted_origin_copies.%d", n), copies.Origin, "copies", boundOrigin)
}

// baseline measures the same fleet when every machine draws from the origin.
func (b *bench) baseline(n int) {
	cfg := b.config(n, "machine")
	cfg.Alone = true
	took, copies, err := b.once(cfg, nil)
	if err != nil {
		b.fail(fmt.Sprintf("spread.baseline.%d", n), err)
		return
	}
	fmt.Printf("# baseline, each of %d machines draws from the origin: %.1f s, ratio %.2f, origin %.2f copies\n",
		n, took.Seconds(), took.Seconds()/b.ideal().Seconds(), copies.Origin)
}
