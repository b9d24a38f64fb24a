package declare

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/masticwing/masticwing/internal/core/fleet"
)

// Upper bounds of declared values. They catch mistakes such as a size in the
// wrong unit and are far above what a deployment of the design size needs.
const (
	maxShare     = 1000
	maxCount     = 100_000
	maxBytes     = 1 << 36
	maxDuration  = time.Hour
	digestDigits = 64
)

// Fault is one error in a declaration. File is set by the adapter that knows
// from which file the section came.
type Fault struct {
	File    string `json:"file"`
	Section string `json:"section"`
	Key     string `json:"key"`
	Message string `json:"message"`
}

// String returns the fault as one line of text.
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

// checker collects the faults of a declaration.
type checker struct{ faults []Fault }

func (c *checker) addFault(section, key, format string, args ...any) {
	c.faults = append(c.faults, Fault{Section: section, Key: key, Message: fmt.Sprintf(format, args...)})
}

func (c *checker) checkRange(section, key string, v, low, high int64) {
	if v < low || v > high {
		c.addFault(section, key, "must be from %d to %d, is %d", low, high, v)
	}
}

func (c *checker) checkDuration(section, key string, v, low time.Duration) {
	if v < low || v > maxDuration {
		c.addFault(section, key, "must be from %v to %v, is %v", low, maxDuration, v)
	}
}

// Validate returns all faults of d, ordered by section.
func Validate(d *Declaration) []Fault {
	c := &checker{}
	for name, x := range sortedByKey(d.Customers) {
		s := "customer " + string(name)
		c.checkRange(s, "share", int64(x.Share), 1, maxShare)
		c.checkRange(s, "max_queued", int64(x.MaxQueued), 1, maxCount)
		c.checkRange(s, "max_bytes", x.MaxBytes, 1, maxBytes)
	}
	for name, x := range sortedByKey(d.Domains) {
		if x.Region == "" {
			c.addFault("domain "+string(name), "region", "must be set")
		}
	}
	for name, x := range sortedByKey(d.Models) {
		c.checkVersions("model "+string(name), x)
	}
	for name, x := range sortedByKey(d.Groups) {
		s := "group " + string(name)
		c.checkSelector(s, "vms", x.VMs)
		c.checkLimits(s, x.Limits)
		c.checkGroupRules(d, name)
	}
	for name, x := range sortedByKey(d.Services) {
		s := "service " + string(name)
		c.checkSelector(s, "vms", x.VMs)
		c.checkLimits(s, x.Limits)
	}
	for _, r := range d.Rules {
		c.checkRule(d, r)
	}
	return c.faults
}

// sortedByKey iterates over m in the order of its keys.
func sortedByKey[K ~string, V any](m map[K]V) func(yield func(K, V) bool) {
	return func(yield func(K, V) bool) {
		for _, k := range slices.Sorted(maps.Keys(m)) {
			if !yield(k, m[k]) {
				return
			}
		}
	}
}

func (c *checker) checkVersions(section string, m Model) {
	for name, v := range sortedByKey(m.Versions) {
		if !isDigest(v) {
			c.addFault(section, "version."+name, "must be the digest of a manifest, %d hexadecimal digits", digestDigits)
		}
	}
}

func isDigest(v fleet.Version) bool {
	if len(v) != digestDigits {
		return false
	}
	return strings.Trim(string(v), "0123456789abcdef") == ""
}

func (c *checker) checkSelector(section, key string, s Selector) {
	if len(s) == 0 {
		c.addFault(section, key, "must be a selector; an empty one would match everything")
	}
}

func (c *checker) checkLimits(s string, l Limits) {
	c.checkRange(s, "max_requests", int64(l.MaxRequests), 1, maxCount)
	c.checkRange(s, "max_bytes", l.MaxBytes, 1, maxBytes)
	c.checkRange(s, "cold_requests", int64(l.ColdRequests), 1, maxCount)
	if l.ColdRequests > l.MaxRequests {
		c.addFault(s, "cold_requests", "must not exceed max_requests, %d", l.MaxRequests)
	}
	c.checkDuration(s, "ramp_step", l.RampStep, time.Millisecond)
	c.checkDuration(s, "cold_first_token", l.ColdFirstToken, 0)
}

// checkGroupRules reports a group that several rules select. Which of them
// applied would depend on the order of the files.
func (c *checker) checkGroupRules(d *Declaration, g fleet.Group) {
	l := d.groupLabels(g)
	var names []string
	for _, r := range d.Rules {
		if r.Groups.Matches(l) {
			names = append(names, r.Name)
		}
	}
	if len(names) > 1 {
		c.addFault("group "+string(g), "", "selected by several rules: %s", strings.Join(names, ", "))
	}
}

func (c *checker) checkRule(d *Declaration, r Rule) {
	s := "serve " + r.Name
	c.checkSelector(s, "groups", r.Groups)
	c.checkSelector(s, "models", r.Models)
	if r.Version == "" {
		c.addFault(s, "version", "must be set")
		return
	}
	var matched, withVersion []string
	for name, m := range sortedByKey(d.Models) {
		if !r.Models.Matches(modelLabels(name, m)) {
			continue
		}
		matched = append(matched, string(name))
		if _, ok := m.Versions[r.Version]; ok {
			withVersion = append(withVersion, string(name))
		}
	}
	switch {
	case len(matched) == 0:
		c.addFault(s, "models", "selects no model")
	case len(withVersion) == 0:
		c.addFault(s, "version", "no selected model has the version %q", r.Version)
	case len(withVersion) > 1:
		c.addFault(s, "models", "several selected models have the version %q: %s", r.Version, strings.Join(withVersion, ", "))
	}
}
