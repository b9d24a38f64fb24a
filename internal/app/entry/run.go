package entry

import (
	"cmp"
	"context"
	"net"
	"os"
	"runtime/debug"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/masticwing/masticwing/internal/adapter/httpapi"
	"github.com/masticwing/masticwing/internal/adapter/logging"
	"github.com/masticwing/masticwing/internal/adapter/rpc"
	"github.com/masticwing/masticwing/internal/adapter/sysclock"
	"github.com/masticwing/masticwing/internal/app/daemon"
	"github.com/masticwing/masticwing/internal/port"
)

// closeTimeout bounds the time to send the last bytes of finished answers.
const closeTimeout = 2 * time.Second

// readinessEvery is the time between two looks at the reason why the process
// serves nothing, which changes without a change of the configuration.
const readinessEvery = 500 * time.Millisecond

const (
	// gcPercent replaces the 50 of the other daemons, since an entry shares its
	// VM with no target. With 50 and a live heap of 4 MB, collections took a
	// quarter of the processor time at 1,000 requests a second.
	gcPercent = 200
	// baseMemory is what an entry uses beside the bytes held for callers:
	// tables, metrics, and the runtime's own. All but idle connections is
	// counted, with room for garbage, so the limit may be close to the bound.
	baseMemory = 6 << 20
	// idleBytes is added for each idle connection: two buffers of 4 KiB, a
	// goroutine, and what its last request leaves. Without it, some thousand of
	// them would keep the collector busy all the time.
	idleBytes = 24 << 10
	// limitEvery is the time between two looks at the idle connections.
	limitEvery = time.Second
)

// collectLess sets the collector's pace.
func collectLess() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
}

// limitMemory makes the collector keep the process near its bounds until ctx
// ends. Near the limit it collects more often than gcPercent says, so that
// garbage does not add to what callers that read nothing hold.
func limitMemory(ctx context.Context, held int64, idle func() int) {
	if os.Getenv("GOMEMLIMIT") != "" {
		return
	}
	look := time.NewTicker(limitEvery)
	defer look.Stop()
	for last := int64(-1); ; {
		if n := held + baseMemory + idleBytes*int64(idle()); n != last {
			debug.SetMemoryLimit(n)
			last = n
		}
		select {
		case <-look.C:
		case <-ctx.Done():
			return
		}
	}
}

// Directory is the part of the process that knows the deployment and answers
// other processes about it.
type Directory interface {
	port.Directory
	// NotReadyReason returns why this process serves nothing yet, or "".
	NotReadyReason() string
	// Handler answers other processes.
	Handler() port.MemberHandler
	// Traffic returns the bytes sent and received by kind.
	Traffic() []port.Traffic
	// Run keeps the directory up to date until ctx ends.
	Run(ctx context.Context)
}

// NewDirectory builds the directory of a process.
type NewDirectory func(c *Config, env daemon.Env, client *rpc.Client) (Directory, error)

// Role returns the role of the entry binary.
func Role(build NewDirectory) daemon.Role {
	c := &Config{}
	return daemon.Role{
		Name:     "masticwing-entry",
		Usage:    "accept callers' requests and route them to targets",
		Settings: c.Register,
		Run:      func(ctx context.Context, env daemon.Env) error { return run(ctx, c, env, build) },
	}
}

// process is a running entry.
type process struct {
	cfg    *Config
	env    daemon.Env
	dir    Directory
	entry  *Entry
	api    *httpapi.API
	server *rpc.Server
}

// status is the value of /status.
type status struct {
	State
	Traffic []port.Traffic `json:"traffic"`
}

// run serves until ctx ends and then drains. Everything that requests in
// progress need runs until they have finished.
func run(ctx context.Context, c *Config, env daemon.Env, build NewDirectory) error {
	collectLess()
	client := rpc.NewClient()
	client.Source = c.Source
	defer client.Close()
	dir, err := build(c, env, client)
	if err != nil {
		return err
	}
	server, err := rpc.NewServer(rpc.Handlers{Member: dir.Handler(), Meter: client.Meter})
	if err != nil {
		return err
	}
	e := New(Deps{
		ID: c.ID, Domain: c.Domain, MaxQueued: c.MaxQueued, Directory: dir, Agents: client,
		Clock: sysclock.Clock{}, Rand: sysclock.Rand{}, Metrics: env.Metrics,
	})
	api := httpapi.New(httpapi.Config{Memory: c.Memory, MaxBody: c.MaxBody}, e, env.Metrics)
	p := &process{cfg: c, env: env, dir: dir, entry: e, api: api, server: server}
	env.Admin.SetStatus(func() any { return status{e.State(api.BytesHeld()), dir.Traffic()} })
	return p.run(ctx)
}

func (p *process) run(ctx context.Context) error {
	rpcLis, err := net.Listen("tcp", string(p.cfg.RPC))
	if err != nil {
		return errors.Wrap(err, "listening on the rpc address")
	}
	httpLis, err := net.Listen("tcp", string(p.cfg.Listen))
	if err != nil {
		_ = rpcLis.Close()
		return errors.Wrap(err, "listening on the callers' address")
	}
	live, stop := context.WithCancel(context.WithoutCancel(ctx))
	failed := make(chan error, 4)
	var wg conc.WaitGroup
	background := func(f func() error) {
		wg.Go(func() {
			if err := f(); err != nil && live.Err() == nil {
				failed <- err
			}
		})
	}
	background(func() error { p.dir.Run(live); return nil })
	background(func() error { return p.server.Serve(live, rpcLis) })
	background(func() error { return p.api.Serve(httpLis) })
	background(func() error { p.entry.Run(live); return nil })
	background(func() error { p.followReadiness(ctx); return nil })
	background(func() error { limitMemory(live, p.cfg.Memory, p.api.IdleConnections); return nil })
	select {
	case <-ctx.Done():
		err = nil
	case err = <-failed:
	}
	p.shutDown()
	stop()
	wg.Wait()
	return err
}

// followReadiness marks the process ready once it knows a configuration, and
// never again after the stop has begun.
func (p *process) followReadiness(ctx context.Context) {
	changed, unsubscribe := p.dir.Subscribe()
	defer unsubscribe()
	look := time.NewTicker(readinessEvery)
	defer look.Stop()
	for {
		p.env.Admin.SetNotReady(cmp.Or(p.dir.NotReadyReason(), "no configuration is known yet"))
		if d, _ := p.dir.Declaration(); d != nil && ctx.Err() == nil {
			p.env.Admin.SetReady()
			p.env.Log.State("ready", logging.F("revision", d.Revision))
			break
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-look.C:
		}
	}
	<-ctx.Done()
	p.env.Admin.SetNotReady("shutting down")
}

// shutDown refuses new requests and finishes those in progress.
func (p *process) shutDown() {
	p.env.Admin.SetNotReady("shutting down")
	p.dir.UpdateSelf(func(m *port.MemberRecord) { m.State = port.MemberLeaving })
	p.env.Log.State("draining", logging.F("timeout", p.cfg.Drain.String()))
	ctx, cancel := context.WithTimeout(context.Background(), p.cfg.Drain)
	defer cancel()
	if err := p.api.Drain(ctx); err != nil {
		p.env.Log.Fault("drain time passed", err)
	}
	last, cancelLast := context.WithTimeout(context.Background(), closeTimeout)
	defer cancelLast()
	p.api.Close(last)
}
