package agent

import (
	"context"
	"time"
)

const (
	// probeEvery is the time between two probes of the target. It bounds how
	// long a cold restart goes unnoticed while no request finds out.
	probeEvery = 250 * time.Millisecond
	// probePause is the least time between two probes, however many requests
	// fail meanwhile.
	probePause = 10 * time.Millisecond
	// probeFailures is the number of failed probes after which a target counts
	// as lost; a single one may be late under load.
	probeFailures = 2
)

// monitor probes the target and passes on what it reports.
func (a *Agent) monitor(ctx context.Context, out chan<- report) {
	failures := 0
	for ctx.Err() == nil {
		r := a.probe(ctx)
		if r.err != nil {
			failures++
		} else {
			failures = 0
		}
		if failures == 0 || failures >= probeFailures {
			select {
			case out <- r:
			case <-ctx.Done():
				return
			}
		}
		select {
		case <-a.d.Clock.After(probePause):
		case <-ctx.Done():
			return
		}
		select {
		case <-a.d.Clock.After(probeEvery - probePause):
		case <-a.probes:
		case <-ctx.Done():
		}
	}
}

func (a *Agent) probe(ctx context.Context) report {
	r := report{asked: a.d.Clock.Now()}
	switch {
	case a.d.Engine != nil:
		r.engine, r.err = a.d.Engine.Status(ctx)
	case a.d.Service != nil:
		r.err = a.d.Service.Healthy(ctx)
	}
	return r
}
