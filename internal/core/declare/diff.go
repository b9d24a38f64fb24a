package declare

import (
	"fmt"
	"slices"
	"strings"

	"github.com/masticwing/masticwing/internal/core/fleet"
)

// Change describes a machine whose assignment differs between two declarations.
type Change struct {
	Machine  Machine
	Old, New Assignment
}

// Diff returns the machines whose assignment changes, ordered by name. A nil
// declaration assigns nothing to any machine.
func Diff(before, after *Declaration, machines []Machine) []Change {
	var out []Change
	for _, m := range machines {
		c := Change{Machine: m, Old: assignmentOf(before, m), New: assignmentOf(after, m)}
		if !c.Old.Equal(c.New) {
			out = append(out, c)
		}
	}
	slices.SortFunc(out, func(a, b Change) int { return strings.Compare(string(a.Machine.VM), string(b.Machine.VM)) })
	return out
}

func assignmentOf(d *Declaration, m Machine) Assignment {
	if d == nil {
		return Assignment{}
	}
	return d.Assign(m)
}

// Equal reports whether a and b assign the same to a machine.
func (a Assignment) Equal(b Assignment) bool {
	return a.Group == b.Group && a.Model == b.Model && a.Version == b.Version && a.Service == b.Service &&
		a.Limits == b.Limits && a.Overlap == b.Overlap && a.Fencing == b.Fencing && a.Cordoned == b.Cordoned &&
		slices.Equal(a.Conflicts, b.Conflicts)
}

// String describes the group or service, its version, and whether it is
// cordoned.
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

// RejectionReasons returns why the change from before to after must be
// rejected: a group or service with machines in service would have none left,
// or a group with a version would have none. A group without machines before
// the change is no reason, so that it can be declared before its machines
// exist.
func RejectionReasons(before, after *Declaration, machines []Machine) []string {
	if before == nil {
		return nil
	}
	var out []string
	inServiceBefore, inServiceAfter := countInService(before, machines), countInService(after, machines)
	for name := range sortedByKey(after.Groups) {
		if inServiceBefore["group "+string(name)] > 0 && inServiceAfter["group "+string(name)] == 0 {
			out = append(out, fmt.Sprintf("group %s would have no machine in service", name))
		}
		if groupVersion(before, name) != "" && groupVersion(after, name) == "" {
			out = append(out, fmt.Sprintf("group %s would have no version", name))
		}
	}
	for name := range sortedByKey(after.Services) {
		if inServiceBefore["service "+string(name)] > 0 && inServiceAfter["service "+string(name)] == 0 {
			out = append(out, fmt.Sprintf("service %s would have no machine in service", name))
		}
	}
	return out
}

func groupVersion(d *Declaration, g fleet.Group) fleet.Version {
	if _, ok := d.Groups[g]; !ok {
		return ""
	}
	_, v, _ := d.GroupVersion(g)
	return v
}

// countInService counts, for each group and service, the machines that are not
// cordoned.
func countInService(d *Declaration, machines []Machine) map[string]int {
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
