package wiring

import (
	"context"
	"net"

	"github.com/pkg/errors"

	"github.com/masticwing/masticwing/internal/adapter/enginehttp"
	"github.com/masticwing/masticwing/internal/adapter/kvhttp"
	"github.com/masticwing/masticwing/internal/adapter/ledgerdoc"
	"github.com/masticwing/masticwing/internal/adapter/originhttp"
	"github.com/masticwing/masticwing/internal/adapter/rpc"
	"github.com/masticwing/masticwing/internal/adapter/servicehttp"
	"github.com/masticwing/masticwing/internal/adapter/sysclock"
	"github.com/masticwing/masticwing/internal/app/agent"
	"github.com/masticwing/masticwing/internal/app/daemon"
	"github.com/masticwing/masticwing/internal/app/settings"
	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/port"
)

// AgentRole describes masticwing-agent.
func AgentRole() daemon.Role {
	var c agent.Settings
	return daemon.Role{
		Name:  "masticwing-agent",
		Usage: "the process beside a model engine or plain service",
		Settings: func(s *settings.Set) *daemon.Common {
			c.Register(s)
			return &c.Common
		},
		Run: func(ctx context.Context, env daemon.Env) error { return runAgent(ctx, c, env) },
	}
}

// runAgent runs an agent. Member exchanges and weight transfers use separate clients, so that
// their traffic is counted separately.
func runAgent(ctx context.Context, c agent.Settings, env daemon.Env) error {
	id := agent.Identity{
		VM: fleet.VM(c.ID), Domain: c.Domain, Region: c.Region, Labels: c.Labels, BootID: sysclock.Rand{}.Uint64(),
	}
	control, peers := rpc.NewClient(), rpc.NewClient()
	control.Source, peers.Source = c.Source, c.Source
	defer control.Close()
	defer peers.Close()
	kv := kvhttp.New(c.Platform)
	dir := newDirectory(c.Settings, fleet.KindAgent, c.Common, c.Labels, env, control, peers)
	parts := agent.NewComponents(c, id, env, dir, agent.ComponentPorts{
		KV: kv, Peers: peers, Origin: originhttp.New(c.Origin, id.VM), Codec: ledgerdoc.Codec{}, Clock: sysclock.Clock{}, Rand: sysclock.Rand{},
	})
	a := agent.New(id, newAgentDeps(c, env, kv, parts))
	server, err := rpc.NewServer(rpc.Handlers{Agent: a, Peer: parts.Peer, Member: parts.Member, OnPanic: env.ReportPanic, Meter: control.Meter})
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", string(c.RPC))
	if err != nil {
		return errors.Wrap(err, "listening on the rpc address")
	}
	return agent.Serve(ctx, a, server, listener, parts, c, env)
}

func newAgentDeps(c agent.Settings, env daemon.Env, kv port.KV, parts agent.Components) agent.Deps {
	d := agent.Deps{
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
