package agent

import (
	"cmp"
	"context"
	"net"

	"github.com/sourcegraph/conc"

	"github.com/masticwing/masticwing/internal/app/daemon"
	"github.com/masticwing/masticwing/internal/port"
)

// Server serves the calls of entries and other agents.
type Server interface {
	port.Server
	// Drain waits until the answers in progress are sent, or until ctx ends.
	Drain(ctx context.Context) error
}

// statusResponse is the body of /status.
type statusResponse struct {
	port.AgentStatus
	Traffic []port.Traffic
}

// Serve runs the agent until ctx ends or the server fails. When ctx ends, it
// drains the agent before it stops.
func Serve(ctx context.Context, a *Agent, server Server, listener net.Listener, parts Components, c Settings, env daemon.Env) error {
	env.Admin.SetStatus(func() any { return statusResponse{a.Status(), parts.Traffic()} })
	workCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	failed := make(chan error, 1)
	var wg conc.WaitGroup
	wg.Go(func() {
		if err := server.Serve(workCtx, listener); err != nil {
			failed <- err
		}
	})
	wg.Go(func() { parts.Run(workCtx) })
	wg.Go(func() { a.Run(workCtx) })
	wg.Go(func() { a.reportReadiness(workCtx, env.Admin, parts.NotReadyReason) })
	var err error
	select {
	case <-ctx.Done():
		drain(ctx, a, server, c, env)
	case err = <-failed:
	}
	stop()
	wg.Wait()
	return err
}

// drain announces that the agent is leaving and waits for the requests in
// progress, for at most the drain timeout.
func drain(ctx context.Context, a *Agent, server Server, c Settings, env daemon.Env) {
	env.Admin.SetNotReady("leaving")
	env.Log.StateChange("leaving")
	drainCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.DrainTimeout)
	defer cancel()
	finished := a.Drain(c.DrainTimeout)
	if err := server.Drain(drainCtx); err != nil || !finished {
		env.Log.Failure("drain timeout passed with requests in progress", err, port.F("timeout", c.DrainTimeout.String()))
	}
}

// reportReadiness keeps /readyz up to date. notReadyReason returns why no
// declaration is known, or "".
func (a *Agent) reportReadiness(ctx context.Context, admin *daemon.Admin, notReadyReason func() string) {
	_ = a.followStatus(ctx, heartbeatInterval, func(st port.AgentStatus) error {
		switch {
		case st.Leaving:
			admin.SetNotReady("leaving")
		case st.Revision == 0:
			admin.SetNotReady(cmp.Or(notReadyReason(), "no declaration known"))
		case !st.Ready:
			admin.SetNotReady("target serves nothing")
		default:
			admin.SetReady()
		}
		return nil
	})
}
