// Command up starts the deployment of the demo and leaves it running until
// Ctrl-C. Run it with `make up`.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/masticwing/masticwing/test/harness"
)

const (
	spreadTimeout = 20 * time.Second
	stopTimeout   = 10 * time.Second
)

func main() {
	code := 0
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "up:", err)
		code = 1
	}
	harness.RemoveBinaries()
	os.Exit(code)
}

func run() (err error) {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	h, err := harness.New(func(f string, args ...any) { fmt.Fprintf(os.Stderr, f+"\n", args...) })
	if err != nil {
		return err
	}
	defer h.Close()
	defer func() {
		if err != nil {
			h.DumpOutput()
		}
	}()
	d, err := harness.Deploy(ctx, h, harness.SmallSpec())
	if err != nil {
		return err
	}
	v1, err := d.Publish(ctx, 1)
	if err != nil {
		return err
	}
	if err := d.WaitVersion(ctx, spreadTimeout, v1); err != nil {
		return err
	}
	if err := explain(d); err != nil {
		return err
	}
	<-ctx.Done()
	fmt.Println("\nstopping")
	return d.StopNodes(stopTimeout)
}

// explain prints the addresses and three commands to try.
func explain(d *harness.Deployment) error {
	ctl, err := harness.Binary("masticwingctl")
	if err != nil {
		return err
	}
	fmt.Printf("platform  %s\norigin    %s\n", d.PlatformAddr, d.OriginAddr)
	for _, n := range d.Entries {
		fmt.Printf("entry     %-12s http %s  admin %s\n", n.Name, n.HTTP, n.Admin)
	}
	for _, n := range d.Agents {
		fmt.Printf("agent     %-12s admin %s  target %s\n", n.Name, n.Admin, n.TargetAddr)
	}
	entry := "http://" + d.Entries[0].HTTP
	customer := harness.HeaderCustomer + ": " + harness.Customer
	fmt.Printf("\nTry:\n  curl -sN -H '%s' -d '{\"prompt\":\"hello\",\"max_tokens\":8}' %s%s\n",
		customer, entry, harness.GeneratePath(harness.Group))
	fmt.Printf("  curl -si -H '%s' -H '%s: %s' -d '{\"seedlings\":12}' %s%s\n",
		customer, harness.HeaderKey, harness.NewKey(), entry, harness.CallPath(harness.Service, "log"))
	fmt.Printf("  %s --platform %s --peer %s status\n\nCtrl-C stops everything.\n", ctl, d.PlatformAddr, d.Entries[0].RPC)
	return nil
}
