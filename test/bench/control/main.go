// Command control measures the control traffic of a fleet: the time until a change
// is in force in every process, the calls to the platform, and the CPU time,
// memory and bytes of each role at several sizes. It prints one line "name value
// unit bound ok|MISSED" for each figure and exits with 1 if a bound is missed.
//
// All agents run a plain service and share one service stand-in, which leaves
// room for more agents. No caller sends requests and no weights are transferred,
// so all bytes on the connections are control traffic.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/masticwing/masticwing/test/harness"
)

const (
	// benchTimeout limits the whole run.
	benchTimeout = 235 * time.Second
	// settleTime is the time in which the member tables converge after all
	// processes start at once.
	settleTime = 12 * time.Second
	// steadyTime is the length of the window without a change.
	steadyTime = 12 * time.Second
	// changesTime is the length of the window with windowChanges changes.
	changesTime   = 9 * time.Second
	windowChanges = 3
	// changeInterval is the mean time in seconds between two changes at 2,300 a day.
	changeInterval = 86400.0 / 2300
)

// size is the number of processes of a fleet over three failure domains.
type size struct{ entries, agents int }

func (s size) processes() int { return s.entries + s.agents }

// In each of the sizes, an entry watches 32 agents, and an agent has about as many
// status streams as at the design size, where 390 entries watch 32 of 2,400 agents
// each.
var (
	sizes      = []size{{9, 54}, {15, 93}, {30, 180}}
	designSize = size{390, 2400}
	// skewedSize has another ratio of entries to agents. It separates the platform
	// calls per entry from those per agent.
	skewedSize = size{24, 36}
)

func main() {
	only := flag.Int("only", 0, "measure only the size with this number of agents")
	flag.Parse()
	r := &report{}
	if err := run(r, *only); err != nil {
		fmt.Fprintln(os.Stderr, "bench-control:", err)
		r.missed = true
	}
	harness.RemoveBinaries()
	if r.missed {
		os.Exit(1)
	}
}

func run(r *report, only int) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if _, err := harness.Binary("masticwing-entry"); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, benchTimeout)
	defer cancel()
	var samples []sample
	for i, s := range sizes {
		if only > 0 && s.agents != only {
			continue
		}
		largest := i == len(sizes)-1
		got, err := measure(ctx, s, func(f *fleet) error {
			if !largest {
				return nil
			}
			return measureInForce(ctx, f, r)
		})
		if err != nil {
			return err
		}
		r.printSample(got)
		samples = append(samples, got)
	}
	if only > 0 {
		return nil
	}
	got, err := measurePlatform(ctx, skewedSize)
	if err != nil {
		return err
	}
	r.printPlatform(samples, got)
	r.printExtrapolation(samples)
	return nil
}

// measure starts a fleet, measures it and calls then while the fleet still runs.
func measure(ctx context.Context, s size, then func(*fleet) error) (sample, error) {
	f, err := startFleet(ctx, s)
	if err != nil {
		return sample{}, err
	}
	defer f.h.Close()
	if err := pause(ctx, settleTime); err != nil {
		return sample{}, err
	}
	steady, err := f.measureWindow(ctx, func() error { return pause(ctx, steadyTime) })
	if err != nil {
		return sample{}, err
	}
	withChanges, err := f.measureWindow(ctx, func() error { return f.applyChanges(ctx, windowChanges, changesTime) })
	if err != nil {
		return sample{}, err
	}
	out := f.summarize(steady, withChanges)
	return out, then(f)
}

// measurePlatform measures only the calls to the platform.
func measurePlatform(ctx context.Context, s size) (sample, error) {
	f, err := startFleet(ctx, s)
	if err != nil {
		return sample{}, err
	}
	defer f.h.Close()
	if err := pause(ctx, settleTime); err != nil {
		return sample{}, err
	}
	w, err := f.measureWindow(ctx, func() error { return pause(ctx, steadyTime) })
	return sample{size: s, calls: w.calls}, err
}

func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}
