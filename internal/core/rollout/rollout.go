// Package rollout decides which versions an agent holds, which one its engine
// serves, and which order the engine gets next.
//
// A Machine is driven by what is known: the assignment, the versions that are
// complete in memory, the versions that the engine reports, and the requests
// still pinned to each. The next action follows from that alone, so a change
// in mid-flight or an engine that restarts needs no special path.
package rollout

import (
	"slices"

	"github.com/masticwing/masticwing/internal/core/declare"
	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/shard"
)

// State is the state of one version on one agent.
type State uint8

// The states of a version.
const (
	// Absent means that the version is neither held nor wanted.
	Absent State = iota
	// Fetching means that chunks are missing.
	Fetching
	// Complete means that all chunks are verified and in memory.
	Complete
	// Loading means that the engine has the order to load the version.
	Loading
	// Serving means that new requests are pinned to the version.
	Serving
	// Retiring means that the engine holds the version and no new request is
	// pinned to it.
	Retiring
)

// String returns the name shown in status.
func (s State) String() string {
	names := [...]string{"absent", "fetching", "complete", "loading", "serving", "retiring"}
	if int(s) < len(names) {
		return names[s]
	}
	return "unknown"
}

// Ref names a version of a model.
type Ref struct {
	Model   fleet.Model
	Version fleet.Version
}

// Kind is the kind of an Action.
type Kind uint8

// The kinds of actions.
const (
	// Wait means that nothing can be done until the next event.
	Wait Kind = iota
	// Load orders the engine to load a version.
	Load
	// Unload orders the engine to release a version.
	Unload
)

// Action is the next order for the engine.
type Action struct {
	Kind Kind
	Ref  Ref
}

// Plan is what follows from a Machine.
type Plan struct {
	// Want lists the versions to hold in memory, most important first.
	Want []Ref
	// Serving is the version that new requests are pinned to, or empty.
	Serving Ref
	// Next is the next order for the engine.
	Next Action
}

// Machine is the state of the versions of one agent. It is a plain value.
type Machine struct {
	target  Ref
	overlap declare.Overlap
	// known lists the declared versions of the target's model.
	known []fleet.Version
	// stays is true while a machine with overlap drain-first has to remain in
	// rotation for the sake of its group.
	stays bool
	// last is the version served most recently; it answers until the target
	// does, also after a restart of the engine.
	last     Ref
	complete map[fleet.Version]bool
	up       bool
	loaded   []fleet.Version
	busy     map[fleet.Version]int
	order    Action
}

// Event changes a Machine.
type Event func(m *Machine)

// Assigned is the event of a new assignment. An empty version asks for nothing.
// known lists the declared versions of the same model: an agent that starts
// beside an engine that holds one of them serves it until the target is there.
func Assigned(target Ref, o declare.Overlap, known ...fleet.Version) Event {
	return func(m *Machine) { m.target, m.overlap, m.known = target, o, slices.Clone(known) }
}

// Stays is the event that the machine may not leave rotation yet, or may again.
func Stays(on bool) Event { return func(m *Machine) { m.stays = on } }

// HeldComplete is the event that exactly the versions vs are complete in
// memory.
func HeldComplete(vs []fleet.Version) Event {
	return func(m *Machine) {
		m.complete = map[fleet.Version]bool{}
		for _, v := range vs {
			m.complete[v] = true
		}
	}
}

// EngineReported is the event of a status report of the engine.
func EngineReported(loaded []fleet.Version) Event {
	return func(m *Machine) { m.up, m.loaded = true, slices.Clone(loaded) }
}

// EngineLost is the event that the engine does not answer.
func EngineLost() Event {
	return func(m *Machine) { m.up, m.loaded = false, nil }
}

// Busy is the event that exactly n requests in progress are pinned to v.
func Busy(v fleet.Version, n int) Event {
	return func(m *Machine) {
		if m.busy == nil {
			m.busy = map[fleet.Version]int{}
		}
		m.busy[v] = n
	}
}

// OrderStarted is the event that the engine was given an order.
func OrderStarted(a Action) Event { return func(m *Machine) { m.order = a } }

// OrderEnded is the event that the order ended, well or not. A report of the
// engine follows and says what came of it.
func OrderEnded() Event { return func(m *Machine) { m.order = Action{} } }

// Table holds the machines of an agent by group.
type Table struct {
	m *shard.Map[fleet.Group, *Machine]
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{shard.New[fleet.Group, *Machine](0)} }

// Apply applies the events to the machine of g in order and returns its plan.
func (t *Table) Apply(g fleet.Group, es ...Event) Plan {
	var p Plan
	t.m.Update(g, func(m *Machine, ok bool) (*Machine, bool) {
		if !ok {
			m = &Machine{}
		}
		for _, e := range es {
			e(m)
		}
		m.adopt()
		p = m.Plan()
		m.last = p.lastServed(m.last)
		return m, true
	})
	return p
}

// adopt takes a declared version that the engine holds as the one served last.
func (m *Machine) adopt() {
	if m.last.Version != "" {
		return
	}
	for _, v := range m.known {
		if m.has(v) {
			m.last = Ref{m.target.Model, v}
			return
		}
	}
}

func (p Plan) lastServed(last Ref) Ref {
	if p.Serving.Version != "" {
		return p.Serving
	}
	return last
}

// State returns the state of a version in the machine of g.
func (t *Table) State(g fleet.Group, v fleet.Version) State {
	s := Absent
	t.m.Update(g, func(m *Machine, ok bool) (*Machine, bool) {
		if ok {
			s = m.State(v)
		}
		return m, ok
	})
	return s
}
