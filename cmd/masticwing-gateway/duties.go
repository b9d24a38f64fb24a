package main

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/masticwing/masticwing/internal/app/duty"
	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/port"
	"github.com/masticwing/masticwing/platform"
)

// dutiesCommand returns the operators' command for the singleton duties.
func dutiesCommand() *cli.Command {
	return &cli.Command{
		Name: "duties", Usage: "print the holder of the singleton duties and their state",
		Flags:  []cli.Flag{&cli.StringFlag{Name: "platform", Required: true, Usage: "`IP:PORT` of the platform's store", Sources: cli.EnvVars("MASTICWING_PLATFORM")}},
		Action: printDuties,
	}
}

func printDuties(ctx context.Context, c *cli.Command) error {
	addr := c.String("platform")
	if _, err := netip.ParseAddrPort(addr); err != nil {
		return errors.Errorf("--platform must be IP:PORT, is %q", addr)
	}
	s, err := duty.ReadStatus(ctx, platform.NewStore(fleet.Address(addr)), platform.Decoder{}.Prefixes().Duties)
	if err != nil {
		return err
	}
	return writeDuties(c.Root().Writer, s)
}

func writeDuties(out io.Writer, s duty.Status) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	switch {
	case s.Holder != "":
		fmt.Fprintf(w, "holder\t%s\ndomain\t%s\ntoken\t%d\nsince\t%s\n", s.Holder, s.Domain, s.Token, s.Since.UTC().Format(time.RFC3339))
	case s.Last != "":
		fmt.Fprintf(w, "holder\tnone\nlast holder\t%s\nlast token\t%d\n", s.Last, s.LastToken)
	default:
		fmt.Fprintf(w, "holder\tnone\n")
	}
	slices.SortFunc(s.Items, func(a, b port.StoreItem) int { return strings.Compare(a.Key, b.Key) })
	for _, it := range s.Items {
		fmt.Fprintf(w, "%s\t%s\n", it.Key, it.Value)
	}
	return errors.Wrap(w.Flush(), "writing output")
}
