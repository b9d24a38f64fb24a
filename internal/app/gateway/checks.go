package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/masticwing/masticwing/internal/app/supervise"
)

const (
	// minOverlapDelay is the shortest time without a response after which a check is joined by
	// another one. The store responds within 4 ms, and within some hundred when disturbed.
	minOverlapDelay = 400 * time.Millisecond
	// overlapInterval times the number of gateways is the same in a larger deployment, so that all
	// gateways together make at most 100 checks a second of a store that is silent. It accepts
	// 400 writes of the whole deployment.
	overlapInterval = 10 * time.Millisecond
	// maxOverlappingChecks bounds the checks in progress; each ends after 1.5 s without a response.
	maxOverlappingChecks = 4
)

// overlappingChecks checks the view of the operator keys against the store. A store that was
// silent does not answer the calls that it received then, and requests with keys are refused until
// the view is confirmed, so that a check without a response does not hold up the next one. The
// earlier check goes on: the store may be slow.
type overlappingChecks struct {
	running atomic.Int64
	wg      conc.WaitGroup
}

// run starts a check, unless too many are in progress, and returns the pause before the next one
// once it has ended or another one may join it.
func (c *overlappingChecks) run(ctx context.Context, g *Gateway) time.Duration {
	delay := max(minOverlapDelay, time.Duration(g.view.processes())*overlapInterval) + g.followDelay()
	if c.running.Load() >= maxOverlappingChecks {
		return delay
	}
	c.running.Add(1)
	ended := make(chan time.Duration, 1)
	c.wg.Go(func() {
		defer c.running.Add(-1)
		pause := confirmRetryDelay
		_ = supervise.Call(g.deps.Log, g.deps.Metrics, "confirmation", func() error {
			pause = g.confirmView(ctx)
			return nil
		})
		ended <- pause
	})
	select {
	case <-ctx.Done():
		return 0
	case pause := <-ended:
		return pause
	case <-g.deps.Clock.After(delay):
		return 0
	}
}

// checkStagger times the number of gateways that this one can follow is added to the pause after a
// check without a response.
const checkStagger = 400 * time.Millisecond

// followDelay returns the time that this gateway leaves to those that it can follow after a check
// that the store did not answer. A check that finds changes returns the changed items, a configuration
// of some hundred kilobytes among them: when the checks of all gateways of a domain are the first
// calls that the store answers after an outage, they fill the link between regions for seconds.
// The first gateways learn of the changes then, and the others from them.
func (g *Gateway) followDelay() time.Duration {
	return time.Duration(len(*g.view.readers.Load())) * checkStagger
}

// wait waits until no check is in progress.
func (c *overlappingChecks) wait() { c.wg.Wait() }
