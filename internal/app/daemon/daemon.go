// Package daemon implements the command line and life cycle shared by all
// long-running binaries: settings, logs, metrics, the admin server, and graceful
// shutdown.
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

	"github.com/masticwing/masticwing/internal/app/settings"
	"github.com/masticwing/masticwing/internal/app/supervise"
	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/port"
)

// Version is the version of the binary. It is set by a linker flag.
var Version = "dev"

// Exit codes of the daemons. masticwingctl defines its own, which extend these.
const (
	ExitDone     = 0
	ExitFailed   = 1
	ExitSettings = 2
)

// Common holds the settings common to all daemons.
type Common struct {
	ID    string
	Admin fleet.Address
}

// Register declares the common settings in s.
func (c *Common) Register(s *settings.Set) {
	s.Name("node", "id", func(v string) { c.ID = v }, settings.Required, "Name of this process, unique in the deployment.")
	s.Address("node", "admin", &c.Admin, settings.Required, "Address of /healthz, /readyz, /status and /metrics.")
}

// Adapters are the adapters that every daemon uses.
type Adapters struct {
	// ReadSettings returns the sections of the settings file at path.
	ReadSettings func(path string) ([]port.SettingsSection, error)
	// NewLog returns a log that writes to out, and a function that writes the queued lines.
	NewLog func(out io.Writer, role, id string) (port.Log, func())
	// NewMetrics returns the metrics and the handler that serves them.
	NewMetrics func() (port.Metrics, http.Handler, error)
}

// Env holds what Main provides to Role.Run.
type Env struct {
	Log     port.Log
	Metrics port.Metrics
	Admin   *Admin
}

// ReportPanic logs and counts the panic of a call.
func (e Env) ReportPanic(where string, err error) { supervise.Report(e.Log, e.Metrics, where, err) }

// Role defines the parts of a daemon that differ between binaries.
type Role struct {
	Name  string
	Usage string
	// Settings declares the settings in the set and returns the common ones.
	Settings func(*settings.Set) *Common
	// NewRole returns a new role of the same kind, used to validate a changed
	// settings file. It may be nil.
	NewRole func() Role
	// MemoryLimit returns the maximum memory of the process in bytes. It is called
	// after the settings are loaded. It may be nil.
	MemoryLimit func() int64
	// Commands are further commands of the binary. It may be nil.
	Commands []*cli.Command
	// Run runs the daemon. When ctx ends, on SIGTERM or SIGINT, it finishes the
	// work in progress and returns.
	Run func(ctx context.Context, env Env) error
}

// Main runs the command line of a role and returns the exit code.
func Main(a Adapters, r Role, args []string, out, errOut io.Writer) int {
	code := ExitDone
	cmd := command(a, r, out, errOut, &code)
	if err := cmd.Run(context.Background(), args); err != nil {
		fmt.Fprintln(errOut, r.Name+":", err)
		if code == ExitDone {
			code = ExitFailed
		}
	}
	return code
}

// configEnvVar names the settings file if the flag is absent.
const configEnvVar = "MASTICWING_CONFIG"

func command(a Adapters, r Role, out, errOut io.Writer, code *int) *cli.Command {
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
		Commands: append([]*cli.Command{
			{
				Name: "run", Usage: "run until SIGTERM", Flags: []cli.Flag{config}, OnUsageError: onUsageError,
				Action: func(_ context.Context, c *cli.Command) error { return run(a, r, c.String("config"), out, errOut, code) },
			},
			{
				Name: "check-config", Usage: "check the settings and exit", Flags: []cli.Flag{config}, OnUsageError: onUsageError,
				Action: func(_ context.Context, c *cli.Command) error {
					if _, ok := load(a, r, c.String("config"), errOut, code); ok {
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
		}, r.Commands...),
	}
}

func load(a Adapters, r Role, path string, errOut io.Writer, code *int) (*Common, bool) {
	s := settings.New(r.Name)
	c := r.Settings(s)
	faults := s.Load(path, a.ReadSettings)
	for _, f := range faults {
		fmt.Fprintln(errOut, f.Error())
	}
	if len(faults) > 0 {
		*code = ExitSettings
		return nil, false
	}
	return c, true
}

func run(a Adapters, r Role, path string, out, errOut io.Writer, code *int) error {
	common, ok := load(a, r, path, errOut, code)
	if !ok {
		return nil
	}
	setGCPercent()
	if r.MemoryLimit != nil {
		debug.SetMemoryLimit(int64(memoryLimitFraction * float64(r.MemoryLimit())))
	}
	metrics, metricsHandler, err := a.NewMetrics()
	if err != nil {
		return err
	}
	logger, flush := a.NewLog(out, r.Name, common.ID)
	defer flush()
	env := Env{Log: logger, Metrics: metrics, Admin: newAdmin(metricsHandler)}
	validate := func() []error {
		if r.NewRole == nil {
			return nil
		}
		fresh := settings.New(r.Name)
		r.NewRole().Settings(fresh)
		var out []error
		for _, f := range fresh.Load(path, a.ReadSettings) {
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

// setGCPercent makes the garbage collector run more often than by default, because
// a daemon shares its VM with a target that needs the memory. GOGC overrides it.
func setGCPercent() {
	const gcPercent = 50
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
}

// memoryLimitFraction is the fraction of Role.MemoryLimit used as the memory limit
// of the Go runtime. The rest is for kernel buffers.
const memoryLimitFraction = 0.7

// releaseInterval is the time between releases of unused memory to the operating
// system. The start of a process in a large fleet, and later bursts, leave a large
// heap that the runtime would release only over minutes. A forced collection of a
// daemon's heap takes some milliseconds.
const releaseInterval = 15 * time.Second

// releaseMemory periodically releases unused memory to the operating system until
// ctx ends.
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
	env.Log.StateChange("started", port.F("version", Version), port.F("admin", common.Admin))
	err = r.Run(ctx, env)
	_ = srv.Close()
	stopRelease()
	wg.Wait()
	if err != nil {
		env.Log.Failure("stopped", err)
		return err
	}
	env.Log.StateChange("stopped")
	return nil
}

// adminHeaderTimeout bounds the time to read the header of a request.
const adminHeaderTimeout = 5 * time.Second
