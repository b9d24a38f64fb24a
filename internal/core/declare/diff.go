package declare

import (
	"fmt"
	"slices"
	"strings"

	"github.com/masticwing/masticwing/internal/core/fleet"
)

// Change is a machine whose assignment differs between two declarations.
type Change struct {
	Machine  Machine
	Old, New Assignment
}

// Diff returns the machines whose assignment changes, ordered by name. A nil
// declaration assigns nothing.
func Diff(before, after *Declaration, machines []Machine) []Change {
	var out []Change
	for _, m := range machines {
		c := Change{Machine: m, Old: assignOrNone(before, m), New: assignOrNone(after, m)}
		if !c.Old.Equal(c.New) {
			out = append(out, c)
		}
	}
	slices.SortFunc(out, func(a, b Change) int { return strings.Compare(string(a.Machine.VM), string(b.Machine.VM)) })
	return out
}

func assignOrNone(d *Declaration, m Machine) Assignment {
	if d == nil {
		return Assignment{}
	}
	return d.Assign(m)
}

// Equal reports whether a and b ask the same of a machine.
func (a Assignment) Equal(b Assignment) bool {
	return a.Group == b.Group && a.Model == b.Model && a.Version == b.Version && a.Service == b.Service &&
		a.Limits == b.Limits && a.Overlap == b.Overlap && a.Fencing == b.Fencing && a.Cordoned == b.Cordoned &&
		slices.Equal(a.Conflicts, b.Conflicts)
}

// String names the work and its version.
func (a Assignment) String() string {
	s := "nothing"
	switch {
	case a.Group != "" && a.Version == "":
		s = fmt.Sprintf("group %s without a version", a.Group)
	case a.Group != "":
		s = fmt.Sprintf("group %s, model %s, version %.12s", a.Group, a.Model, a.Version)
	case a.Service != "":
		s = "service " + string(a.Service)
	}
	if a.Cordoned {
		s += ", cordoned"
	}
	return s
}

// RejectionReasons returns why the change from before to after must not be applied: a
// group or service that has machines in service would have none, or a group
// that has a version would have none. A group that had no machine before is no
// reason, so that a group can be declared before its machines exist.
func RejectionReasons(before, after *Declaration, machines []Machine) []string {
	if before == nil {
		return nil
	}
	var out []string
	was, is := inService(before, machines), inService(after, machines)
	for name := range sorted(after.Groups) {
		if was["group "+string(name)] > 0 && is["group "+string(name)] == 0 {
			out = append(out, fmt.Sprintf("group %s would have no machine in service", name))
		}
		if versionOf(before, name) != "" && versionOf(after, name) == "" {
			out = append(out, fmt.Sprintf("group %s would have no version", name))
		}
	}
	for name := range sorted(after.Services) {
		if was["service "+string(name)] > 0 && is["service "+string(name)] == 0 {
			out = append(out, fmt.Sprintf("service %s would have no machine in service", name))
		}
	}
	return out
}

func versionOf(d *Declaration, g fleet.Group) fleet.Version {
	if _, ok := d.Groups[g]; !ok {
		return ""
	}
	_, v, _ := d.GroupVersion(g)
	return v
}

// inService counts the machines that are not cordoned for each group and
// service.
func inService(d *Declaration, machines []Machine) map[string]int {
	n := map[string]int{}
	for _, m := range machines {
		a := d.Assign(m)
		switch {
		case a.Cordoned:
		case a.Group != "":
			n["group "+string(a.Group)]++
		case a.Service != "":
			n["service "+string(a.Service)]++
		}
	}
	return n
}
