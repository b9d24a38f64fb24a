package agent

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/masticwing/masticwing/internal/core/admission"
	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/verdict"
	"github.com/masticwing/masticwing/internal/port"
)

// identityQueryTimeout bounds the time for which a request waits for the engine's
// identity. A status call on the same VM takes well below a millisecond; if the
// engine takes longer than the timeout, the request is admitted on the identity
// from the last probe.
const identityQueryTimeout = 20 * time.Millisecond

// observeEngine records an engine identity and handles a cold restart that it
// reveals.
func (a *Agent) observeEngine(o admission.Observation) {
	if a.admissions.ObserveEngine(a.targetKey, o, a.deps.Clock.Now()) {
		a.onColdRestart()
	}
}

// onColdRestart triggers a probe, so that the controller learns without delay
// which versions the engine has loaded.
func (a *Agent) onColdRestart() {
	a.deps.Metrics.Count("agent_cold_restarts", 1)
	signal(a.probeNow)
}

func newObservation(status port.EngineStatus, askedAt time.Time) admission.Observation {
	return admission.Observation{EngineIdentity: status.EngineIdentity, ChecksIdentity: status.ChecksIdentity, AskedAt: askedAt}
}

// handleEngineChange records the change if err says that the engine is not the
// one that the permit was given for. askedAt is the time before the request was
// sent to the engine.
func (a *Agent) handleEngineChange(err error, permit *admission.Permit, askedAt time.Time) {
	var changed *port.EngineChangedError
	switch {
	case !errors.As(err, &changed):
	case changed.Now != fleet.EngineIdentity{} && changed.Now != permit.ExpectedIdentity():
		a.observeEngine(admission.Observation{EngineIdentity: changed.Now, ChecksIdentity: true, AskedAt: askedAt})
	case permit.RecordEngineChange(a.deps.Clock.Now()):
		a.onColdRestart()
	}
}

// admit returns a permit for a request of bodyBytes, or the refusal. The engine
// may have become cold unnoticed since its last report. If it does not check
// the expected identity itself and the request exceeds the cold limit, admit
// queries the identity first.
func (a *Agent) admit(ctx context.Context, bodyBytes int64, receivedAt time.Time) (*admission.Permit, *verdict.Error) {
	permit, refusal := a.admissions.AdmitSince(a.targetKey, bodyBytes, receivedAt, a.deps.Clock.Now())
	if permit != nil || refusal != nil {
		return permit, refusal
	}
	select {
	case <-a.joinIdentityQuery():
	case <-a.deps.Clock.After(identityQueryTimeout):
	case <-ctx.Done():
		return nil, verdict.Wrap(ctx.Err(), verdict.NotRun, verdict.CodeDeadline, "request ended before it was admitted")
	}
	permit, refusal = a.admissions.AdmitSince(a.targetKey, bodyBytes, receivedAt, a.deps.Clock.Now())
	if permit != nil || refusal != nil {
		return permit, refusal
	}
	a.deps.Metrics.Count("agent_unconfirmed_admissions", 1)
	return a.admissions.Admit(a.targetKey, bodyBytes, a.deps.Clock.Now())
}

// joinIdentityQuery returns a channel that is closed after the next identity
// query. A query in progress does not count, since the engine may have answered
// it before the request arrived.
func (a *Agent) joinIdentityQuery() <-chan struct{} {
	var done chan struct{}
	a.pendingQuery.Update(singleKey, func(c chan struct{}, ok bool) (chan struct{}, bool) {
		if !ok {
			c = make(chan struct{})
		}
		done = c
		return c, true
	})
	signal(a.queryNow)
	return done
}

// takeIdentityQuery removes and returns the channel that requests wait on, or
// nil if none waits.
func (a *Agent) takeIdentityQuery() chan struct{} {
	var done chan struct{}
	a.pendingQuery.Update(singleKey, func(c chan struct{}, _ bool) (chan struct{}, bool) {
		done = c
		return nil, false
	})
	return done
}

// runIdentityQueries queries the engine's identity on demand, with one status
// call for all requests that wait at that moment.
func (a *Agent) runIdentityQueries(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.queryNow:
		}
		if done := a.takeIdentityQuery(); done != nil {
			a.queryIdentity(ctx)
			close(done)
		}
	}
}

func (a *Agent) queryIdentity(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, identityQueryTimeout)
	defer cancel()
	askedAt := a.deps.Clock.Now()
	if status, err := a.deps.Engine.Status(ctx); err == nil {
		a.observeEngine(newObservation(status, askedAt))
	}
}
