// Package command implements the command line that the stand-ins share: the
// addresses to listen on and the shutdown on SIGTERM.
package command

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/pool"
	"github.com/urfave/cli/v3"
)

// ListenFlag is the flag with the addresses to listen on.
var ListenFlag = &cli.StringSliceFlag{
	Name: "listen", Required: true, Usage: "`IP:PORT` to serve on; repeat it for several stand-ins in one process",
}

// Run runs a stand-in with the command line in os.Args and exits the process on
// failure. handler is called once per address, so that each address has its own
// state.
func Run(name, usage string, flags []cli.Flag, handler func(*cli.Command) (http.Handler, error)) {
	cmd := &cli.Command{
		Name:  name,
		Usage: "stand-in for tests and demos only: " + usage,
		Flags: append([]cli.Flag{ListenFlag}, flags...),
		Action: func(ctx context.Context, c *cli.Command) error {
			p := pool.New().WithContext(ctx).WithCancelOnError()
			for _, addr := range c.StringSlice("listen") {
				h, err := handler(c)
				if err != nil {
					return err
				}
				p.Go(func(ctx context.Context) error { return serve(ctx, addr, h) })
			}
			return p.Wait()
		},
	}
	if err := cmd.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, name+":", err)
		os.Exit(1)
	}
}

func serve(ctx context.Context, addr string, h http.Handler) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer stop()
	lis, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	var wg conc.WaitGroup
	wg.Go(func() {
		<-ctx.Done()
		_ = srv.Close()
	})
	err = srv.Serve(lis)
	stop()
	wg.Wait()
	if err != http.ErrServerClosed {
		return err
	}
	return nil
}
