package main

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/masticwing/masticwing/internal/app/gateway"
	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/quarantine"
	"github.com/masticwing/masticwing/internal/port"
	"github.com/masticwing/masticwing/platform"
)

// quarantineCommand returns the operators' command for the requests and parts of prompts that
// gateways refuse.
func quarantineCommand() *cli.Command {
	flags := func() []cli.Flag {
		return []cli.Flag{&cli.StringFlag{Name: "platform", Required: true, Usage: "`IP:PORT` of the platform's store", Sources: cli.EnvVars("MASTICWING_PLATFORM")}}
	}
	return &cli.Command{
		Name: "quarantine", Aliases: []string{"parts"}, Usage: "list, refuse or release requests and parts of prompts under which targets crash",
		Commands: []*cli.Command{
			{Name: "list", Usage: "print the evidence against each subject", Flags: flags(), Action: listEvidence},
			{Name: "refuse", Usage: "refuse a request, or all with a part of a prompt, until it is released", ArgsUsage: "SUBJECT", Flags: flags(), Action: changeSubject(gateway.QuarantineOperator.Refuse)},
			{Name: "release", Usage: "forget the evidence against a subject", ArgsUsage: "SUBJECT", Flags: flags(), Action: changeSubject(gateway.QuarantineOperator.Release)},
		},
	}
}

func quarantineOperator(c *cli.Command) (gateway.QuarantineOperator, error) {
	addr := c.String("platform")
	if _, err := netip.ParseAddrPort(addr); err != nil {
		return gateway.QuarantineOperator{}, errors.Errorf("--platform must be IP:PORT, is %q", addr)
	}
	return gateway.QuarantineOperator{Store: platform.NewStore(fleet.Address(addr)), Decoder: platform.Decoder{}}, nil
}

func listEvidence(ctx context.Context, c *cli.Command) error {
	o, err := quarantineOperator(c)
	if err != nil {
		return err
	}
	items, err := o.List(ctx)
	if err != nil {
		return err
	}
	return writeEvidence(c.Root().Writer, items)
}

func writeEvidence(out io.Writer, items []port.QuarantineItem) error {
	slices.SortFunc(items, func(a, b port.QuarantineItem) int { return strings.Compare(string(a.Subject), string(b.Subject)) })
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "SUBJECT\tACCOUNT\tLOSSES\tOF OTHERS\tTRIALS\tBY OPERATOR")
	for _, it := range items {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%v\n", it.Subject, it.Evidence.Account, it.Evidence.Losses, it.Evidence.Others, it.Evidence.Trials, it.Evidence.Held)
	}
	return errors.Wrap(w.Flush(), "writing output")
}

// changeSubject returns the action of a command that changes one subject.
func changeSubject(change func(gateway.QuarantineOperator, context.Context, quarantine.Subject) error) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		o, err := quarantineOperator(c)
		switch {
		case err != nil:
			return err
		case c.Args().Len() != 1:
			return errors.New("one subject is required")
		}
		return change(o, ctx, quarantine.Subject(strings.ToLower(c.Args().First())))
	}
}
