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
	// inForceTimeout limits the wait for a change.
	inForceTimeout = 20 * time.Second
	// pollInterval is the time between two status queries of the processes that
	// have not reported a change.
	pollInterval = 50 * time.Millisecond
	// timedChanges is the number of changes that are timed.
	timedChanges = 3
	// outageTime is the time for which the platform is down.
	outageTime = 30 * time.Second
)

// measureInForce measures the time until changes are in force, with and without an
// outage of the platform.
func measureInForce(ctx context.Context, f *fleet, r *report) error {
	worst := 0.0
	for range timedChanges {
		start := time.Now() // before the platform accepts the change
		if err := f.applyChange(ctx); err != nil {
			return err
		}
		if err := f.waitForRevision(ctx, f.revision); err != nil {
			return err
		}
		worst = max(worst, time.Since(start).Seconds())
	}
	r.printBounded("control.in_force_seconds_max", worst, "s", inForceBound)
	took, err := f.measureOutage(ctx)
	if err != nil {
		return err
	}
	r.printBounded("control.in_force_after_outage_seconds", took, "s", inForceBound)
	r.printBounded("control.reverts", float64(f.reverts), "count", 0)
	return nil
}

// measureOutage applies a change while the platform is down. After the outage the
// platform executes writes but loses all their responses, until the change is in
// force. It returns the seconds from the end of the outage until then.
func (f *fleet) measureOutage(ctx context.Context) (float64, error) {
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
	if err := f.countReverts(ctx, outageTime); err != nil {
		return 0, err
	}
	if err := harness.SetFaults(ctx, f.d.PlatformAddr, platform.Faults{LoseWriteAnswers: 1}); err != nil {
		return 0, err
	}
	outageEnd := time.Now()
	f.revision++
	if err := f.waitForRevision(ctx, f.revision); err != nil {
		return 0, err
	}
	took := time.Since(outageEnd).Seconds()
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

// countReverts reads the revisions of all processes for a time and counts reverts.
func (f *fleet) countReverts(ctx context.Context, d time.Duration) error {
	for end := time.Now().Add(d); time.Now().Before(end); {
		if _, err := f.readAll(ctx); err != nil {
			return err
		}
		if err := pause(ctx, min(time.Second, time.Until(end))); err != nil {
			return err
		}
	}
	return nil
}

// waitForRevision waits until every process has reported the revision at /status.
func (f *fleet) waitForRevision(ctx context.Context, rev uint64) error {
	ctx, cancel := context.WithTimeout(ctx, inForceTimeout)
	defer cancel()
	lagging := f.d.Nodes()
	for {
		var err error
		if lagging, err = f.lagging(ctx, lagging, rev); err != nil || len(lagging) == 0 {
			return err
		}
		if err := pause(ctx, pollInterval); err != nil {
			return errors.Wrapf(err, "%d processes, such as %s, have not reported revision %d", len(lagging), lagging[0].Name, rev)
		}
	}
}

// lagging returns those of the nodes that report an older revision.
func (f *fleet) lagging(ctx context.Context, nodes []*harness.Node, rev uint64) ([]*harness.Node, error) {
	var mu sync.Mutex
	var out []*harness.Node
	p := pool.New().WithErrors().WithMaxGoroutines(maxStatusCalls)
	for _, n := range nodes {
		p.Go(func() error {
			var status harness.AgentStatus
			err := harness.GetStatus(ctx, n.Admin, &status)
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				f.recordRevision(n.Name, status.Revision)
			}
			if status.Revision < rev {
				out = append(out, n)
			}
			return err
		})
	}
	return out, p.Wait()
}
