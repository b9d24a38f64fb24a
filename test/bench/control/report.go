package main

import (
	"fmt"
	"math"
)

// The design's bounds of one process.
const (
	cpuBound   = 2.8  // percent of a core
	rssBound   = 32   // MiB
	bytesBound = 3000 // per second, both ways together
)

// Roles. A reader is an entry that watches the platform.
const (
	roleEntry  = "entry"
	roleReader = "entry_reader"
	roleAgent  = "agent"
)

var roles = []string{roleEntry, roleReader, roleAgent}

// sample holds the means of each role at one size.
type sample struct {
	size
	calls float64 // of the platform per second
	roles map[string]figures
}

// figures are the means of one role at 2,300 changes a day, with what they
// consist of.
type figures struct {
	cpu, rss, rssMax, bytes   float64
	exchange, status, steady  float64
	platformBytes, perChangeB float64
	perChangeCPU              float64 // in hundredths of a second
	n                         float64
}

// sample combines a window without changes and one with costChanges changes.
func (f *fleet) sample(steady, changing window) sample {
	out := sample{size: f.size, calls: steady.calls, roles: map[string]figures{}}
	for _, n := range f.d.Nodes() {
		s, c := steady.uses[n.Name], changing.uses[n.Name]
		role := roleAgent
		switch {
		case n.IsEntry && s.bytes[kindPlatform] > 0:
			role = roleReader
		case n.IsEntry:
			role = roleEntry
		}
		total := func(u use) float64 { return u.bytes[kindAll] + u.bytes[kindPlatform] }
		g := out.roles[role]
		g.n++
		g.steady += total(s)
		g.perChangeB += (total(c) - total(s)) * changing.seconds / costChanges
		g.perChangeCPU += (c.cpuPercent - s.cpuPercent) * changing.seconds / costChanges
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

func (g figures) means() figures {
	for _, p := range []*float64{
		&g.cpu, &g.rss, &g.exchange, &g.status, &g.steady, &g.platformBytes, &g.perChangeB, &g.perChangeCPU,
	} {
		*p /= g.n
	}
	g.bytes = g.steady + g.perChangeB/changeEvery
	g.cpu += g.perChangeCPU / changeEvery
	return g
}

// report prints lines.
type report struct{ missed bool }

func (r *report) line(name string, v float64, unit string, bound float64) {
	state := "ok"
	if v > bound || math.IsNaN(v) {
		state, r.missed = "MISSED", true
	}
	fmt.Printf("%s %.2f %s %g %s\n", name, v, unit, bound, state)
}

// info prints a figure without a bound.
func (r *report) info(name string, v float64, unit string) {
	fmt.Printf("%s %.4g %s - ok\n", name, v, unit)
}

func (r *report) sample(s sample) {
	fmt.Printf("# %d entries, %d agents, %d failure domains\n", s.entries, s.agents, len(domains))
	for _, role := range roles {
		g, at := s.roles[role], fmt.Sprintf(".%s.%d", role, s.processes())
		r.line("control.cpu_percent"+at, g.cpu, "%", cpuBound)
		r.line("control.rss_mib"+at, g.rss, "MiB", rssBound)
		r.line("control.bytes_per_second"+at, g.bytes, "B/s", bytesBound)
		r.info("control.rss_max_mib"+at, g.rssMax, "MiB")
		r.info("control.exchange_bytes_per_second"+at, g.exchange, "B/s")
		r.info("control.status_bytes_per_second"+at, g.status, "B/s")
		r.info("control.platform_bytes_per_second"+at, g.platformBytes, "B/s")
		r.info("control.bytes_per_change"+at, g.perChangeB, "B")
		r.info("control.cpu_ms_per_change"+at, g.perChangeCPU*10, "ms")
	}
	r.info(fmt.Sprintf("control.platform_calls_per_second.%d_%d", s.entries, s.agents), s.calls, "1/s")
}

// callsSlopeBound allows for the noise of a window: one call in it per hundred
// processes.
const callsSlopeBound = 0.01

// platform prints the slopes of the platform's calls, which must not grow with
// the processes in a failure domain.
func (r *report) platform(all []sample, skewed sample) {
	r.info(fmt.Sprintf("control.platform_calls_per_second.%d_%d", skewed.entries, skewed.agents), skewed.calls, "1/s")
	perEntry, perAgent := plane(append(append([]sample(nil), all...), skewed))
	r.line("control.platform_calls_per_second_per_entry", perEntry, "1/s", callsSlopeBound)
	r.line("control.platform_calls_per_second_per_agent", perAgent, "1/s", callsSlopeBound)
}

// extrapolate prints slopes in the number of processes and the value at the
// design size.
func (r *report) extrapolate(all []sample) {
	for _, role := range roles {
		r.fit(all, role, "control.cpu_percent", "%", cpuBound, func(g figures) float64 { return g.cpu })
		r.fit(all, role, "control.rss_mib", "MiB", rssBound, func(g figures) float64 { return g.rss })
		r.fit(all, role, "control.bytes_per_second", "B/s", bytesBound, func(g figures) float64 { return g.bytes })
	}
}

func (r *report) fit(all []sample, role, name, unit string, bound float64, get func(figures) float64) {
	var xs, ys []float64
	for _, s := range all {
		xs, ys = append(xs, float64(s.processes())), append(ys, get(s.roles[role]))
	}
	slope, at0 := straight(xs, ys)
	r.info(name+"_slope."+role, slope*1000, unit+"/1000_processes")
	r.line(name+"_design."+role, at0+slope*float64(design.processes()), unit, bound)
}
