package relay

import (
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
)

// dialTimeout bounds the connection to a route's target.
const dialTimeout = 2 * time.Second

// route relays the connections of one listening address to one target. Its
// lock is the only one held at a time, and no I/O happens under it.
type route struct {
	listen, target string
	wg             conc.WaitGroup

	mu     sync.Mutex
	lis    net.Listener
	faults Faults
	// change is closed and replaced when the faults change.
	change chan struct{}
	conns  map[*pair]struct{}
	passed Counts
	// next is the time at which each direction may carry its next byte.
	next  [2]time.Time
	ended bool
}

// pair is a caller's connection and the one to the target.
type pair struct {
	caller, target net.Conn
	end            chan struct{}
	once           sync.Once
	// silent is set for good by FreezeOld; guarded by the route's lock.
	silent bool
}

func newRoute(listen, target string) *route {
	return &route{listen: listen, target: target, change: make(chan struct{}), conns: map[*pair]struct{}{}}
}

// open starts to listen.
func (r *route) open() error {
	lis, err := net.Listen("tcp", r.listen)
	if err != nil {
		return errors.Wrap(err, "listening")
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lis = lis
	r.wg.Go(func() { r.accept(lis) })
	return nil
}

func (r *route) accept(lis net.Listener) {
	for {
		c, err := lis.Accept()
		if err != nil {
			return
		}
		r.wg.Go(func() { r.connect(c) })
	}
}

func (r *route) connect(c net.Conn) {
	t, err := net.DialTimeout("tcp", r.target, dialTimeout)
	if err != nil {
		reset(c)
		return
	}
	p := &pair{caller: c, target: t, end: make(chan struct{})}
	if !r.add(p) {
		p.reset()
		return
	}
	var wg conc.WaitGroup
	wg.Go(func() { r.pump(p, toTarget) })
	wg.Go(func() { r.pump(p, toCaller) })
	wg.Wait()
	p.reset()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, p)
}

func (r *route) add(p *pair) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended || r.faults.Cut || p.from(r.faults.CutFrom) {
		return false
	}
	r.conns[p] = struct{}{}
	r.passed.Connections++
	return true
}

// setFaults applies f. A cut closes the listener and resets what is open.
func (r *route) setFaults(f Faults) error {
	r.mu.Lock()
	lis, open := r.lis, r.lis != nil
	r.faults = f
	for p := range r.conns {
		p.silent = p.silent || f.Freeze == FreezeOld
	}
	close(r.change)
	r.change = make(chan struct{})
	if f.Cut {
		r.lis = nil
	}
	r.mu.Unlock()
	r.resetFrom(f.CutFrom)
	if !f.Cut {
		if open {
			return nil
		}
		return r.open()
	}
	if open {
		_ = lis.Close()
	}
	r.resetAll()
	return nil
}

// resetFrom resets what is open from IP addresses.
func (r *route) resetFrom(ips []string) {
	for _, p := range r.pairs() {
		if p.from(ips) {
			p.reset()
		}
	}
}

func (r *route) resetAll() {
	for _, p := range r.pairs() {
		p.reset()
	}
}

// pairs returns the open connections.
func (r *route) pairs() []*pair {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Collect(maps.Keys(r.conns))
}

func (r *route) counts() Counts {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.passed
}

func (r *route) close() {
	r.mu.Lock()
	r.ended = true
	lis := r.lis
	r.lis = nil
	r.mu.Unlock()
	if lis != nil {
		_ = lis.Close()
	}
	r.resetAll()
	r.wg.Wait()
}

// from reports whether the caller's end of the connection has one of the IP
// addresses.
func (p *pair) from(ips []string) bool {
	host, _, err := net.SplitHostPort(p.caller.RemoteAddr().String())
	return err == nil && slices.Contains(ips, host)
}

func (p *pair) reset() {
	p.once.Do(func() {
		close(p.end)
		reset(p.caller)
		reset(p.target)
	})
}

// reset closes c. Unsent bytes are dropped and the peer sees a reset if the
// connection was not already closed in both directions.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}
