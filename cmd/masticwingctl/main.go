// Command masticwingctl is the command line tool for operators: it validates and
// applies declarations, cordons domains and VMs, and prints the state of the
// deployment.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/masticwing/masticwing/internal/adapter/ctl"
	"github.com/masticwing/masticwing/internal/adapter/kvhttp"
	"github.com/masticwing/masticwing/internal/adapter/rpc"
	"github.com/masticwing/masticwing/internal/adapter/sysclock"
	"github.com/masticwing/masticwing/internal/app/daemon"
	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/port"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	members := rpc.NewClient()
	code := ctl.Main(ctx, ctl.Deps{
		KV:       func(a fleet.Address) port.KV { return kvhttp.New(a) },
		Members:  members,
		Clock:    sysclock.Clock{},
		Rand:     sysclock.Rand{},
		Out:      os.Stdout,
		Err:      os.Stderr,
		Version:  daemon.Version,
		Operator: os.Getenv("USER"),
	}, os.Args)
	members.Close()
	stop()
	os.Exit(code)
}
