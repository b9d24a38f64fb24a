package main

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc/pool"

	"github.com/masticwing/masticwing/internal/standin/platform"
	"github.com/masticwing/masticwing/test/harness"
)

const (
	// inForceBound is the design's bound in seconds.
	inForceBound = 7
	// inForceLimit ends the wait for a change.
	inForceLimit = 20 * time.Second
	// pollEvery is the time between two looks at the processes that lag.
	pollEvery = 50 * time.Millisecond
	// timedChanges is the number of changes whose time is taken.
	timedChanges = 3
	// outage is how long the platform is down.
	outage = 30 * time.Second
)

// inForce measures changes with and without a failure of the platform.
func inForce(ctx context.Context, f *fleet, r *report) error {
	worst := 0.0
	for range timedChanges {
		began := time.Now() // the start of the command, which is before the change is accepted
		if err := f.change(ctx); err != nil {
			return err
		}
		if err := f.await(ctx, f.revision); err != nil {
			return err
		}
		worst = max(worst, time.Since(began).Seconds())
	}
	r.line("control.in_force_seconds_max", worst, "s", inForceBound)
	took, err := f.outage(ctx)
	if err != nil {
		return err
	}
	r.line("control.in_force_after_outage_seconds", took, "s", inForceBound)
	r.line("control.reverts", float64(f.reverts), "count", 0)
	return nil
}

// outage declares a change while the platform is down. When it returns, the
// answers of all writes are lost at first. The time counts from its return.
func (f *fleet) outage(ctx context.Context) (float64, error) {
	if err := harness.SetFaults(ctx, f.d.PlatformAddr, platform.Faults{Down: true}); err != nil {
		return 0, err
	}
	file, err := f.d.WriteFile("declaration.ini", declaration(int(f.revision)))
	if err != nil {
		return 0, err
	}
	apply, err := f.d.Start("masticwingctl apply", "masticwingctl",
		"apply", "--platform", f.d.PlatformAddr, "--timeout", "60s", file)
	if err != nil {
		return 0, err
	}
	if err := f.watch(ctx, outage); err != nil {
		return 0, err
	}
	if err := harness.SetFaults(ctx, f.d.PlatformAddr, platform.Faults{LoseWriteAnswers: 1}); err != nil {
		return 0, err
	}
	back := time.Now()
	f.revision++
	if err := f.await(ctx, f.revision); err != nil {
		return 0, err
	}
	took := time.Since(back).Seconds()
	select {
	case <-apply.Done():
	case <-ctx.Done():
		return took, ctx.Err()
	}
	if apply.ExitCode() != 0 {
		return took, errors.Errorf("apply ended with code %d: %s", apply.ExitCode(), apply.Output())
	}
	return took, harness.SetFaults(ctx, f.d.PlatformAddr, platform.Faults{})
}

// watch looks for reverts while the platform is down.
func (f *fleet) watch(ctx context.Context, d time.Duration) error {
	for end := time.Now().Add(d); time.Now().Before(end); {
		if _, err := f.readings(ctx); err != nil {
			return err
		}
		if err := pause(ctx, min(time.Second, time.Until(end))); err != nil {
			return err
		}
	}
	return nil
}

// await returns once every process has reported the revision at /status.
func (f *fleet) await(ctx context.Context, rev uint64) error {
	ctx, cancel := context.WithTimeout(ctx, inForceLimit)
	defer cancel()
	behind := f.d.Nodes()
	for {
		var err error
		if behind, err = f.behind(ctx, behind, rev); err != nil || len(behind) == 0 {
			return err
		}
		if err := pause(ctx, pollEvery); err != nil {
			return errors.Wrapf(err, "%d processes such as %s have no revision %d", len(behind), behind[0].Name, rev)
		}
	}
}

func (f *fleet) behind(ctx context.Context, nodes []*harness.Node, rev uint64) ([]*harness.Node, error) {
	var mu sync.Mutex
	var out []*harness.Node
	p := pool.New().WithErrors().WithMaxGoroutines(asks)
	for _, n := range nodes {
		p.Go(func() error {
			var st harness.AgentStatus
			err := harness.GetStatus(ctx, n.Admin, &st)
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				f.note(n.Name, st.Revision)
			}
			if st.Revision < rev {
				out = append(out, n)
			}
			return err
		})
	}
	return out, p.Wait()
}
