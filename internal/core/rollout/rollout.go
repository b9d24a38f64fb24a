// Package rollout decides which versions an agent holds, which one its engine
// serves, and which order the engine receives next.
//
// The inputs of a StateMachine are the assignment, the versions that are complete in
// memory, the versions that the engine reports, and the requests pinned to each
// version. The next order is a function of these inputs alone, so a new assignment
// in the middle of a rollout, or a restart of the engine, needs no special handling.
package rollout

import (
	"slices"

	"github.com/masticwing/masticwing/internal/core/declare"
	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/shard"
)

// State is the state of one version on one agent.
type State uint8

// States of a version.
const (
	// Absent means that the version is neither held nor wanted.
	Absent State = iota
	// Fetching means that chunks are missing.
	Fetching
	// Complete means that all chunks are verified and in memory.
	Complete
	// Loading means that the engine has received the order to load the version.
	Loading
	// Serving means that new requests are pinned to the version.
	Serving
	// Retiring means that the engine still holds the version, but no new request is
	// pinned to it.
	Retiring
)

// String returns the name that the agent's status shows.
func (s State) String() string {
	names := [...]string{"absent", "fetching", "complete", "loading", "serving", "retiring"}
	if int(s) < len(names) {
		return names[s]
	}
	return "unknown"
}

// Ref identifies a version of a model.
type Ref struct {
	Model   fleet.Model
	Version fleet.Version
}

// Kind is the kind of an Action.
type Kind uint8

// Kinds of actions.
const (
	// NoAction means that there is no order to send until the next event.
	NoAction Kind = iota
	// Load orders the engine to load a version.
	Load
	// Unload orders the engine to release a version.
	Unload
)

// Action is an order for the engine.
type Action struct {
	Kind Kind
	Ref  Ref
}

// Plan is the output of a StateMachine.
type Plan struct {
	// Want lists the versions to hold in memory; the first is the most important.
	Want []Ref
	// Serving is the version that new requests are pinned to, or empty.
	Serving Ref
	// Next is the next order for the engine.
	Next Action
}

// StateMachine holds the inputs that determine the Plan of an agent for one group.
// It is not safe for concurrent use.
type StateMachine struct {
	target  Ref
	overlap declare.Overlap
	// declared lists the declared versions of the target's model.
	declared []fleet.Version
	// mustStay is true while an agent with the overlap drain-first has to remain in
	// rotation, because too many members of its group are out of rotation.
	mustStay bool
	// lastServed is the version served most recently. It is served until the target
	// is, also after a restart of the engine.
	lastServed   Ref
	complete     map[fleet.Version]bool
	engineUp     bool
	loaded       []fleet.Version
	pinned       map[fleet.Version]int
	currentOrder Action
}

// Event changes an input of a StateMachine.
type Event func(m *StateMachine)

// Assigned is the event of a new assignment. A target with an empty version means
// that nothing is assigned. declared lists the declared versions of the same model:
// if an agent starts while its engine holds one of them, it serves that version until
// the target is loaded.
func Assigned(target Ref, o declare.Overlap, declared ...fleet.Version) Event {
	return func(m *StateMachine) { m.target, m.overlap, m.declared = target, o, slices.Clone(declared) }
}

// MustStay is the event that the agent must remain in rotation, or no longer has to.
func MustStay(required bool) Event { return func(m *StateMachine) { m.mustStay = required } }

// VersionsComplete is the event that exactly the given versions are complete in
// memory.
func VersionsComplete(versions []fleet.Version) Event {
	return func(m *StateMachine) {
		m.complete = map[fleet.Version]bool{}
		for _, v := range versions {
			m.complete[v] = true
		}
	}
}

// EngineReported is the event that the engine reported its loaded versions.
func EngineReported(loaded []fleet.Version) Event {
	return func(m *StateMachine) { m.engineUp, m.loaded = true, slices.Clone(loaded) }
}

// EngineLost is the event that the engine does not respond.
func EngineLost() Event {
	return func(m *StateMachine) { m.engineUp, m.loaded = false, nil }
}

// RequestsPinned is the event that n requests in progress are pinned to v.
func RequestsPinned(v fleet.Version, n int) Event {
	return func(m *StateMachine) {
		if m.pinned == nil {
			m.pinned = map[fleet.Version]int{}
		}
		m.pinned[v] = n
	}
}

// OrderStarted is the event that an order was sent to the engine.
func OrderStarted(a Action) Event { return func(m *StateMachine) { m.currentOrder = a } }

// OrderEnded is the event that the order succeeded or failed. The next report of the
// engine shows its effect; until then, a version that was to be unloaded counts as gone.
func OrderEnded() Event {
	return func(m *StateMachine) {
		if m.currentOrder.Kind == Unload {
			unloaded := m.currentOrder.Ref.Version
			m.loaded = slices.DeleteFunc(slices.Clone(m.loaded), func(v fleet.Version) bool { return v == unloaded })
		}
		m.currentOrder = Action{}
	}
}

// Table holds the state machines of an agent by group.
type Table struct {
	m *shard.Map[fleet.Group, *StateMachine]
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{shard.New[fleet.Group, *StateMachine](0)} }

// Apply applies the events in order to the state machine of g and returns its plan.
func (t *Table) Apply(g fleet.Group, events ...Event) Plan {
	var p Plan
	t.m.Update(g, func(m *StateMachine, ok bool) (*StateMachine, bool) {
		if !ok {
			m = &StateMachine{}
		}
		for _, e := range events {
			e(m)
		}
		m.adoptLoadedVersion()
		p = m.Plan()
		m.lastServed = p.servingOr(m.lastServed)
		return m, true
	})
	return p
}

// adoptLoadedVersion sets the version served last to a declared version that the
// engine holds, if no version was served yet.
func (m *StateMachine) adoptLoadedVersion() {
	if m.lastServed.Version != "" {
		return
	}
	for _, v := range m.declared {
		if m.engineHolds(v) {
			m.lastServed = Ref{m.target.Model, v}
			return
		}
	}
}

// servingOr returns the version that the plan serves, or else last.
func (p Plan) servingOr(last Ref) Ref {
	if p.Serving.Version != "" {
		return p.Serving
	}
	return last
}

// State returns the state of a version in the state machine of g.
func (t *Table) State(g fleet.Group, v fleet.Version) State {
	s := Absent
	t.m.Update(g, func(m *StateMachine, ok bool) (*StateMachine, bool) {
		if ok {
			s = m.State(v)
		}
		return m, ok
	})
	return s
}
