// Command serve measures how real processes on loopback serve requests under load
// and faults. It prints one line "name value unit bound ok|MISSED" for each
// figure and exits with 1 if a bound is missed.
package main

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc/panics"

	"github.com/masticwing/masticwing/test/harness"
)

// runTimeout limits the whole bench.
const runTimeout = 170 * time.Second

// bench prints figures and records whether one missed its bound.
type bench struct {
	seed   uint64 // of arrivals and faults
	dump   bool   // print the output of the processes
	missed bool   // a figure missed its bound or a section failed
}

// section measures some figures with its own deployment.
type section struct {
	name string
	run  func(ctx context.Context, b *bench, h *harness.Harness) error
}

var sections = []section{
	{"once", runOnce},
	{"kill", runKill},
	{"domain", runDomain},
	{"overload", runOverload},
	{"latency", runLatency},
	{"slow", runSlow},
}

func main() {
	os.Exit(run())
}

func run() int {
	defer harness.RemoveBinaries()
	only := flag.String("only", "", "run these sections, separated by commas: once, kill, domain, overload, latency, slow")
	seed := flag.Uint64("seed", 0, "seed of arrivals and faults; 0 takes one from the clock")
	dump := flag.Bool("dump", false, "print the last output of each process of a failed section")
	flag.Parse()
	b := &bench{seed: *seed, dump: *dump}
	if b.seed == 0 {
		b.seed = uint64(time.Now().UnixNano())
	}
	fmt.Printf("# seed %d\n", b.seed)
	ctx, cancel := context.WithTimeout(context.Background(), runTimeout)
	defer cancel()
	for _, s := range sections {
		if *only != "" && !strings.Contains(","+*only+",", ","+s.name+",") {
			continue
		}
		start := time.Now()
		if err := b.runSection(ctx, s); err != nil {
			b.missed = true
			fmt.Printf("serve.%s failed: %v MISSED\n", s.name, err)
		}
		fmt.Printf("# section %s took %.1f s\n", s.name, time.Since(start).Seconds())
	}
	if b.missed {
		return 1
	}
	return 0
}

// runSection runs a section and stops its processes afterwards, also after a panic.
func (b *bench) runSection(ctx context.Context, s section) (err error) {
	h, err := harness.New(func(f string, args ...any) { fmt.Printf("# "+f+"\n", args...) })
	if err != nil {
		return err
	}
	defer h.Close()
	if p := panics.Try(func() { err = s.run(ctx, b, h) }); p != nil {
		err = errors.Wrap(p.AsError(), "panic")
	}
	if b.dump {
		h.DumpOutput()
	}
	return err
}

// rand returns a generator that is independent of those of other streams.
func (b *bench) rand(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(b.seed, stream)) }

// atMost prints a figure whose bound is the highest allowed value.
func (b *bench) atMost(name string, v float64, unit string, bound float64) {
	b.report(name, v, unit, bound, v <= bound)
}

// atLeast prints a figure whose bound is the lowest allowed value.
func (b *bench) atLeast(name string, v float64, unit string, bound float64) {
	b.report(name, v, unit, bound, v >= bound)
}

// report prints a figure. NaN counts as missed, because ok is false for NaN.
func (b *bench) report(name string, v float64, unit string, bound float64, ok bool) {
	state := "ok"
	if !ok {
		state, b.missed = "MISSED", true
	}
	fmt.Printf("serve.%s %.3f %s %g %s\n", name, v, unit, bound, state)
}

// comment prints a line that is not a figure.
func comment(format string, args ...any) { fmt.Printf("# "+format+"\n", args...) }
