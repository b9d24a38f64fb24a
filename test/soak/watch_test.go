package soak

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"strconv"
	"time"

	"github.com/masticwing/masticwing/test/harness"
)

// stallTime is how late a look at the processes has to be to count as a disturbance of the
// store. The stand-in of the store runs in the test process, so it responds late as well.
const stallTime = 500 * time.Millisecond

// watchInterval is the time between two looks at the processes. The kernel keeps the
// peak of the memory use, so that growth between two looks is seen too.
const watchInterval = 100 * time.Millisecond

// watchProcesses records a violation for each process that ends without the test having
// ended it, and for each one that exceeds its memory limit, until ctx is done. It records
// the times in which the test process itself does not run.
func (f *fleet) watchProcesses(ctx context.Context) {
	reported := map[*harness.Process]bool{}
	last := time.Now()
	for {
		if now := time.Now(); now.Sub(last) > watchInterval+stallTime {
			f.history.add(disturbance{storeResource, last, now})
		}
		last = time.Now()
		for _, p := range f.processes() {
			r, text := p.check()
			if text != "" && !reported[r] {
				reported[r] = true
				f.recorder.RecordViolation("%s", text)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(watchInterval):
		}
	}
}

// expectEnd returns the handle of the process, whose end is no violation from now on.
func (p *process) expectEnd() *harness.Process {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.endExpected = true
	return p.running
}

// check returns the handle of the process and what is wrong with it, or an empty
// string.
func (p *process) check() (*harness.Process, string) {
	r := p.current()
	peakMiB, known := readPeakMiB(r.PID)
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-r.Done():
		if p.running == r && !p.endExpected {
			return r, fmt.Sprintf("%s ended by itself with exit code %d", p.name, r.ExitCode())
		}
		return r, ""
	default:
	}
	if !known {
		return r, ""
	}
	p.peakMiB = max(p.peakMiB, peakMiB)
	if peakMiB > p.memoryMiB {
		return r, fmt.Sprintf("%s uses %d MiB of memory; its limit is %d MiB", p.name, peakMiB, p.memoryMiB)
	}
	return r, ""
}

// readPeakMiB returns the highest memory use of a process so far. It returns false if
// the process has ended.
func readPeakMiB(pid int) (int, bool) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, false
	}
	_, rest, found := bytes.Cut(status, []byte("VmHWM:"))
	fields := bytes.Fields(rest)
	if !found || len(fields) == 0 {
		return 0, false
	}
	kib, err := strconv.Atoi(string(fields[0]))
	return kib >> 10, err == nil
}

// peakMemory returns the highest memory use of each process in MiB.
func (f *fleet) peakMemory() map[string]int {
	out := map[string]int{}
	for _, p := range f.processes() {
		p.mu.Lock()
		out[p.name] = p.peakMiB
		p.mu.Unlock()
	}
	return out
}
