// Package daemon builds the command line and the life cycle that all
// long-running binaries share: settings, logs, metrics, the admin address,
// and graceful shutdown.
package daemon

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
	"github.com/urfave/cli/v3"

	"github.com/masticwing/masticwing/internal/adapter/logging"
	"github.com/masticwing/masticwing/internal/adapter/otelmetrics"
	"github.com/masticwing/masticwing/internal/adapter/settings"
	"github.com/masticwing/masticwing/internal/core/fleet"
)

// Version is set by the linker.
var Version = "dev"

// Exit codes of all binaries. masticwingctl has further ones.
const (
	ExitDone     = 0
	ExitFailed   = 1
	ExitSettings = 2
)

// Common holds the settings that every daemon has.
type Common struct {
	ID    string
	Admin fleet.Address
}

// Register adds the common settings to a set.
func (c *Common) Register(s *settings.Set) {
	s.Name("node", "id", func(v string) { c.ID = v }, settings.Required, "Name of this process, unique in the deployment.")
	s.Address("node", "admin", &c.Admin, settings.Required, "Address of /healthz, /readyz, /status and /metrics.")
}

// Env is what a running daemon gets.
type Env struct {
	Log     *logging.Logger
	Metrics *otelmetrics.Metrics
	Admin   *Admin
}

// Role describes one binary.
type Role struct {
	Name  string
	Usage string
	// Settings registers the settings and returns the common part.
	Settings func(*settings.Set) *Common
	// NewRole returns the role once more, to check changed settings. It may be nil.
	NewRole func() Role
	// MemoryLimit returns the most that the process may use, after Settings. It may
	// be nil.
	MemoryLimit func() int64
	// Run runs until ctx ends, which happens on SIGTERM or SIGINT, and then
	// finishes the work in progress.
	Run func(ctx context.Context, env Env) error
}

// Main runs the command line and returns the exit code.
func Main(r Role, args []string, out, errOut io.Writer) int {
	code := ExitDone
	cmd := command(r, out, errOut, &code)
	if err := cmd.Run(context.Background(), args); err != nil {
		fmt.Fprintln(errOut, r.Name+":", err)
		if code == ExitDone {
			code = ExitFailed
		}
	}
	return code
}

// configVariable names the settings file if no flag does.
const configEnvVar = "MASTICWING_CONFIG"

func command(r Role, out, errOut io.Writer, code *int) *cli.Command {
	config := &cli.StringFlag{Name: "config", Aliases: []string{"c"}, Required: true, Usage: "INI settings `FILE`",
		Sources: cli.EnvVars(configEnvVar)}
	onUsageError := func(_ context.Context, _ *cli.Command, err error, _ bool) error {
		*code = ExitSettings
		return err
	}
	return &cli.Command{
		Name:      r.Name,
		Usage:     r.Usage,
		Version:   Version,
		Writer:    out,
		ErrWriter: errOut,
		Description: "Example:\n  " + r.Name + " run --config " + r.Name + ".ini\n\n" +
			"Exit codes: 0 done, 1 failed, 2 bad settings or usage.",
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		OnUsageError:   onUsageError,
		Action: func(_ context.Context, c *cli.Command) error {
			*code = ExitSettings
			_ = cli.ShowAppHelp(c)
			return errors.New("a command is required, such as run")
		},
		Commands: []*cli.Command{
			{
				Name: "run", Usage: "run until SIGTERM", Flags: []cli.Flag{config}, OnUsageError: onUsageError,
				Action: func(_ context.Context, c *cli.Command) error { return run(r, c.String("config"), out, errOut, code) },
			},
			{
				Name: "check-config", Usage: "check the settings and exit", Flags: []cli.Flag{config}, OnUsageError: onUsageError,
				Action: func(_ context.Context, c *cli.Command) error {
					if _, ok := load(r, c.String("config"), errOut, code); ok {
						fmt.Fprintln(out, "settings are valid")
					}
					return nil
				},
			},
			{
				Name: "example-config", Usage: "print a commented settings file",
				Action: func(context.Context, *cli.Command) error {
					s := settings.New(r.Name)
					r.Settings(s)
					fmt.Fprint(out, s.Example())
					return nil
				},
			},
		},
	}
}

func load(r Role, path string, errOut io.Writer, code *int) (*Common, bool) {
	s := settings.New(r.Name)
	c := r.Settings(s)
	faults := s.Load(path)
	for _, f := range faults {
		fmt.Fprintln(errOut, f.Error())
	}
	if len(faults) > 0 {
		*code = ExitSettings
		return nil, false
	}
	return c, true
}

func run(r Role, path string, out, errOut io.Writer, code *int) error {
	common, ok := load(r, path, errOut, code)
	if !ok {
		return nil
	}
	setGCPercent()
	if r.MemoryLimit != nil {
		debug.SetMemoryLimit(int64(memoryLimitFraction * float64(r.MemoryLimit())))
	}
	metrics, err := otelmetrics.New()
	if err != nil {
		return err
	}
	logger, flush := logging.NewBounded(out, r.Name, common.ID)
	defer flush()
	env := Env{Log: logger, Metrics: metrics, Admin: newAdmin(metrics.Handler())}
	validate := func() []error {
		if r.NewRole == nil {
			return nil
		}
		fresh := settings.New(r.Name)
		r.NewRole().Settings(fresh)
		var out []error
		for _, f := range fresh.Load(path) {
			out = append(out, f)
		}
		return out
	}
	reloadCtx, stopReload := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	defer wg.Wait()
	defer stopReload()
	sighupInstalled := make(chan struct{})
	wg.Go(func() { watchReload(reloadCtx, path, validate, env.Log, sighupInstalled) })
	<-sighupInstalled
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	return serve(ctx, common, env, r)
}

// limitMemory makes the collector run more often, because a daemon shares its
// VM with a target that needs the memory.
func setGCPercent() {
	const gcPercent = 50
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
}

// memoryShare is the part of the process's memory from which the collector runs
// as often as needed. The rest is for the kernel's buffers.
const memoryLimitFraction = 0.7

// returnEvery is the time between two returns of unused memory. The first
// seconds of a process in a large fleet, and later bursts, leave a heap that the
// runtime gives back only over minutes. A collection of a daemon's heap takes
// some milliseconds.
const releaseInterval = 15 * time.Second

// returnMemory gives unused memory back to the VM until ctx ends.
func releaseMemory(ctx context.Context) {
	t := time.NewTicker(releaseInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			debug.FreeOSMemory()
		}
	}
}

func serve(ctx context.Context, common *Common, env Env, r Role) error {
	lis, err := net.Listen("tcp", string(common.Admin))
	if err != nil {
		return errors.Wrap(err, "listening on the admin address")
	}
	srv := &http.Server{Handler: env.Admin.handler(), ReadHeaderTimeout: adminHeaderTimeout}
	var wg conc.WaitGroup
	wg.Go(func() { _ = srv.Serve(lis) })
	releaseCtx, stopRelease := context.WithCancel(context.WithoutCancel(ctx))
	wg.Go(func() { releaseMemory(releaseCtx) })
	env.Log.State("started", logging.F("version", Version), logging.F("admin", common.Admin))
	err = r.Run(ctx, env)
	_ = srv.Close()
	stopRelease()
	wg.Wait()
	if err != nil {
		env.Log.Fault("stopped", err)
		return err
	}
	env.Log.State("stopped")
	return nil
}

// adminTimeout bounds the time to read a request's header.
const adminHeaderTimeout = 5 * time.Second
