package harness

import (
	"context"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// Process is a child process started by a Harness.
type Process struct {
	Name string
	PID  int

	cmd  *exec.Cmd
	out  *outputBuffer
	done chan struct{}
	code int // set before done is closed
}

// Start starts a binary of ./cmd. The name identifies the process in messages.
func (h *Harness) Start(name, binary string, args ...string) (*Process, error) {
	path, err := Binary(binary)
	if err != nil {
		return nil, err
	}
	out := &outputBuffer{}
	cmd := exec.Command(path, args...)
	cmd.Stdout, cmd.Stderr = out, out
	// A separate process group keeps a Ctrl-C at the terminal from reaching the
	// children directly.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	p := &Process{Name: name, cmd: cmd, out: out, done: make(chan struct{})}
	if err := h.startAndReap(p); err != nil {
		return nil, errors.Wrapf(err, "starting %s", name)
	}
	return p, nil
}

// startAndReap starts p on the thread of spawnLoop and waits for its exit in the
// background.
func (h *Harness) startAndReap(p *Process) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return errors.New("harness is closed")
	}
	started := make(chan error, 1)
	h.spawn <- func() { started <- p.cmd.Start() }
	if err := <-started; err != nil {
		return err
	}
	p.PID = p.cmd.Process.Pid
	h.procs = append(h.procs, p)
	h.wg.Go(func() {
		_ = p.cmd.Wait()
		p.code = p.cmd.ProcessState.ExitCode()
		close(p.done)
	})
	return nil
}

// Output returns the most recent standard output and standard error of the
// process, at most maxOutput bytes.
func (p *Process) Output() string { return p.out.String() }

// Done returns a channel that is closed when the process has exited.
func (p *Process) Done() <-chan struct{} { return p.done }

// ExitCode returns the exit code, or -1 if a signal ended the process. Call it
// after Done is closed.
func (p *Process) ExitCode() int { return p.code }

// Pause sends SIGSTOP and waits until all threads have stopped, which happens
// some time after the signal is sent. The process keeps its memory and
// connections.
func (p *Process) Pause() error {
	if err := p.signal(syscall.SIGSTOP); err != nil {
		return err
	}
	// WNOWAIT leaves the wait status for cmd.Wait.
	err := unix.Waitid(unix.P_PID, p.PID, nil, unix.WSTOPPED|unix.WNOWAIT, nil)
	if err != nil && !errors.Is(err, syscall.ECHILD) { // ECHILD: the process has exited
		return errors.Wrapf(err, "waiting for %s to pause", p.Name)
	}
	return nil
}

// Resume continues a paused process with SIGCONT.
func (p *Process) Resume() error { return p.signal(syscall.SIGCONT) }

// Terminate sends SIGTERM without waiting for the exit.
func (p *Process) Terminate() error { return p.signal(syscall.SIGTERM) }

// Kill sends SIGKILL and waits for the exit.
func (p *Process) Kill() error {
	err := p.signal(syscall.SIGKILL)
	<-p.done
	return err
}

// Stop sends SIGTERM, waits for the exit and returns the exit code. After the
// timeout it kills the process and returns an error.
func (p *Process) Stop(timeout time.Duration) (int, error) {
	if err := p.Terminate(); err != nil {
		return -1, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	select {
	case <-p.done:
		return p.code, nil
	case <-ctx.Done():
		_ = p.Kill()
		return -1, errors.Errorf("%s did not exit within %v of SIGTERM", p.Name, timeout)
	}
}

// signal does nothing after the process has exited, because the kernel may
// have reused its process id.
func (p *Process) signal(s syscall.Signal) error {
	select {
	case <-p.done:
		return nil
	default:
	}
	if err := p.cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return errors.Wrapf(err, "sending %v to %s", s, p.Name)
	}
	return nil
}

// maxOutput bounds the output kept per process, in bytes.
const maxOutput = 1 << 20

// outputBuffer keeps the most recent output of a process.
type outputBuffer struct {
	mu sync.Mutex
	b  []byte
}

// Write implements io.Writer.
func (o *outputBuffer) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.b = append(o.b, p...)
	if len(o.b) > maxOutput {
		o.b = append([]byte(nil), o.b[len(o.b)-maxOutput/2:]...)
	}
	return len(p), nil
}

// String returns the buffered output.
func (o *outputBuffer) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return string(o.b)
}
