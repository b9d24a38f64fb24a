package agent

import (
	"context"
	"time"
)

const (
	// probeInterval is the time between two probes of the target. It bounds how
	// long a cold restart goes unnoticed while no request detects it.
	probeInterval = 250 * time.Millisecond
	// minProbeInterval is the minimum time between two probes, however many
	// requests fail meanwhile.
	minProbeInterval = 10 * time.Millisecond
	// lostAfterFailures is the number of consecutive failed probes after which a
	// target is considered lost. A single probe may be late under load.
	lostAfterFailures = 2
)

// monitor probes the target periodically and on demand, and sends the results.
func (a *Agent) monitor(ctx context.Context, results chan<- probeResult) {
	failures := 0
	for ctx.Err() == nil {
		r := a.probe(ctx)
		if r.err != nil {
			failures++
		} else {
			failures = 0
		}
		if failures == 0 || failures >= lostAfterFailures {
			select {
			case results <- r:
			case <-ctx.Done():
				return
			}
		}
		select {
		case <-a.deps.Clock.After(minProbeInterval):
		case <-ctx.Done():
			return
		}
		select {
		case <-a.deps.Clock.After(probeInterval - minProbeInterval):
		case <-a.probeNow:
		case <-ctx.Done():
		}
	}
}

func (a *Agent) probe(ctx context.Context) probeResult {
	r := probeResult{sentAt: a.deps.Clock.Now()}
	switch {
	case a.deps.Engine != nil:
		r.engine, r.err = a.deps.Engine.Status(ctx)
	case a.deps.Service != nil:
		r.err = a.deps.Service.Healthy(ctx)
	}
	return r
}
