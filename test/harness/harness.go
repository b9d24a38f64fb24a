// Package harness starts the processes of a deployment for tests, benches and
// the demo. Product processes never start other processes; this package does.
//
// Everything that a Harness starts ends with it: Close kills by process id,
// and the kernel kills the children if the test process itself dies, since
// they are started with a parent-death signal.
package harness

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"runtime"
	"sync"
	"testing"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
)

// Harness owns the processes, addresses and files of one test.
type Harness struct {
	dir  string
	host string
	logf func(format string, args ...any)

	spawn chan func()
	wg    conc.WaitGroup

	mu       sync.Mutex
	procs    []*Process
	nextPort int
	closed   bool
}

// firstPort is below the kernel's range for outgoing connections, so that a
// port given out here is not taken by one of those before its process starts.
const firstPort = 20000

// New returns a harness whose messages go to logf.
func New(logf func(format string, args ...any)) (*Harness, error) {
	dir, err := os.MkdirTemp("", "masticwing-harness-")
	if err != nil {
		return nil, errors.Wrap(err, "creating the harness directory")
	}
	h := &Harness{
		dir: dir,
		// Each harness has a loopback address of its own, so that tests of
		// several packages that run at once do not race for ports.
		host:     fmt.Sprintf("127.%d.%d.1", 1+rand.IntN(254), rand.IntN(256)),
		logf:     logf,
		spawn:    make(chan func()),
		nextPort: firstPort,
	}
	h.wg.Go(h.spawnLoop)
	return h, nil
}

// ForTest returns a harness that ends with the test. If the test fails, the
// last output of each process is logged.
func ForTest(t testing.TB) *Harness {
	t.Helper()
	h, err := New(t.Logf)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if t.Failed() {
			h.DumpOutput()
		}
		h.Close()
	})
	return h
}

// spawnLoop starts all processes from one thread. The parent-death signal of a
// child is sent when the thread that started it ends, so that thread has to
// live as long as the harness.
func (h *Harness) spawnLoop() {
	runtime.LockOSThread()
	for f := range h.spawn {
		f()
	}
}

// Addr returns a loopback address that nothing listens on.
func (h *Harness) Addr() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	for {
		addr := fmt.Sprintf("%s:%d", h.host, h.nextPort)
		h.nextPort++
		lis, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		_ = lis.Close()
		return addr
	}
}

// WriteFile writes a file into the harness directory and returns its path.
func (h *Harness) WriteFile(name, text string) (string, error) {
	p := filepath.Join(h.dir, name)
	return p, errors.Wrap(os.WriteFile(p, []byte(text), 0o600), "writing a file of the harness")
}

// DumpOutput logs the last output of each process.
func (h *Harness) DumpOutput() {
	const tail = 4000
	for _, p := range h.Processes() {
		out := p.Output()
		if len(out) > tail {
			out = "..." + out[len(out)-tail:]
		}
		h.logf("--- %s (pid %d)\n%s", p.Name, p.PID, out)
	}
}

// Processes returns all processes started so far.
func (h *Harness) Processes() []*Process {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]*Process(nil), h.procs...)
}

// Close kills every process that is still running and removes the files.
func (h *Harness) Close() {
	h.mu.Lock()
	was := h.closed
	h.closed = true
	h.mu.Unlock()
	if was {
		return
	}
	for _, p := range h.Processes() {
		_ = p.Kill()
	}
	close(h.spawn)
	h.wg.Wait()
	_ = os.RemoveAll(h.dir)
}
