// Package harness starts the processes of a deployment for tests, benchmarks
// and the demo. Product binaries never start other processes.
//
// No process outlives its Harness: Close kills each one by process id, and the
// children have a parent-death signal, so the kernel kills them if the test
// process itself dies.
package harness

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"runtime"
	"sync"
	"syscall"
	"testing"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
)

// Harness owns the processes, loopback addresses and temporary files of one
// test.
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

// firstPort is below the kernel's ephemeral port range, so that an outgoing
// connection cannot take a port between its allocation and the start of the
// process that listens on it.
const firstPort = 20000

// New returns a harness that writes its messages to logf.
func New(logf func(format string, args ...any)) (*Harness, error) {
	dir, err := os.MkdirTemp("", "masticwing-harness-")
	if err != nil {
		return nil, errors.Wrap(err, "creating the harness directory")
	}
	h := &Harness{
		dir: dir,
		// Each harness uses its own loopback address, so that test packages
		// that run in parallel do not compete for ports.
		host:     fmt.Sprintf("127.%d.%d.1", 1+rand.IntN(254), rand.IntN(256)),
		logf:     logf,
		spawn:    make(chan func()),
		nextPort: firstPort,
	}
	h.wg.Go(h.spawnLoop)
	return h, nil
}

// ForTest returns a harness that is closed at the end of the test. If the test
// fails, the last output of each process is logged.
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

// spawnLoop starts all processes from one OS thread. The kernel sends the
// parent-death signal when the thread that started the child exits, so this
// thread must live as long as the harness.
func (h *Harness) spawnLoop() {
	runtime.LockOSThread()
	for start := range h.spawn {
		start()
	}
}

// FreeAddr returns a loopback address and port on which nothing listens.
func (h *Harness) FreeAddr() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	for {
		addr := fmt.Sprintf("%s:%d", h.host, h.nextPort)
		h.nextPort++
		if isFree(addr) {
			return addr
		}
	}
}

// isFree reports whether addr can be listened on. No process is started meanwhile, since
// it would have a copy of the socket until it executes its program.
func isFree(addr string) bool {
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	lis, err := net.Listen("tcp", addr)
	if err != nil {
		return false
	}
	return lis.Close() == nil
}

// WriteFile writes a file to the harness directory and returns its path.
func (h *Harness) WriteFile(name, text string) (string, error) {
	path := filepath.Join(h.dir, name)
	return path, errors.Wrap(os.WriteFile(path, []byte(text), 0o600), "writing a file to the harness directory")
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

// Close kills all running processes and removes the temporary files.
func (h *Harness) Close() {
	h.mu.Lock()
	wasClosed := h.closed
	h.closed = true
	h.mu.Unlock()
	if wasClosed {
		return
	}
	for _, p := range h.Processes() {
		_ = p.Kill()
	}
	close(h.spawn)
	h.wg.Wait()
	_ = os.RemoveAll(h.dir)
}
