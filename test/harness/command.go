package harness

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	// SmallSpreadTimeout bounds the time until all agents of SmallSpec serve a
	// new version.
	SmallSpreadTimeout = 20 * time.Second
	// SmallStopTimeout bounds the graceful shutdown of the daemons of SmallSpec.
	SmallStopTimeout = 10 * time.Second
)

// SmallMain is the main function of a command that runs the deployment of
// SmallSpec. It waits until all agents serve version 1, calls use with the
// digest of that version, stops the daemons and exits the process. The context
// is canceled by Ctrl-C, by SIGTERM, and after the timeout if it is positive.
// The timeout does not include the build of the binaries.
func SmallMain(name string, timeout time.Duration, use func(ctx context.Context, d *Deployment, v1 string) error) {
	code := 0
	if err := runSmall(timeout, use); err != nil {
		fmt.Fprintln(os.Stderr, name+":", err)
		code = 1
	}
	RemoveBinaries()
	os.Exit(code)
}

func runSmall(timeout time.Duration, use func(context.Context, *Deployment, string) error) (err error) {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if _, err := Binary("masticwing-entry"); err != nil {
		return err
	}
	if timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, timeout)
		defer cancel()
	}
	h, err := New(func(f string, args ...any) { fmt.Fprintf(os.Stderr, f+"\n", args...) })
	if err != nil {
		return err
	}
	defer h.Close()
	defer func() {
		if err != nil {
			h.DumpOutput()
		}
	}()
	d, err := Deploy(ctx, h, SmallSpec())
	if err != nil {
		return err
	}
	v1, err := d.Publish(ctx, 1)
	if err != nil {
		return err
	}
	if err := d.WaitVersion(ctx, SmallSpreadTimeout, v1); err != nil {
		return err
	}
	if err := use(ctx, d, v1); err != nil {
		return err
	}
	return d.StopNodes(SmallStopTimeout)
}
