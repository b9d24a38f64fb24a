// Command masticwing-gateway accepts callers' requests on the users' platform and
// routes them to the targets that register in the platform's store.
package main

import (
	"context"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
	"github.com/urfave/cli/v3"

	"github.com/masticwing/masticwing/internal/adapter/callerconns"
	"github.com/masticwing/masticwing/internal/adapter/closeguard"
	"github.com/masticwing/masticwing/internal/adapter/headerlimit"
	"github.com/masticwing/masticwing/internal/adapter/loadudp"
	"github.com/masticwing/masticwing/internal/adapter/rpc"
	"github.com/masticwing/masticwing/internal/adapter/sysclock"
	"github.com/masticwing/masticwing/internal/adapter/targetconn"
	"github.com/masticwing/masticwing/internal/app/daemon"
	"github.com/masticwing/masticwing/internal/app/gateway"
	"github.com/masticwing/masticwing/internal/app/settings"
	"github.com/masticwing/masticwing/internal/core/eviction"
	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/port"
	"github.com/masticwing/masticwing/internal/wiring"
	"github.com/masticwing/masticwing/platform"
)

func main() { os.Exit(wiring.Main(role(), os.Args, os.Stdout, os.Stderr)) }

func role() daemon.Role {
	set := &gateway.Settings{}
	return daemon.Role{
		Name:  "masticwing-gateway",
		Usage: "serves callers of targets that register in the platform's store",
		Settings: func(s *settings.Set) *daemon.Common {
			set.Register(s)
			return &set.Common
		},
		NewRole:     role,
		Commands:    []*cli.Command{quarantineCommand(), dutiesCommand()},
		MemoryLimit: func() int64 { return set.Memory },
		Run:         func(ctx context.Context, env daemon.Env) error { return run(ctx, *set, env) },
	}
}

// headerTimeout bounds the time to read a request's header. It is above the few
// seconds that operators configure as the limit for callers.
const headerTimeout = 10 * time.Second

// flushTimeout bounds the wait for the final responses to be written.
const flushTimeout = 300 * time.Millisecond

// newFeedServer returns the constructor of servers of the feed of store changes.
func newFeedServer(env daemon.Env) func(port.FeedHandler) (port.Server, error) {
	return func(h port.FeedHandler) (port.Server, error) {
		return rpc.NewServer(rpc.Handlers{Feed: h, OnPanic: env.ReportPanic})
	}
}

func run(ctx context.Context, set gateway.Settings, env daemon.Env) error {
	peers := rpc.NewClient()
	defer peers.Close()
	budget := set.Connections()
	var duties port.DutyAPI
	if set.Duties.API != "" {
		duties = platform.NewDutyAPI(set.Duties.API)
	}
	g := gateway.New(set, gateway.Deps{
		Duties: duties,
		Store:  platform.NewStoreWithMetrics(set.Platform, env.Metrics), Feed: peers, Peers: peers, NewFeedServer: newFeedServer(env), Loads: loadudp.Network{}, Decoder: platform.Decoder{},
		Targets: platform.NewTargetClient(func() { env.Metrics.Count("target_connections_total", 1) },
			targetconn.Limits{Total: budget.Targets, PerTarget: budget.PerTarget}),
		Clock: sysclock.Clock{}, Rand: sysclock.Rand{}, Metrics: env.Metrics, Log: env.Log,
	})
	callerListener, err := listen(set.Callers)
	if err != nil {
		return err
	}
	readinessListener, err := listen(set.Ready)
	if err != nil {
		return err
	}
	env.Admin.SetReady()
	return serve(ctx, g, callerListener, readinessListener)
}

// serve runs the gateway and its servers until ctx ends or a server fails, and then stops them.
// It returns the error of the server.
func serve(ctx context.Context, g *gateway.Gateway, callers, readiness net.Listener) (err error) {
	conns := callerconns.New(func() time.Duration { return g.RequestLimits().IdleTimeout })
	conns.Ended = func(r callerconns.Reason, o callerconns.Outcome) { g.RecordEndedCaller(string(r), string(o)) }
	callerServer := &http.Server{
		Handler: platform.IngressHandler(g, g.Closing), ReadHeaderTimeout: headerTimeout, ConnState: onStateChange(g, conns),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return acceptCaller(conns.ConnContext(closeguard.ConnContext(ctx, c), c), c, g, conns)
		},
	}
	callers = &headerlimit.Listener{Listener: callers, Limit: func() int { return g.RequestLimits().HeaderBytes }, OnRefusal: g.RecordLongHeader}
	readinessServer := &http.Server{Handler: platform.ReadinessHandler(g), ReadHeaderTimeout: headerTimeout}
	runCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	var wg conc.WaitGroup
	defer wg.Wait()
	defer stop()
	wg.Go(func() { g.Run(runCtx) })
	failed := make(chan error, 2)
	wg.Go(func() { failed <- errors.Wrap(callerServer.Serve(callers), "serving callers") })
	wg.Go(func() { failed <- errors.Wrap(readinessServer.Serve(readiness), "serving the readiness check") })
	select {
	case <-ctx.Done():
	case err = <-failed:
	}
	g.Stop()
	// A handler returns before the end of its response has been written.
	flushCtx, cancel := context.WithTimeout(runCtx, flushTimeout)
	defer cancel()
	_ = callerServer.Shutdown(flushCtx)
	_ = callerServer.Close()
	_ = readinessServer.Close()
	return err
}

// onStateChange returns the hook for the connections of callers.
func onStateChange(g *gateway.Gateway, conns *callerconns.Conns) func(net.Conn, http.ConnState) {
	return func(c net.Conn, s http.ConnState) {
		headerlimit.OnStateChange(c, s)
		conns.OnStateChange(c, s)
		g.SetCallers(conns.Open())
	}
}

// acceptCaller returns the context of a new connection, which it closes if the gateway can't answer it.
func acceptCaller(ctx context.Context, c net.Conn, g *gateway.Gateway, conns *callerconns.Conns) context.Context {
	switch admission, e := g.AcceptCaller(conns); admission {
	case eviction.Refused:
		return platform.RefuseConnection(ctx, e)
	case eviction.Closed:
		_ = c.Close()
	}
	return ctx
}

func listen(a fleet.Address) (net.Listener, error) {
	lis, err := net.Listen("tcp", string(a))
	return lis, errors.Wrap(err, "listening")
}
