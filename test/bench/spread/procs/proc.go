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

// cpu returns the CPU time that a process has used.
func cpu(pid int) (time.Duration, error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, errors.Wrap(err, "reading CPU time")
	}
	// The fields after the name, which may hold spaces, start with the state;
	// utime and stime are the 12th and 13th of them.
	const utime, stime = 11, 12
	_, rest, _ := strings.Cut(string(b), ") ")
	f := strings.Fields(rest)
	if len(f) <= stime {
		return 0, errors.New("stat of a process is too short")
	}
	u, _ := strconv.ParseInt(f[utime], 10, 64)
	s, _ := strconv.ParseInt(f[stime], 10, 64)
	return time.Duration(u+s) * time.Second / ticksPerSecond, nil
}

// CPU is the CPU time of the processes of a fleet by kind.
type CPU struct{ Agents, Entries, Engines, Standins time.Duration }

// CPU returns the CPU time used so far.
func (f *Fleet) CPU() CPU {
	sum := func(ps ...*harness.Process) (t time.Duration) {
		for _, p := range ps {
			if d, err := cpu(p.PID); err == nil {
				t += d
			}
		}
		return t
	}
	var c CPU
	for _, n := range f.Agents {
		c.Agents += sum(n.Proc)
	}
	for _, n := range f.Entries {
		c.Entries += sum(n.Proc)
	}
	c.Engines, c.Standins = sum(f.Agents[0].Target), sum(f.Origin, f.Platform)
	return c
}

// Sub returns the time used since an earlier look.
func (c CPU) Sub(o CPU) CPU {
	return CPU{c.Agents - o.Agents, c.Entries - o.Entries, c.Engines - o.Engines, c.Standins - o.Standins}
}

// MaxRSS returns the largest resident memory of an agent in bytes.
func (f *Fleet) MaxRSS() (int64, error) {
	most := int64(0)
	for _, n := range f.Agents {
		rss, err := RSS(n.Proc)
		if err != nil {
			return 0, err
		}
		most = max(most, rss)
	}
	return most, nil
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
	return 0, errors.Errorf("no resident memory of %s", p.Name)
}
