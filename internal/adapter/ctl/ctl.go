// Package ctl implements masticwingctl, the operators' command. It validates,
// compares and applies declarations, cordons failure domains and VMs, and shows
// the progress of a change.
//
// Every change is a compare-and-swap against the revision that the operator saw.
// Of two concurrent changes one takes effect; the other fails and prints the
// conflicting change.
package ctl

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/port"
)

// Exit codes of masticwingctl.
const (
	ExitDone        = 0
	ExitFailed      = 1
	ExitUsage       = 2
	ExitUnreachable = 3
	ExitConflict    = 4
	ExitRefused     = 5
)

// Deps holds the ports and streams that the command uses.
type Deps struct {
	// KV returns a client of the platform's key-value service.
	KV      func(fleet.Address) port.KV
	Members port.MemberClient
	Clock   port.Clock
	Rand    port.Rand
	Out     io.Writer
	Err     io.Writer
	// Version is the version of the binary.
	Version string
	// Operator is the operator's name in the history if no flag sets it.
	Operator string
}

// exitError is an error that determines the command's exit code.
type exitError struct {
	code int
	error
}

func (e exitError) Unwrap() error { return e.error }

func withExitCode(code int, err error) error {
	if err == nil {
		return nil
	}
	return exitError{code, err}
}

func exitErrorf(code int, format string, args ...any) error {
	return exitError{code, errors.Errorf(format, args...)}
}

// Main runs one command line and returns its exit code.
func Main(ctx context.Context, deps Deps, args []string) int {
	err := command(deps).Run(ctx, args)
	if err == nil {
		return ExitDone
	}
	fmt.Fprintln(deps.Err, "masticwingctl:", err)
	var e exitError
	if errors.As(err, &e) {
		return e.code
	}
	// Any error without a code comes from the flag parser.
	return ExitUsage
}

const description = `Examples:
  masticwingctl validate config/
  masticwingctl diff config/ --platform 10.0.0.1:7000 --peer 10.0.1.1:7100
  masticwingctl apply config/ --wait
  masticwingctl cordon domain a
  masticwingctl status --watch

Exit codes: 0 done, 1 failed, 2 bad input or usage, 3 unreachable, 4 conflict, 5 refused by a check.`

func command(d Deps) *cli.Command {
	return &cli.Command{
		Name:           "masticwingctl",
		Usage:          "change and observe a deployment",
		Description:    description,
		Version:        d.Version,
		Writer:         d.Out,
		ErrWriter:      d.Err,
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		OnUsageError:   onUsageError,
		Flags:          globalFlags(d),
		Action: func(_ context.Context, c *cli.Command) error {
			_ = cli.ShowAppHelp(c)
			if c.Args().Present() {
				return exitErrorf(ExitUsage, "unknown command %q", c.Args().First())
			}
			return exitErrorf(ExitUsage, "a command is required")
		},
		Commands: []*cli.Command{
			{
				Name: "validate", Usage: "check files and report every fault", ArgsUsage: "DIR|FILE...",
				Description: "Example:\n  masticwingctl validate config/", OnUsageError: onUsageError, Action: run(d, (*session).validate),
			},
			{
				Name: "diff", Usage: "show the machines whose assignment files would change", ArgsUsage: "DIR|FILE...",
				Description: "Example:\n  masticwingctl diff config/ --peer 10.0.1.1:7100", OnUsageError: onUsageError,
				Action: run(d, (*session).diff),
			},
			applyCommand(d),
			{
				Name: "get", Usage: "print the declaration in force", OnUsageError: onUsageError, Action: run(d, (*session).get),
				Description: "Example:\n  masticwingctl get > current.ini",
			},
			statusCommand(d),
			{
				Name: "history", Usage: "list the last changes", OnUsageError: onUsageError, Action: run(d, (*session).history),
				Description: "Example:\n  masticwingctl history --output json",
			},
			explainCommand(d),
			cordonCommand(d, "cordon", "take a failure domain or VM out of service", true),
			cordonCommand(d, "uncordon", "return a failure domain or VM to service", false),
		},
	}
}

func globalFlags(d Deps) []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "platform", Usage: "`IP:PORT` of the platform's key-value service", Sources: cli.EnvVars("MASTICWING_PLATFORM")},
		&cli.StringFlag{Name: "peer", Usage: "`IP:PORT,...` of processes to ask for the member table", Sources: cli.EnvVars("MASTICWING_PEER")},
		&cli.StringFlag{Name: "output", Aliases: []string{"o"}, Value: "text", Usage: "text or json"},
		&cli.StringFlag{Name: "operator", Value: d.Operator, Usage: "`NAME` in the history", Sources: cli.EnvVars("MASTICWING_OPERATOR")},
		&cli.DurationFlag{Name: "timeout", Value: 10 * time.Second, Usage: "longest time for the platform to answer"},
	}
}

// waitFlags returns new flags on each call, because a flag holds the parsed value
// for one command.
func waitFlags() []cli.Flag {
	return []cli.Flag{
		&cli.BoolFlag{Name: "wait", Usage: "wait until every visible process reports the revision"},
		&cli.DurationFlag{Name: "wait-timeout", Value: 30 * time.Second, Usage: "longest time for --wait"},
		&cli.BoolFlag{Name: "force", Usage: "apply although a check refuses"},
	}
}

func applyCommand(d Deps) *cli.Command {
	return &cli.Command{
		Name: "apply", Usage: "put files in force", ArgsUsage: "DIR|FILE...", OnUsageError: onUsageError,
		Description: "Examples:\n  masticwingctl apply config/ --wait\n  masticwingctl apply config/ --revision 41\n\n" +
			"The change takes effect only if nobody else has changed the declaration since\n" +
			"the revision given, or since this command read it.",
		Flags:  append([]cli.Flag{&cli.Uint64Flag{Name: "revision", Usage: "revision `N` that the change is based on"}}, waitFlags()...),
		Action: run(d, (*session).apply),
	}
}

func cordonCommand(d Deps, name, usage string, cordoned bool) *cli.Command {
	return &cli.Command{
		Name: name, Usage: usage, ArgsUsage: "domain|vm NAME", OnUsageError: onUsageError,
		Description: "Examples:\n  masticwingctl " + name + " domain a --wait\n  masticwingctl " + name + " vm a-w1",
		Flags:       waitFlags(),
		Action:      run(d, func(s *session, ctx context.Context) error { return s.cordon(ctx, cordoned) }),
	}
}

func statusCommand(d Deps) *cli.Command {
	return &cli.Command{
		Name: "status", Usage: "show the revision of every process and the progress of every group", OnUsageError: onUsageError,
		Description: "Examples:\n  masticwingctl status --peer 10.0.1.1:7100,10.0.2.1:7100\n  masticwingctl status --watch",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "watch", Usage: "repeat until interrupted"},
			&cli.DurationFlag{Name: "interval", Value: 5 * time.Second, Usage: "time between two looks; rates need two"},
		},
		Action: run(d, (*session).status),
	}
}

func onUsageError(_ context.Context, _ *cli.Command, err error, _ bool) error {
	return withExitCode(ExitUsage, err)
}
