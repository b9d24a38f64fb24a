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

// confirmTimeout bounds how long a request waits for the engine's identity. A
// status call on the same VM takes well below a millisecond; an engine that
// takes longer gets the request on the identity of the last probe.
const confirmTimeout = 20 * time.Millisecond

// observeEngine records what the engine states of itself, asked after the time
// given.
func (a *Agent) observeEngine(o admission.Observation) {
	if a.adm.ObserveEngine(a.target, o, a.d.Clock.Now()) {
		a.becameCold()
	}
}

// becameCold makes the controller learn at once what the engine has loaded.
func (a *Agent) becameCold() {
	a.d.Metrics.Count("agent_cold_restarts", 1)
	signal(a.probes)
}

func observation(st port.EngineStatus, asked time.Time) admission.Observation {
	return admission.Observation{EngineIdentity: st.EngineIdentity, ChecksIdentity: st.ChecksIdentity, AskedAt: asked}
}

// refused learns from an engine that is not the one the request expected.
func (a *Agent) refused(err error, p *admission.Permit, asked time.Time) {
	var c *port.EngineChangedError
	switch {
	case !errors.As(err, &c):
	case c.Now != fleet.EngineIdentity{} && c.Now != p.ExpectedIdentity():
		a.observeEngine(admission.Observation{EngineIdentity: c.Now, ChecksIdentity: true, AskedAt: asked})
	case p.RecordEngineChange(a.d.Clock.Now()):
		a.becameCold()
	}
}

// admit takes a permit for a request of n bytes that arrived at the time
// since, or returns the refusal. An engine that does not check the identity is
// asked for it if a cold one would not bear the request.
func (a *Agent) admit(ctx context.Context, n int64, since time.Time) (*admission.Permit, *verdict.Error) {
	p, refusal := a.adm.AdmitSince(a.target, n, since, a.d.Clock.Now())
	if p != nil || refusal != nil {
		return p, refusal
	}
	select {
	case <-a.joinRound():
	case <-a.d.Clock.After(confirmTimeout):
	case <-ctx.Done():
		return nil, verdict.Wrap(ctx.Err(), verdict.NotRun, verdict.CodeDeadline, "request ended before it was admitted")
	}
	p, refusal = a.adm.AdmitSince(a.target, n, since, a.d.Clock.Now())
	if p != nil || refusal != nil {
		return p, refusal
	}
	a.d.Metrics.Count("agent_unconfirmed_admissions", 1)
	return a.adm.Admit(a.target, n, a.d.Clock.Now())
}

// joinRound returns what is closed after the next status call. A call that is
// under way may have been answered before the request came, so it does not
// count.
func (a *Agent) joinRound() <-chan struct{} {
	var done chan struct{}
	a.rounds.Update(self, func(c chan struct{}, ok bool) (chan struct{}, bool) {
		if !ok {
			c = make(chan struct{})
		}
		done = c
		return c, true
	})
	signal(a.asks)
	return done
}

// takeRound returns the round that requests have joined, or nil.
func (a *Agent) takeRound() chan struct{} {
	var done chan struct{}
	a.rounds.Update(self, func(c chan struct{}, _ bool) (chan struct{}, bool) {
		done = c
		return nil, false
	})
	return done
}

// confirm asks the engine for its identity, once for all requests that wait
// for it at that moment.
func (a *Agent) confirm(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.asks:
		}
		if done := a.takeRound(); done != nil {
			a.askIdentity(ctx)
			close(done)
		}
	}
}

func (a *Agent) askIdentity(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	asked := a.d.Clock.Now()
	if st, err := a.d.Engine.Status(ctx); err == nil {
		a.observeEngine(observation(st, asked))
	}
}
