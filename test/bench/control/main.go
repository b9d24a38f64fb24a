// Command control measures what it costs to keep every process informed: the
// time until a change is in force everywhere, the calls of the platform, and
// processor time, memory and bytes of each role at several sizes. It prints one
// line "name value unit bound ok|MISSED" for each figure and exits with 1 if a
// bound is missed.
//
// All agents run a plain service and share one service stand-in, which leaves
// room for more agents. No caller sends requests and no weights move, so all
// bytes of the connections are control.
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
	// benchTimeout bounds the whole run.
	benchTimeout = 235 * time.Second
	// settleTime lets the member tables of a fleet that started at once agree.
	settleTime = 12 * time.Second
	// steadyTime is the window without a change.
	steadyTime = 12 * time.Second
	// changesTime is the window with costChanges changes.
	changesTime = 9 * time.Second
	costChanges = 3
	// changeEvery is the mean time between two changes at 2,300 a day.
	changeEvery = 86400.0 / 2300
)

// size is a fleet over three failure domains.
type size struct{ entries, agents int }

func (s size) processes() int { return s.entries + s.agents }

// Each agent has about as many status streams as at the design size, where
// 390 entries watch 32 of 2,400 agents each. An entry watches 32 agents.
var (
	sizes  = []size{{9, 54}, {15, 93}, {30, 180}}
	design = size{390, 2400}
	// skewed has another ratio of entries to agents, which tells the slope of
	// the platform's calls in entries from that in agents.
	skewed = size{24, 36}
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
	var all []sample
	for i, s := range sizes {
		if only > 0 && s.agents != only {
			continue
		}
		largest := i == len(sizes)-1
		got, err := measure(ctx, s, func(f *fleet) error {
			if !largest {
				return nil
			}
			return inForce(ctx, f, r)
		})
		if err != nil {
			return err
		}
		r.sample(got)
		all = append(all, got)
	}
	if only > 0 {
		return nil
	}
	got, err := measurePlatform(ctx, skewed)
	if err != nil {
		return err
	}
	r.platform(all, got)
	r.extrapolate(all)
	return nil
}

// measure starts a fleet, measures it and calls more while it runs.
func measure(ctx context.Context, s size, more func(*fleet) error) (sample, error) {
	f, err := start(ctx, s)
	if err != nil {
		return sample{}, err
	}
	defer f.h.Close()
	if err := pause(ctx, settleTime); err != nil {
		return sample{}, err
	}
	steady, err := f.window(ctx, func() error { return pause(ctx, steadyTime) })
	if err != nil {
		return sample{}, err
	}
	changing, err := f.window(ctx, func() error { return f.changes(ctx, costChanges, changesTime) })
	if err != nil {
		return sample{}, err
	}
	out := f.sample(steady, changing)
	return out, more(f)
}

// measurePlatform counts only the platform's calls.
func measurePlatform(ctx context.Context, s size) (sample, error) {
	f, err := start(ctx, s)
	if err != nil {
		return sample{}, err
	}
	defer f.h.Close()
	if err := pause(ctx, settleTime); err != nil {
		return sample{}, err
	}
	w, err := f.window(ctx, func() error { return pause(ctx, steadyTime) })
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
