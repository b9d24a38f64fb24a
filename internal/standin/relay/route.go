package relay

import (
	"bytes"
	"maps"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
)

// dialTimeout bounds the time to connect to a route's target.
const dialTimeout = 2 * time.Second

// route relays the connections to one listening address to one target. No other
// lock is taken and no I/O is done while its lock is held.
type route struct {
	listen, target string
	wg             conc.WaitGroup

	mu     sync.Mutex
	lis    net.Listener
	faults Faults
	// faultsChanged is closed and replaced when the faults faultsChanged.
	faultsChanged chan struct{}
	conns         map[*connPair]struct{}
	traffic       Counts
	// nextSend is the time at which each direction may carry its nextSend byte.
	nextSend [2]time.Time
	closed   bool
}

// connPair is a caller's connection and the relay's connection to the target.
type connPair struct {
	caller, target net.Conn
	done           chan struct{}
	once           sync.Once
	// frozen is set by FreezeOld and FreezeRequests and never cleared; guarded by the
	// route's lock.
	frozen bool
	// path is the path of the HTTP request that waits for its response, or empty; guarded
	// by the route's lock.
	path string
}

func newRoute(listen, target string) *route {
	return &route{listen: listen, target: target, faultsChanged: make(chan struct{}), conns: map[*connPair]struct{}{}}
}

// startListening opens the listener and accepts connections in the background.
func (r *route) startListening() error {
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
	p := &connPair{caller: c, target: t, done: make(chan struct{})}
	if !r.register(p) {
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

func (r *route) register(p *connPair) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed || r.faults.Cut || p.isFrom(r.faults.CutFrom) {
		return false
	}
	r.conns[p] = struct{}{}
	r.traffic.Connections++
	return true
}

// setFaults replaces the faults. Cut closes the listener and resets the open
// connections; without Cut, the listener is opened again if it was closed.
func (r *route) setFaults(f Faults) error {
	r.mu.Lock()
	lis, open := r.lis, r.lis != nil
	r.faults = f
	for p := range r.conns {
		p.frozen = p.frozen || f.Freeze == FreezeOld || p.requestFrozen(f)
	}
	close(r.faultsChanged)
	r.faultsChanged = make(chan struct{})
	if f.Cut {
		r.lis = nil
	}
	r.mu.Unlock()
	r.resetFrom(f.CutFrom)
	if !f.Cut {
		if open {
			return nil
		}
		return r.startListening()
	}
	if open {
		_ = lis.Close()
	}
	r.resetAll()
	return nil
}

// resetFrom resets the open connections of callers with one of the IP addresses.
func (r *route) resetFrom(ips []string) {
	for _, p := range r.pairs() {
		if p.isFrom(ips) {
			p.reset()
		}
	}
}

func (r *route) resetAll() {
	for _, p := range r.pairs() {
		p.reset()
	}
}

// pairs returns a copy of the set of open connections.
func (r *route) pairs() []*connPair {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Collect(maps.Keys(r.conns))
}

func (r *route) counts() Counts {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.traffic
}

func (r *route) close() {
	r.mu.Lock()
	r.closed = true
	lis := r.lis
	r.lis = nil
	r.mu.Unlock()
	if lis != nil {
		_ = lis.Close()
	}
	r.resetAll()
	r.wg.Wait()
}

// noteRequest records the path of the request that a segment begins, and freezes its
// connection if it has to be. Data of a response ends the request.
func (r *route) noteRequest(p *connPair, dir int, segment []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if dir == toCaller {
		p.path = ""
		return
	}
	line, _, _ := bytes.Cut(segment, []byte("\r\n"))
	if fields := bytes.Fields(line); len(fields) == 3 && bytes.HasPrefix(fields[2], []byte("HTTP/")) {
		p.path = string(fields[1])
		p.frozen = p.frozen || p.requestFrozen(r.faults)
	}
}

// requestFrozen reports whether a fault freezes the request in progress.
func (p *connPair) requestFrozen(f Faults) bool {
	return f.FreezeRequests != "" && strings.HasPrefix(p.path, f.FreezeRequests)
}

// isFrom reports whether the caller has one of the IP addresses.
func (p *connPair) isFrom(ips []string) bool {
	host, _, err := net.SplitHostPort(p.caller.RemoteAddr().String())
	return err == nil && slices.Contains(ips, host)
}

func (p *connPair) reset() {
	p.once.Do(func() {
		close(p.done)
		reset(p.caller)
		reset(p.target)
	})
}

// reset closes c and drops unsent bytes. The peer receives a TCP reset unless
// the connection was already closed in both directions.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}
