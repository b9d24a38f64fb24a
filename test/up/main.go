// Command up starts the deployment of the demo and keeps it running until
// Ctrl-C. Run it with `make up`.
package main

import (
	"context"
	"fmt"

	"github.com/masticwing/masticwing/test/harness"
)

func main() { harness.SmallMain("up", 0, up) }

func up(ctx context.Context, d *harness.Deployment, _ string) error {
	if err := printUsage(d); err != nil {
		return err
	}
	<-ctx.Done()
	fmt.Println("\nstopping")
	return nil
}

// printUsage prints the addresses of all processes and three commands to try.
func printUsage(d *harness.Deployment) error {
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
