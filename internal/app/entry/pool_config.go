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

// poolConfig is the part of a declaration that concerns one pool. It is immutable.
type poolConfig struct {
	decl    *declare.Declaration
	pool    routing.Pool
	version fleet.Version
	// olderVersions lists the other declared versions of the group's model, if
	// the group's overlap is keep-old. A target may serve one of them until it has
	// loaded the declared version, so that a change does not interrupt service.
	olderVersions map[fleet.Version]bool
}

// poolConfig returns the configuration of a pool under the newest declaration. It
// is computed once per declaration and cached.
func (e *Entry) poolConfig(k routing.Pool, r *port.ServeRequest) (*poolConfig, error) {
	d, _ := e.Directory.Declaration()
	if d == nil {
		return nil, verdict.New(verdict.NotRun, verdict.CodeNoConfiguration, "no configuration is known yet")
	}
	if err := checkTarget(d, r); err != nil {
		return nil, err
	}
	if pc, ok := e.poolConfigs.Get(k); ok && pc.decl == d {
		return pc, nil
	}
	pc := newPoolConfig(d, k)
	e.poolConfigs.Put(k, pc)
	return pc, nil
}

func newPoolConfig(d *declare.Declaration, k routing.Pool) *poolConfig {
	pc := &poolConfig{decl: d, pool: k}
	if k.Group == "" {
		return pc
	}
	model, version, ok := d.GroupVersion(k.Group)
	if !ok {
		return pc
	}
	pc.version = version
	if d.Groups[k.Group].Overlap == declare.KeepOld {
		pc.olderVersions = map[fleet.Version]bool{}
		for _, v := range d.Models[model].Versions {
			if v != version {
				pc.olderVersions[v] = true
			}
		}
	}
	return pc
}

// checkTarget checks that the group, or the service and call, of a request are
// declared, and that a call that runs at most once has an idempotency key.
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

// atMostOnce reports whether the request must not run more than once.
func (pc *poolConfig) atMostOnce(r *port.ServeRequest) bool {
	return r.Service != "" && pc.decl.Services[r.Service].Calls[r.Call].AtMostOnce
}

// cachedAssignment is the assignment of one agent. It is valid for one
// declaration and for one incarnation and version of the agent's member record.
type cachedAssignment struct {
	decl        *declare.Declaration
	incarnation uint64
	version     uint64
	pool        routing.Pool
	cordoned    bool
}

// agents returns the agents that may serve each pool, without those that
// are leaving, dead or cordoned.
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

func (e *Entry) assignment(d *declare.Declaration, m *port.MemberRecord) cachedAssignment {
	vm := fleet.VM(m.ID)
	a, ok := e.assignments.Get(vm)
	if ok && a.decl == d && a.incarnation == m.Incarnation && a.version == m.Version {
		return a
	}
	computed := d.Assign(declare.Machine{VM: vm, Domain: m.Domain, Labels: m.Labels})
	a = cachedAssignment{d, m.Incarnation, m.Version, routing.Pool{Group: computed.Group, Service: computed.Service}, computed.Cordoned}
	e.assignments.Put(vm, a)
	return a
}

// rankAgents returns the agents of a service in the order in which a call with an
// idempotency key tries them. The order is the same at every entry that knows the
// same members.
func (e *Entry) rankAgents(pc *poolConfig, r *port.ServeRequest) []routing.Choice {
	agents := e.agents(pc.decl)[pc.pool]
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
