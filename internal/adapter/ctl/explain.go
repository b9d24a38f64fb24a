package ctl

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/masticwing/masticwing/internal/adapter/logfile"
	"github.com/masticwing/masticwing/internal/core/explain"
)

func explainCommand(d Deps) *cli.Command {
	return &cli.Command{
		Name: "explain", Usage: "print from log files why a request ended as it did", ArgsUsage: "REQUEST FILE...",
		OnUsageError: onUsageError, Action: run(d, (*session).explain),
		Description: "Example:\n  masticwingctl explain 9c41d07be2a35f68 logs/*.log\n\n" +
			"The files hold the lines of several processes, in any order. The table has the\n" +
			"lines on the request, what its gateway and the process beside its target logged in\n" +
			"the 10 s before, and how many other requests failed at the same target.",
	}
}

func (s *session) explain(context.Context) error {
	args := s.c.Args().Slice()
	if len(args) < 2 {
		return exitErrorf(ExitUsage, "a request id and a log file are required")
	}
	var lines []explain.Line
	for _, name := range args[1:] {
		ls, err := readLog(name)
		if err != nil {
			return withExitCode(ExitUsage, err)
		}
		lines = append(lines, ls...)
	}
	steps := explain.RequestSteps(lines, args[0])
	if len(steps) == 0 {
		return exitErrorf(ExitFailed, "none of %d log lines names the request %q", len(lines), args[0])
	}
	return s.print(steps, func(w io.Writer) { writeSteps(w, steps) })
}

func readLog(name string) ([]explain.Line, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, errors.Wrap(err, "opening log file")
	}
	defer func() { _ = f.Close() }()
	return logfile.Read(f)
}

func writeSteps(out io.Writer, steps []explain.Step) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "TIME\tPROCESS\tABOUT\tMESSAGE\tFIELDS")
	for i := range steps {
		s := &steps[i]
		process, message := s.Process, s.Message
		if s.Count > 1 {
			message = fmt.Sprintf("%s (%d lines)", message, s.Count)
		}
		if n := len(s.Processes); n > 1 {
			process = fmt.Sprintf("%d processes", n)
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", s.Time.Format("15:04:05.000"), process, s.Link, message, formatFields(s))
	}
	_ = w.Flush()
}

func formatFields(s *explain.Step) string {
	var out []string
	for _, name := range s.FieldNames() {
		out = append(out, fmt.Sprintf("%s=%v", name, s.Fields[name]))
	}
	return strings.Join(out, " ")
}
