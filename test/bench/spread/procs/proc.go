package procs

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/masticwing/masticwing/test/harness"
)

// ticksPerSecond is the unit of CPU times in /proc.
const ticksPerSecond = 100

// cpuTime returns the CPU time that a process has used.
func cpuTime(pid int) (time.Duration, error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, errors.Wrap(err, "reading CPU time")
	}
	// The process name may contain spaces, so the fields are counted from the
	// state, which follows the name: utime and stime are the 12th and 13th.
	const utime, stime = 11, 12
	_, rest, _ := strings.Cut(string(b), ") ")
	fields := strings.Fields(rest)
	if len(fields) <= stime {
		return 0, errors.New("too few fields in /proc/PID/stat")
	}
	user, _ := strconv.ParseInt(fields[utime], 10, 64)
	system, _ := strconv.ParseInt(fields[stime], 10, 64)
	return time.Duration(user+system) * time.Second / ticksPerSecond, nil
}

// CPUTime is the CPU time of a fleet by kind of process.
type CPUTime struct{ Agents, Entries, Engines, Standins time.Duration }

// CPUTime returns the CPU time that the fleet has used so far.
func (f *Fleet) CPUTime() CPUTime {
	sum := func(ps ...*harness.Process) (t time.Duration) {
		for _, p := range ps {
			if d, err := cpuTime(p.PID); err == nil {
				t += d
			}
		}
		return t
	}
	var c CPUTime
	for _, n := range f.Agents {
		c.Agents += sum(n.Proc)
	}
	for _, n := range f.Entries {
		c.Entries += sum(n.Proc)
	}
	c.Engines, c.Standins = sum(f.Agents[0].Target), sum(f.Origin, f.Platform)
	return c
}

// Sub returns the time used since an earlier reading.
func (c CPUTime) Sub(earlier CPUTime) CPUTime {
	return CPUTime{
		c.Agents - earlier.Agents, c.Entries - earlier.Entries, c.Engines - earlier.Engines, c.Standins - earlier.Standins,
	}
}

// MaxRSS returns the resident memory in bytes of the agent with the most.
func (f *Fleet) MaxRSS() (int64, error) {
	largest := int64(0)
	for _, n := range f.Agents {
		rss, err := RSS(n.Proc)
		if err != nil {
			return 0, err
		}
		largest = max(largest, rss)
	}
	return largest, nil
}

// RSS returns the resident memory of a process in bytes.
func RSS(p *harness.Process) (int64, error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.PID))
	if err != nil {
		return 0, errors.Wrap(err, "reading resident memory")
	}
	for line := range strings.Lines(string(b)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kib, err := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			return kib << 10, errors.Wrap(err, "parsing resident memory")
		}
	}
	return 0, errors.Errorf("no VmRSS in /proc/PID/status of %s", p.Name)
}
