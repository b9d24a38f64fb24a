package declare

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/masticwing/masticwing/internal/core/fleet"
)

// Bounds of declared values. They catch slips such as a size in the wrong
// unit; they are far above what a deployment of the design size needs.
const (
	maxShare       = 1000
	maxCount       = 100_000
	maxDeclBytes   = 1 << 36
	maxDeclaredFor = time.Hour
	versionDigits  = 64
)

// Fault is one mistake in a declaration. File is set by the adapter that knows
// where a section came from.
type Fault struct {
	File    string `json:"file"`
	Section string `json:"section"`
	Key     string `json:"key"`
	Message string `json:"message"`
}

// String returns the fault on one line.
func (f Fault) String() string {
	parts := []string{}
	if f.File != "" {
		parts = append(parts, f.File)
	}
	if f.Section != "" {
		parts = append(parts, "["+f.Section+"]")
	}
	if f.Key != "" {
		parts = append(parts, f.Key)
	}
	return strings.Join(append(parts, f.Message), ": ")
}

// checker collects faults.
type checker struct{ faults []Fault }

func (c *checker) add(section, key, format string, args ...any) {
	c.faults = append(c.faults, Fault{Section: section, Key: key, Message: fmt.Sprintf(format, args...)})
}

func (c *checker) between(section, key string, v, low, high int64) {
	if v < low || v > high {
		c.add(section, key, "must be from %d to %d, is %d", low, high, v)
	}
}

func (c *checker) duration(section, key string, v, low time.Duration) {
	if v < low || v > maxDeclaredFor {
		c.add(section, key, "must be from %v to %v, is %v", low, maxDeclaredFor, v)
	}
}

// Validate returns all faults of d, ordered by section.
func Validate(d *Declaration) []Fault {
	c := &checker{}
	for name, x := range sorted(d.Customers) {
		s := "customer " + string(name)
		c.between(s, "share", int64(x.Share), 1, maxShare)
		c.between(s, "max_queued", int64(x.MaxQueued), 1, maxCount)
		c.between(s, "max_bytes", x.MaxBytes, 1, maxDeclBytes)
	}
	for name, x := range sorted(d.Domains) {
		if x.Region == "" {
			c.add("domain "+string(name), "region", "must be set")
		}
	}
	for name, x := range sorted(d.Models) {
		c.model("model "+string(name), x)
	}
	for name, x := range sorted(d.Groups) {
		s := "group " + string(name)
		c.selector(s, "vms", x.VMs)
		c.limits(s, x.Limits)
		c.groupRules(d, name)
	}
	for name, x := range sorted(d.Services) {
		s := "service " + string(name)
		c.selector(s, "vms", x.VMs)
		c.limits(s, x.Limits)
	}
	for _, r := range d.Rules {
		c.rule(d, r)
	}
	return c.faults
}

// sorted ranges over a map in the order of its keys.
func sorted[K ~string, V any](m map[K]V) func(yield func(K, V) bool) {
	return func(yield func(K, V) bool) {
		for _, k := range slices.Sorted(maps.Keys(m)) {
			if !yield(k, m[k]) {
				return
			}
		}
	}
}

func (c *checker) model(section string, m Model) {
	for name, v := range sorted(m.Versions) {
		if !isDigest(v) {
			c.add(section, "version."+name, "must be the digest of a manifest, %d hexadecimal digits", versionDigits)
		}
	}
}

func isDigest(v fleet.Version) bool {
	if len(v) != versionDigits {
		return false
	}
	return strings.Trim(string(v), "0123456789abcdef") == ""
}

func (c *checker) selector(section, key string, s Selector) {
	if len(s) == 0 {
		c.add(section, key, "must be a selector; an empty one would match everything")
	}
}

func (c *checker) limits(s string, l Limits) {
	c.between(s, "max_requests", int64(l.MaxRequests), 1, maxCount)
	c.between(s, "max_bytes", l.MaxBytes, 1, maxDeclBytes)
	c.between(s, "cold_requests", int64(l.ColdRequests), 1, maxCount)
	if l.ColdRequests > l.MaxRequests {
		c.add(s, "cold_requests", "must not exceed max_requests, %d", l.MaxRequests)
	}
	c.duration(s, "ramp_step", l.RampStep, time.Millisecond)
	c.duration(s, "cold_first_token", l.ColdFirstToken, 0)
}

// groupRules reports a group that more than one rule selects, since the order
// of rules depends on the order of files.
func (c *checker) groupRules(d *Declaration, g fleet.Group) {
	l := d.groupLabels(g)
	var names []string
	for _, r := range d.Rules {
		if r.Groups.Matches(l) {
			names = append(names, r.Name)
		}
	}
	if len(names) > 1 {
		c.add("group "+string(g), "", "selected by several rules: %s", strings.Join(names, ", "))
	}
}

func (c *checker) rule(d *Declaration, r Rule) {
	s := "serve " + r.Name
	c.selector(s, "groups", r.Groups)
	c.selector(s, "models", r.Models)
	if r.Version == "" {
		c.add(s, "version", "must be set")
		return
	}
	var matched, having []string
	for name, m := range sorted(d.Models) {
		if !r.Models.Matches(modelLabels(name, m)) {
			continue
		}
		matched = append(matched, string(name))
		if _, ok := m.Versions[r.Version]; ok {
			having = append(having, string(name))
		}
	}
	switch {
	case len(matched) == 0:
		c.add(s, "models", "selects no model")
	case len(having) == 0:
		c.add(s, "version", "no selected model has the version %q", r.Version)
	case len(having) > 1:
		c.add(s, "models", "several selected models have the version %q: %s", r.Version, strings.Join(having, ", "))
	}
}
