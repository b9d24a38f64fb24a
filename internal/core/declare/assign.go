package declare

import (
	"maps"
	"slices"

	"github.com/masticwing/masticwing/internal/core/fleet"
)

// Implicit labels: vm, domain and region of a machine, and name of a group or
// model. They override declared labels with the same key, so that a machine
// cannot match a selector for another domain.
const (
	LabelVM     = "vm"
	LabelDomain = "domain"
	LabelRegion = "region"
	LabelName   = "name"
)

// Assignment is the part of a declaration that applies to one machine.
type Assignment struct {
	Group    fleet.Group
	Model    fleet.Model
	Version  fleet.Version
	Service  fleet.Service
	Limits   Limits
	Overlap  Overlap
	Fencing  Fencing
	Cordoned bool
	// Conflicts names the other groups and services that select the machine.
	// Groups take precedence over services, and within each kind the first by
	// name wins.
	Conflicts []string
}

// Labels returns all labels of m: its own, those declared for its domain, those
// declared for its VM, and the implicit ones. Later sources override earlier
// ones.
func (d *Declaration) Labels(m Machine) Labels {
	l := Labels{}
	maps.Copy(l, m.Labels)
	maps.Copy(l, d.Domains[m.Domain].Labels)
	maps.Copy(l, d.VMs[m.VM].Labels)
	l[LabelVM] = string(m.VM)
	l[LabelDomain] = string(m.Domain)
	l[LabelRegion] = string(d.Domains[m.Domain].Region)
	return l
}

// Assign returns the assignment of m. A machine runs at most one group or
// service.
func (d *Declaration) Assign(m Machine) Assignment {
	l := d.Labels(m)
	a := Assignment{Cordoned: d.Cordoned(m.Domain, m.VM)}
	assigned := false
	for _, name := range slices.Sorted(maps.Keys(d.Groups)) {
		g := d.Groups[name]
		if !g.VMs.Matches(l) {
			continue
		}
		if assigned {
			a.Conflicts = append(a.Conflicts, "group "+string(name))
			continue
		}
		assigned = true
		a.Group, a.Limits, a.Overlap, a.Fencing = name, g.Limits, g.Overlap, g.Fencing
		a.Model, a.Version, _ = d.GroupVersion(name)
	}
	for _, name := range slices.Sorted(maps.Keys(d.Services)) {
		s := d.Services[name]
		if !s.VMs.Matches(l) {
			continue
		}
		if assigned {
			a.Conflicts = append(a.Conflicts, "service "+string(name))
			continue
		}
		assigned = true
		a.Service, a.Limits = name, s.Limits
	}
	return a
}

// GroupVersion returns the model and version that the rules assign to g, or
// false if there is none.
func (d *Declaration) GroupVersion(g fleet.Group) (fleet.Model, fleet.Version, bool) {
	l := d.groupLabels(g)
	for _, r := range d.Rules {
		if !r.Groups.Matches(l) {
			continue
		}
		for _, name := range slices.Sorted(maps.Keys(d.Models)) {
			m := d.Models[name]
			if !r.Models.Matches(modelLabels(name, m)) {
				continue
			}
			if v, ok := m.Versions[r.Version]; ok {
				return name, v, true
			}
		}
	}
	return "", "", false
}

func (d *Declaration) groupLabels(g fleet.Group) Labels {
	l := Labels{}
	maps.Copy(l, d.Groups[g].Labels)
	l[LabelName] = string(g)
	return l
}

func modelLabels(name fleet.Model, m Model) Labels {
	l := Labels{}
	maps.Copy(l, m.Labels)
	l[LabelName] = string(name)
	return l
}
