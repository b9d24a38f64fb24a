package agent

import (
	"cmp"
	"context"
	"net"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/masticwing/masticwing/internal/adapter/enginehttp"
	"github.com/masticwing/masticwing/internal/adapter/kvhttp"
	"github.com/masticwing/masticwing/internal/adapter/logging"
	"github.com/masticwing/masticwing/internal/adapter/rpc"
	"github.com/masticwing/masticwing/internal/adapter/servicehttp"
	"github.com/masticwing/masticwing/internal/adapter/settings"
	"github.com/masticwing/masticwing/internal/adapter/sysclock"
	"github.com/masticwing/masticwing/internal/app/daemon"
	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/port"
)

// Role returns the description of masticwing-agent for daemon.Main.
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

// statusValue is the value of /status.
type statusValue struct {
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
	st := connectStores(c, id, env, kv, cl)
	a := New(id, deps(c, env, kv, st))
	srv, err := rpc.NewServer(rpc.Handlers{Agent: a, Peer: st.Peer, Member: st.Member, Meter: cl.control.Meter})
	if err != nil {
		return err
	}
	lis, err := net.Listen("tcp", string(c.RPC))
	if err != nil {
		return errors.Wrap(err, "listening on the rpc address")
	}
	env.Admin.SetStatus(func() any { return statusValue{a.Status(), st.Traffic()} })
	return serve(ctx, a, srv, lis, st, c, env)
}

func deps(c Settings, env daemon.Env, kv port.KV, st stores) Deps {
	d := Deps{
		Clock: sysclock.Clock{}, KV: kv, Weights: st.Weights, Ledger: st.Ledger, Directory: st.Directory,
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

// serve runs until ctx ends and then finishes the requests in progress.
func serve(ctx context.Context, a *Agent, srv *rpc.Server, lis net.Listener, st stores, c Settings, env daemon.Env) error {
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	failed := make(chan error, 1)
	var wg conc.WaitGroup
	wg.Go(func() {
		if err := srv.Serve(work, lis); err != nil {
			failed <- err
		}
	})
	wg.Go(func() { st.Run(work) })
	wg.Go(func() { a.Run(work) })
	wg.Go(func() { a.reportReady(work, env.Admin, st.NotReady) })
	var err error
	select {
	case <-ctx.Done():
		drain(ctx, a, srv, c, env)
	case err = <-failed:
	}
	stop()
	wg.Wait()
	return err
}

// drain ends the work in progress within the drain timeout.
func drain(ctx context.Context, a *Agent, srv *rpc.Server, c Settings, env daemon.Env) {
	env.Admin.SetNotReady("leaving")
	env.Log.State("leaving")
	bound, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.DrainTimeout)
	defer cancel()
	whole := a.Drain(c.DrainTimeout)
	if err := srv.Drain(bound); err != nil || !whole {
		env.Log.Fault("drain timeout passed with requests in progress", err, logging.F("timeout", c.DrainTimeout.String()))
	}
}

// reportReady keeps /readyz up to date; why tells why no declaration is known.
func (a *Agent) reportReady(ctx context.Context, admin *daemon.Admin, why func() string) {
	_ = a.follow(ctx, heartbeatEvery, func(st port.AgentStatus) error {
		switch {
		case st.Leaving:
			admin.SetNotReady("leaving")
		case st.Revision == 0:
			admin.SetNotReady(cmp.Or(why(), "no declaration known"))
		case !st.Ready:
			admin.SetNotReady("target serves nothing")
		default:
			admin.SetReady()
		}
		return nil
	})
}
