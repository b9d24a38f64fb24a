package agent

import (
	"cmp"
	"context"
	"net"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/masticwing/masticwing/internal/adapter/enginehttp"
	"github.com/masticwing/masticwing/internal/adapter/kvhttp"
	"github.com/masticwing/masticwing/internal/adapter/rpc"
	"github.com/masticwing/masticwing/internal/adapter/servicehttp"
	"github.com/masticwing/masticwing/internal/adapter/sysclock"
	"github.com/masticwing/masticwing/internal/app/daemon"
	"github.com/masticwing/masticwing/internal/app/settings"
	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/port"
)

// Role describes masticwing-agent for daemon.Main.
func Role() daemon.Role {
	var c Settings
	return daemon.Role{
		Name:  "masticwing-agent",
		Usage: "the process beside a model engine or plain service",
		Settings: func(s *settings.Set) *daemon.Common {
			c.Register(s)
			return &c.Common
		},
		Run: func(ctx context.Context, env daemon.Env) error { return run(ctx, c, env) },
	}
}

// statusResponse is the body of /status.
type statusResponse struct {
	port.AgentStatus
	Traffic []port.Traffic
}

func run(ctx context.Context, c Settings, env daemon.Env) error {
	id := Identity{
		VM: fleet.VM(c.ID), Domain: c.Domain, Region: c.Region, Labels: c.Labels, BootID: sysclock.Rand{}.Uint64(),
	}
	cl := newClients(c.Source)
	defer cl.close()
	kv := kvhttp.New(c.Platform)
	parts := newComponents(c, id, env, kv, cl)
	a := New(id, newDeps(c, env, kv, parts))
	server, err := rpc.NewServer(rpc.Handlers{Agent: a, Peer: parts.Peer, Member: parts.Member, Meter: cl.control.Meter})
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", string(c.RPC))
	if err != nil {
		return errors.Wrap(err, "listening on the rpc address")
	}
	env.Admin.SetStatus(func() any { return statusResponse{a.Status(), parts.Traffic()} })
	return serve(ctx, a, server, listener, parts, c, env)
}

func newDeps(c Settings, env daemon.Env, kv port.KV, parts components) Deps {
	d := Deps{
		Clock: sysclock.Clock{}, KV: kv, Weights: parts.Weights, Ledger: parts.Ledger, Directory: parts.Directory,
		Metrics: env.Metrics, Log: env.Log,
	}
	if c.Engine != "" {
		d.Engine = enginehttp.New(c.Engine)
	}
	if c.Service != "" {
		d.Service = servicehttp.New(c.Service)
	}
	return d
}

// serve runs the agent until ctx ends or the RPC server fails. When ctx ends, it
// drains the agent before it stops.
func serve(ctx context.Context, a *Agent, server *rpc.Server, listener net.Listener, parts components, c Settings, env daemon.Env) error {
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
func drain(ctx context.Context, a *Agent, server *rpc.Server, c Settings, env daemon.Env) {
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
