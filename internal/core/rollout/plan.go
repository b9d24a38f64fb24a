package rollout

import (
	"slices"

	"github.com/masticwing/masticwing/internal/core/declare"
	"github.com/masticwing/masticwing/internal/core/fleet"
)

func (m *StateMachine) engineHolds(v fleet.Version) bool {
	return v != "" && slices.Contains(m.loaded, v)
}

// Plan returns the versions to hold, the version to serve and the next order.
func (m *StateMachine) Plan() Plan {
	return Plan{Want: m.wantedVersions(), Serving: m.serving(), Next: m.nextAction()}
}

// wantedVersions returns the target and, until the target serves, the version served
// last, so that an engine that restarts in between can load the latter again. That
// version is only kept if it is complete; it is not fetched again.
func (m *StateMachine) wantedVersions() []Ref {
	var wanted []Ref
	if m.target.Version != "" {
		wanted = append(wanted, m.target)
	}
	if m.keepsLastServed() && m.complete[m.lastServed.Version] {
		wanted = append(wanted, m.lastServed)
	}
	return wanted
}

func (m *StateMachine) keepsLastServed() bool {
	return m.target.Version != "" && m.lastServed.Version != "" && m.lastServed != m.target && !m.usable(m.target.Version)
}

// serving returns the target once it is loaded. Before that it returns the version
// served last, unless that version must be unloaded to make room for the target.
func (m *StateMachine) serving() Ref {
	switch {
	case !m.engineUp || m.target.Version == "":
		return Ref{}
	case m.usable(m.target.Version):
		return m.target
	case m.overlap == declare.DrainFirst && m.complete[m.target.Version] && !m.mustStay:
		return Ref{}
	case m.keepsLastServed() && m.usable(m.lastServed.Version):
		return m.lastServed
	default:
		return Ref{}
	}
}

// usable reports whether the engine holds v and has no order to release it.
func (m *StateMachine) usable(v fleet.Version) bool {
	return m.engineHolds(v) && !m.isOrdered(Unload, v)
}

func (m *StateMachine) isOrdered(k Kind, v fleet.Version) bool {
	return m.currentOrder.Kind == k && m.currentOrder.Ref.Version == v
}

// nextAction returns the next order. Only one order is in progress at a time.
// Versions that are not served are unloaded before another one is loaded, so that
// the engine holds at most the served version and the target.
func (m *StateMachine) nextAction() Action {
	if !m.engineUp || m.currentOrder.Kind != NoAction {
		return Action{}
	}
	serving := m.serving()
	retiring := 0
	for _, v := range m.loaded {
		if v == serving.Version || v == m.target.Version {
			continue
		}
		retiring++
		if m.pinned[v] == 0 {
			return Action{Unload, Ref{Version: v}}
		}
	}
	if retiring > 0 {
		return Action{}
	}
	return m.nextLoad(serving)
}

// nextLoad returns the order to load the target, or to load the version served last
// again if no version is served, or no order.
func (m *StateMachine) nextLoad(serving Ref) Action {
	switch {
	case m.target.Version == "" || m.engineHolds(m.target.Version):
		return Action{}
	case m.complete[m.target.Version] && (m.overlap == declare.KeepOld || serving.Version == ""):
		return Action{Load, m.target}
	case serving.Version == "" && m.keepsLastServed() && m.complete[m.lastServed.Version]:
		return Action{Load, m.lastServed}
	default:
		return Action{}
	}
}

// State returns the state of v.
func (m *StateMachine) State(v fleet.Version) State {
	switch {
	case v == "":
		return Absent
	case m.isOrdered(Load, v):
		return Loading
	case m.serving().Version == v:
		return Serving
	case m.engineHolds(v):
		return Retiring
	case m.complete[v]:
		return Complete
	case v == m.target.Version:
		return Fetching
	default:
		return Absent
	}
}
