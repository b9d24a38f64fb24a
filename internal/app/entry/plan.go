package entry

import (
	"slices"

	"github.com/masticwing/masticwing/internal/core/declare"
	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/ledger"
	"github.com/masticwing/masticwing/internal/core/routing"
	"github.com/masticwing/masticwing/internal/core/verdict"
	"github.com/masticwing/masticwing/internal/port"
)

func poolOf(r *port.ServeRequest) routing.Pool {
	return routing.Pool{Group: r.Group, Service: r.Service}
}

// plan is what one declaration says of a pool. It is immutable.
type plan struct {
	decl    *declare.Declaration
	pool    routing.Pool
	version fleet.Version
	// older lists the other declared versions of the group's model. With
	// overlap keep-old a target may serve one of them until it has loaded the
	// declared one, so that a change does not interrupt service.
	older map[fleet.Version]bool
}

// plan returns the plan of a pool for the newest declaration. It is derived
// once per declaration.
func (e *Entry) plan(k routing.Pool, r *port.ServeRequest) (*plan, error) {
	d, _ := e.Directory.Declaration()
	if d == nil {
		return nil, verdict.New(verdict.NotRun, verdict.CodeNoConfiguration, "no configuration is known yet")
	}
	if err := checkTarget(d, r); err != nil {
		return nil, err
	}
	if p, ok := e.plans.Get(k); ok && p.decl == d {
		return p, nil
	}
	p := newPlan(d, k)
	e.plans.Put(k, p)
	return p, nil
}

func newPlan(d *declare.Declaration, k routing.Pool) *plan {
	p := &plan{decl: d, pool: k}
	if k.Group == "" {
		return p
	}
	model, version, ok := d.GroupVersion(k.Group)
	if !ok {
		return p
	}
	p.version = version
	if d.Groups[k.Group].Overlap == declare.KeepOld {
		p.older = map[fleet.Version]bool{}
		for _, v := range d.Models[model].Versions {
			if v != version {
				p.older[v] = true
			}
		}
	}
	return p
}

// checkTarget checks the names of a request against the declaration.
func checkTarget(d *declare.Declaration, r *port.ServeRequest) error {
	if r.Group != "" {
		if _, ok := d.Groups[r.Group]; !ok {
			return verdict.New(verdict.NotRun, verdict.CodeUnknownGroup, "group is not declared")
		}
		return nil
	}
	s, ok := d.Services[r.Service]
	if !ok {
		return verdict.New(verdict.NotRun, verdict.CodeUnknownService, "service is not declared")
	}
	call, ok := s.Calls[r.Call]
	if !ok {
		return verdict.New(verdict.NotRun, verdict.CodeUnknownService, "call is not declared for the service")
	}
	if call.AtMostOnce && r.IdempotencyKey == "" {
		return verdict.New(verdict.NotRun, verdict.CodeKeyRequired, "this call needs an Idempotency-Key, a UUID of version 7")
	}
	return nil
}

// once reports whether the request may run at most once.
func (p *plan) once(r *port.ServeRequest) bool {
	return r.Service != "" && p.decl.Services[r.Service].Calls[r.Call].AtMostOnce
}

// assigned caches the assignment of one agent.
type assigned struct {
	decl        *declare.Declaration
	incarnation uint64
	version     uint64
	pool        routing.Pool
	cordoned    bool
}

// agents returns the agents that may serve each pool, without those that are
// leaving or out of service.
func (e *Entry) agents(d *declare.Declaration) map[routing.Pool][]routing.Agent {
	out := map[routing.Pool][]routing.Agent{}
	for _, m := range e.Directory.Members(fleet.KindAgent) {
		if m.State == port.MemberLeaving || m.State == port.MemberDead {
			continue
		}
		a := e.assignment(d, &m)
		if a.cordoned || a.pool == (routing.Pool{}) {
			continue
		}
		out[a.pool] = append(out[a.pool], routing.Agent{VM: fleet.VM(m.ID), Domain: m.Domain, Address: m.Address})
	}
	return out
}

func (e *Entry) assignment(d *declare.Declaration, m *port.MemberRecord) assigned {
	vm := fleet.VM(m.ID)
	a, ok := e.assign.Get(vm)
	if ok && a.decl == d && a.incarnation == m.Incarnation && a.version == m.Version {
		return a
	}
	x := d.Assign(declare.Machine{VM: vm, Domain: m.Domain, Labels: m.Labels})
	a = assigned{d, m.Incarnation, m.Version, routing.Pool{Group: x.Group, Service: x.Service}, x.Cordoned}
	e.assign.Put(vm, a)
	return a
}

// onceOrder returns the agents of a service in the order in which a keyed call
// tries them. It is the same at every entry with the same members.
func (e *Entry) onceOrder(p *plan, r *port.ServeRequest) []routing.Choice {
	agents := e.agents(p.decl)[p.pool]
	byID := make(map[string]routing.Agent, len(agents))
	ids := make([]string, 0, len(agents))
	for _, a := range agents {
		byID[string(a.VM)] = a
		ids = append(ids, string(a.VM))
	}
	slices.Sort(ids)
	key := routing.LedgerPartitionKey(r.Service, ledger.Partition(r.Customer, r.IdempotencyKey))
	out := make([]routing.Choice, 0, len(ids))
	for _, id := range routing.RendezvousRank(key, ids) {
		out = append(out, routing.Choice{VM: byID[id].VM, Address: byID[id].Address})
	}
	return out
}
