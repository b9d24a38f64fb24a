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

	"github.com/masticwing/masticwing/internal/app/daemon"
	"github.com/masticwing/masticwing/internal/port"
)

// closeTimeout limits the time for sending the last bytes of finished answers.
const closeTimeout = 2 * time.Second

// readinessInterval is the interval at which the reason why the process is not
// ready is updated. The reason can change without a change of the declaration.
const readinessInterval = 500 * time.Millisecond

const (
	// gcPercent replaces the 50 of the other daemons, since an entry shares its
	// VM with no target. With 50 and a live heap of 4 MB, garbage collection took
	// a quarter of the CPU time at 1,000 requests per second.
	gcPercent = 200
	// baseMemory is the memory of an entry in addition to the bytes held for
	// callers: tables, metrics and the Go runtime. It covers everything except
	// connections and includes room for garbage, so the memory limit can be close
	// to the process's memory bound.
	baseMemory = 6 << 20
	// connectionBytes is added to the memory limit for each open connection: two
	// buffers of 4 KiB, a goroutine, and the header of the request. Without it, a
	// few thousand connections would make the collector run all the time.
	connectionBytes = 24 << 10
	// memoryLimitInterval is the interval at which the memory limit is adapted to
	// the number of connections.
	memoryLimitInterval = time.Second
)

// setGCPercent sets gcPercent, unless the environment sets another value.
func setGCPercent() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
}

// limitMemory keeps the runtime's memory limit up to date until ctx ends, unless
// the environment sets one. Near the limit, the collector runs more often than
// gcPercent implies, so that garbage does not add to the memory that is held for
// callers that do not read.
func limitMemory(ctx context.Context, held int64, connections func() int) {
	if os.Getenv("GOMEMLIMIT") != "" {
		return
	}
	ticker := time.NewTicker(memoryLimitInterval)
	defer ticker.Stop()
	for last := int64(-1); ; {
		if n := held + baseMemory + connectionBytes*int64(connections()); n != last {
			debug.SetMemoryLimit(n)
			last = n
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// Directory is the process's view of the deployment, together with the handler
// through which other processes exchange it.
type Directory interface {
	port.Directory
	// NotReadyReason returns the reason why this process is not ready, or "".
	NotReadyReason() string
	// Handler returns the handler for requests of other processes.
	Handler() port.MemberHandler
	// Traffic returns the bytes sent and received, by kind of message.
	Traffic() []port.Traffic
	// Run keeps the directory up to date until ctx ends.
	Run(ctx context.Context)
}

// CallerAPI serves the interface for callers.
type CallerAPI interface {
	// Serve accepts connections on lis until Close.
	Serve(lis net.Listener) error
	// Connections returns the number of open connections.
	Connections() int
	// BytesHeld returns the bytes held for callers.
	BytesHeld() int64
	// Drain refuses new requests and waits for those in progress, until ctx ends.
	Drain(ctx context.Context) error
	// Close sends the last bytes of finished answers, until ctx ends, and closes all connections.
	Close(ctx context.Context)
}

// Parts are the parts of an entry's process.
type Parts struct {
	Directory Directory
	Entry     *Entry
	API       CallerAPI
	// Server serves the exchange between members.
	Server port.Server
	// Close releases the connections to other processes.
	Close func()
}

// Assembler creates the parts of a process.
type Assembler func(c *Config, env daemon.Env) (Parts, error)

// Role returns the daemon role of the masticwing-entry binary.
func Role(assemble Assembler) daemon.Role {
	c := &Config{}
	return daemon.Role{
		Name:     "masticwing-entry",
		Usage:    "accept callers' requests and route them to targets",
		Settings: c.Register,
		Run:      func(ctx context.Context, env daemon.Env) error { return run(ctx, c, env, assemble) },
	}
}

// process is a running entry.
type process struct {
	Parts
	cfg *Config
	env daemon.Env
}

// status is the response to GET /status.
type status struct {
	State
	Traffic []port.Traffic `json:"traffic"`
}

// run serves until ctx ends and then drains. The components that requests in
// progress need keep running until those requests have finished.
func run(ctx context.Context, c *Config, env daemon.Env, assemble Assembler) error {
	setGCPercent()
	parts, err := assemble(c, env)
	if err != nil {
		return err
	}
	defer parts.Close()
	env.Admin.SetStatus(func() any { return status{parts.Entry.State(parts.API.BytesHeld()), parts.Directory.Traffic()} })
	p := &process{Parts: parts, cfg: c, env: env}
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
	backgroundCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	failed := make(chan error, 4)
	var wg conc.WaitGroup
	start := func(f func() error) {
		wg.Go(func() {
			if err := f(); err != nil && backgroundCtx.Err() == nil {
				failed <- err
			}
		})
	}
	start(func() error { p.Directory.Run(backgroundCtx); return nil })
	start(func() error { return p.Server.Serve(backgroundCtx, rpcLis) })
	start(func() error { return p.API.Serve(httpLis) })
	start(func() error { p.Entry.Run(backgroundCtx); return nil })
	start(func() error { p.updateReadiness(ctx); return nil })
	start(func() error { limitMemory(backgroundCtx, p.cfg.Memory, p.API.Connections); return nil })
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

// updateReadiness marks the process ready once a declaration is known, unless the
// shutdown has begun.
func (p *process) updateReadiness(ctx context.Context) {
	changed, unsubscribe := p.Directory.Subscribe()
	defer unsubscribe()
	ticker := time.NewTicker(readinessInterval)
	defer ticker.Stop()
	for {
		p.env.Admin.SetNotReady(cmp.Or(p.Directory.NotReadyReason(), "no configuration is known yet"))
		if d, _ := p.Directory.Declaration(); d != nil && ctx.Err() == nil {
			p.env.Admin.SetReady()
			p.env.Log.StateChange("ready", port.F("revision", d.Revision))
			break
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-ticker.C:
		}
	}
	<-ctx.Done()
	p.env.Admin.SetNotReady("shutting down")
}

// shutDown refuses new requests and waits for those in progress, up to the drain
// timeout.
func (p *process) shutDown() {
	p.env.Admin.SetNotReady("shutting down")
	p.Directory.UpdateSelf(func(m *port.MemberRecord) { m.State = port.MemberLeaving })
	p.env.Log.StateChange("draining", port.F("timeout", p.cfg.Drain.String()))
	ctx, cancel := context.WithTimeout(context.Background(), p.cfg.Drain)
	defer cancel()
	if err := p.API.Drain(ctx); err != nil {
		p.env.Log.Failure("drain time passed", err)
	}
	closeCtx, cancelClose := context.WithTimeout(context.Background(), closeTimeout)
	defer cancelClose()
	p.API.Close(closeCtx)
}
