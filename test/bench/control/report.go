package main

import (
	"fmt"
	"math"
)

// The bounds of one process, from the design.
const (
	cpuBound   = 2.8  // percent of a core
	rssBound   = 32   // MiB
	bytesBound = 3000 // per second, sent and received
)

// Roles of processes. A reader is an entry that watches the platform.
const (
	roleEntry  = "entry"
	roleReader = "entry_reader"
	roleAgent  = "agent"
)

var roles = []string{roleEntry, roleReader, roleAgent}

// sample holds the figures of a fleet of one size.
type sample struct {
	size
	calls float64 // to the platform, per second
	roles map[string]figures
}

// figures are the means over the processes of one role at 2,300 changes a day, and
// the parts that they are computed from. Bytes are per second unless the name says
// per change.
type figures struct {
	cpu, rss, rssMax, bytes       float64
	exchange, status, steady      float64
	platformBytes, bytesPerChange float64
	cpuPerChange                  float64 // in hundredths of a second
	processes                     float64
}

// summarize combines a window without changes and one with windowChanges changes.
func (f *fleet) summarize(steady, withChanges window) sample {
	out := sample{size: f.size, calls: steady.calls, roles: map[string]figures{}}
	for _, n := range f.d.Nodes() {
		s, c := steady.usages[n.Name], withChanges.usages[n.Name]
		role := roleAgent
		switch {
		case n.IsEntry && s.bytes[kindPlatform] > 0:
			role = roleReader
		case n.IsEntry:
			role = roleEntry
		}
		total := func(u usage) float64 { return u.bytes[kindAll] + u.bytes[kindPlatform] }
		g := out.roles[role]
		g.processes++
		g.steady += total(s)
		g.bytesPerChange += (total(c) - total(s)) * withChanges.seconds / windowChanges
		g.cpuPerChange += (c.cpuPercent - s.cpuPercent) * withChanges.seconds / windowChanges
		g.cpu += s.cpuPercent
		g.rss += c.rssMiB
		g.rssMax = max(g.rssMax, c.rssMiB)
		g.exchange += s.bytes[kindExchange]
		g.status += s.bytes[kindStatus]
		g.platformBytes += s.bytes[kindPlatform]
		out.roles[role] = g
	}
	for role, g := range out.roles {
		out.roles[role] = g.means()
	}
	return out
}

// means divides the sums by the number of processes and adds the share of changes.
func (g figures) means() figures {
	for _, p := range []*float64{
		&g.cpu, &g.rss, &g.exchange, &g.status, &g.steady, &g.platformBytes, &g.bytesPerChange, &g.cpuPerChange,
	} {
		*p /= g.processes
	}
	g.bytes = g.steady + g.bytesPerChange/changeInterval
	g.cpu += g.cpuPerChange / changeInterval
	return g
}

// report prints figures and records whether one missed its bound.
type report struct{ missed bool }

// printBounded prints a figure whose bound is the highest allowed value.
func (r *report) printBounded(name string, v float64, unit string, bound float64) {
	state := "ok"
	if v > bound || math.IsNaN(v) {
		state, r.missed = "MISSED", true
	}
	fmt.Printf("%s %.2f %s %g %s\n", name, v, unit, bound, state)
}

// printUnbounded prints a figure without a bound.
func (r *report) printUnbounded(name string, v float64, unit string) {
	fmt.Printf("%s %.4g %s - ok\n", name, v, unit)
}

func (r *report) printSample(s sample) {
	fmt.Printf("# %d entries, %d agents, %d failure domains\n", s.entries, s.agents, len(domainNames))
	for _, role := range roles {
		g, at := s.roles[role], fmt.Sprintf(".%s.%d", role, s.processes())
		r.printBounded("control.cpu_percent"+at, g.cpu, "%", cpuBound)
		r.printBounded("control.rss_mib"+at, g.rss, "MiB", rssBound)
		r.printBounded("control.bytes_per_second"+at, g.bytes, "B/s", bytesBound)
		r.printUnbounded("control.rss_max_mib"+at, g.rssMax, "MiB")
		r.printUnbounded("control.exchange_bytes_per_second"+at, g.exchange, "B/s")
		r.printUnbounded("control.status_bytes_per_second"+at, g.status, "B/s")
		r.printUnbounded("control.platform_bytes_per_second"+at, g.platformBytes, "B/s")
		r.printUnbounded("control.bytes_per_change"+at, g.bytesPerChange, "B")
		r.printUnbounded("control.cpu_ms_per_change"+at, g.cpuPerChange*10, "ms")
	}
	r.printUnbounded(fmt.Sprintf("control.platform_calls_per_second.%d_%d", s.entries, s.agents), s.calls, "1/s")
}

// callsSlopeBound allows for the noise of a window: one call in the window per
// hundred processes.
const callsSlopeBound = 0.01

// printPlatform prints the slopes of the calls to the platform, whose number must
// not grow with the processes in a failure domain.
func (r *report) printPlatform(samples []sample, skewed sample) {
	r.printUnbounded(fmt.Sprintf("control.platform_calls_per_second.%d_%d", skewed.entries, skewed.agents), skewed.calls, "1/s")
	perEntry, perAgent := fitPlane(append(append([]sample(nil), samples...), skewed))
	r.printBounded("control.platform_calls_per_second_per_entry", perEntry, "1/s", callsSlopeBound)
	r.printBounded("control.platform_calls_per_second_per_agent", perAgent, "1/s", callsSlopeBound)
}

// printExtrapolation prints the slopes of the figures per process of the fleet, and
// the values at the design size.
func (r *report) printExtrapolation(samples []sample) {
	for _, role := range roles {
		r.printFit(samples, role, "control.cpu_percent", "%", cpuBound, func(g figures) float64 { return g.cpu })
		r.printFit(samples, role, "control.rss_mib", "MiB", rssBound, func(g figures) float64 { return g.rss })
		r.printFit(samples, role, "control.bytes_per_second", "B/s", bytesBound, func(g figures) float64 { return g.bytes })
	}
}

func (r *report) printFit(samples []sample, role, name, unit string, bound float64, get func(figures) float64) {
	var xs, ys []float64
	for _, s := range samples {
		xs, ys = append(xs, float64(s.processes())), append(ys, get(s.roles[role]))
	}
	slope, intercept := fitLine(xs, ys)
	r.printUnbounded(name+"_slope."+role, slope*1000, unit+"/1000_processes")
	r.printBounded(name+"_design."+role, intercept+slope*float64(designSize.processes()), unit, bound)
}
