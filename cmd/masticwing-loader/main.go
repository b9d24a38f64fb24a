// Command masticwing-loader runs beside a model engine on the users' platform and
// keeps the declared weights loaded.
package main

import (
	"context"
	"os"

	"github.com/masticwing/masticwing/internal/adapter/loadudp"
	"github.com/masticwing/masticwing/internal/adapter/rpc"
	"github.com/masticwing/masticwing/internal/adapter/sysclock"
	"github.com/masticwing/masticwing/internal/app/daemon"
	"github.com/masticwing/masticwing/internal/app/loader"
	"github.com/masticwing/masticwing/internal/app/settings"
	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/port"
	"github.com/masticwing/masticwing/internal/wiring"
	"github.com/masticwing/masticwing/platform"
)

func main() { os.Exit(wiring.Main(role(), os.Args, os.Stdout, os.Stderr)) }

func role() daemon.Role {
	set := &loader.Settings{}
	return daemon.Role{
		Name:  "masticwing-loader",
		Usage: "keeps the model engine of a VM at the declared weights",
		Settings: func(s *settings.Set) *daemon.Common {
			set.Register(s)
			return &set.Common
		},
		NewRole:     role,
		MemoryLimit: func() int64 { return set.Memory },
		Run:         func(ctx context.Context, env daemon.Env) error { return run(ctx, *set, env) },
	}
}

// newPeerServer returns the constructor of servers of chunks for other loaders.
func newPeerServer(env daemon.Env) func(port.PeerHandler) (port.Server, error) {
	return func(h port.PeerHandler) (port.Server, error) {
		return rpc.NewServer(rpc.Handlers{Peer: h, OnPanic: env.ReportPanic})
	}
}

func run(ctx context.Context, set loader.Settings, env daemon.Env) error {
	peers := rpc.NewClient()
	defer peers.Close()
	l := loader.New(set, loader.Deps{
		Store: platform.NewStoreWithMetrics(set.Platform, env.Metrics), Feed: peers, Decoder: platform.Decoder{}, Engine: platform.NewEngine(set.Engine),
		Origin: func(a fleet.Address) port.NumberedOrigin { return platform.NewOrigin(a) },
		Peers:  peers, Connections: peers, NewPeerServer: newPeerServer(env), Loads: loadudp.Network{}, Clock: sysclock.Clock{}, Rand: sysclock.Rand{}, Metrics: env.Metrics, Log: env.Log,
	})
	env.Admin.SetReady()
	return l.Run(ctx)
}
