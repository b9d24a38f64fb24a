package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/masticwing/masticwing/internal/adapter/inifile"
	"github.com/masticwing/masticwing/internal/core/declare"
	"github.com/masticwing/masticwing/internal/core/fleet"
)

// session is the state of one invocation of the command.
type session struct {
	Deps
	c     *cli.Command
	json  bool
	peers []fleet.Address
}

// run returns a cli action that parses the global flags and calls f with a new
// session.
func run(d Deps, f func(*session, context.Context) error) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		s := &session{Deps: d, c: c}
		switch c.String("output") {
		case "text":
		case "json":
			s.json = true
		default:
			return exitErrorf(ExitUsage, "--output must be text or json, is %q", c.String("output"))
		}
		for _, p := range strings.Split(c.String("peer"), ",") {
			if p = strings.TrimSpace(p); p == "" {
				continue
			}
			if _, err := netip.ParseAddrPort(p); err != nil {
				return exitErrorf(ExitUsage, "--peer must be IP:PORT,..., is %q", p)
			}
			s.peers = append(s.peers, fleet.Address(p))
		}
		return ensureExitCode(f(s, ctx))
	}
}

// ensureExitCode wraps errors without an exit code with ExitFailed.
func ensureExitCode(err error) error {
	var e exitError
	if err == nil || errors.As(err, &e) {
		return err
	}
	return withExitCode(ExitFailed, err)
}

// print writes v as JSON with --output json, and otherwise calls f to write text.
func (s *session) print(v any, f func(io.Writer)) error {
	if !s.json {
		f(s.Out)
		return nil
	}
	enc := json.NewEncoder(s.Out)
	enc.SetIndent("", "  ")
	return errors.Wrap(enc.Encode(v), "writing output")
}

func (s *session) warn(format string, args ...any) {
	fmt.Fprintf(s.Err, "warning: "+format+"\n", args...)
}

// files reads the files named by the arguments. A directory stands for its .ini
// files.
func (s *session) files() ([]inifile.File, error) {
	args := s.c.Args().Slice()
	if len(args) == 0 {
		return nil, exitErrorf(ExitUsage, "a directory or file is required")
	}
	var out []inifile.File
	for _, a := range args {
		names := []string{a}
		if info, err := os.Stat(a); err == nil && info.IsDir() {
			names, _ = filepath.Glob(filepath.Join(a, "*.ini"))
			if len(names) == 0 {
				return nil, exitErrorf(ExitUsage, "no .ini file in %s", a)
			}
			slices.Sort(names)
		}
		for _, n := range names {
			b, err := os.ReadFile(n)
			if err != nil {
				return nil, withExitCode(ExitUsage, errors.Wrap(err, "reading file"))
			}
			out = append(out, inifile.File{Name: n, Text: string(b)})
		}
	}
	return out, nil
}

// parseFiles reads and parses the files named by the arguments. It returns their
// joined text and the declaration, or prints the faults and returns an error.
func (s *session) parseFiles() (string, *declare.Declaration, error) {
	files, err := s.files()
	if err != nil {
		return "", nil, err
	}
	decl, faults := inifile.Parse(files)
	if len(faults) == 0 {
		return inifile.Join(files), decl, nil
	}
	err = s.print(map[string]any{"faults": faults}, func(w io.Writer) {
		for _, f := range faults {
			fmt.Fprintln(w, f)
		}
	})
	if err != nil {
		return "", nil, err
	}
	return "", nil, exitErrorf(ExitUsage, "%d faults", len(faults))
}

func (s *session) validate(context.Context) error {
	_, d, err := s.parseFiles()
	if err != nil {
		return err
	}
	v := map[string]any{
		"faults": []declare.Fault{}, "groups": len(d.Groups), "models": len(d.Models), "rules": len(d.Rules),
		"services": len(d.Services), "customers": len(d.Customers),
	}
	return s.print(v, func(w io.Writer) {
		fmt.Fprintf(w, "valid: %d groups, %d models, %d rules, %d services, %d customers\n",
			len(d.Groups), len(d.Models), len(d.Rules), len(d.Services), len(d.Customers))
	})
}

func (s *session) get(ctx context.Context) error {
	cur, err := s.readDocument(ctx)
	if err != nil {
		return err
	}
	if cur.doc.Revision == 0 {
		return exitErrorf(ExitFailed, "no declaration has been applied")
	}
	return s.print(cur.doc, func(w io.Writer) {
		fmt.Fprintf(w, "; revision %d\n", cur.doc.Revision)
		for _, x := range cur.doc.CordonedDomains {
			fmt.Fprintf(w, "; cordoned: domain %s\n", x)
		}
		for _, x := range cur.doc.CordonedVMs {
			fmt.Fprintf(w, "; cordoned: vm %s\n", x)
		}
		_, _ = io.WriteString(w, cur.doc.Config)
	})
}

func (s *session) history(ctx context.Context) error {
	cur, err := s.readDocument(ctx)
	if err != nil {
		return err
	}
	return s.print(map[string]any{"history": cur.doc.History}, func(w io.Writer) { writeHistory(w, cur.doc.History) })
}

func writeHistory(w io.Writer, cs []inifile.ChangeRecord) {
	rows := [][]string{{"REVISION", "TIME", "OPERATOR", "CHANGE", "WRITE"}}
	for _, c := range slices.Backward(cs) {
		rows = append(rows, []string{fmt.Sprint(c.Revision), c.Time.UTC().Format("2006-01-02T15:04:05Z"), c.Operator, c.Summary, c.WriteID})
	}
	writeTable(w, rows)
}
