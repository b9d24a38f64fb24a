package rollout

import (
	"slices"

	"github.com/masticwing/masticwing/internal/core/declare"
	"github.com/masticwing/masticwing/internal/core/fleet"
)

func (m *Machine) has(v fleet.Version) bool { return v != "" && slices.Contains(m.loaded, v) }

// Plan returns what to hold, what to serve and which order is next.
func (m *Machine) Plan() Plan {
	return Plan{Want: m.want(), Serving: m.serving(), Next: m.next()}
}

// want keeps the version served last beside the target until the target
// serves, so that an engine that restarts meanwhile can have it again. It does
// not fetch that version anew.
func (m *Machine) want() []Ref {
	var w []Ref
	if m.target.Version != "" {
		w = append(w, m.target)
	}
	if m.keepsLast() && m.complete[m.last.Version] {
		w = append(w, m.last)
	}
	return w
}

func (m *Machine) keepsLast() bool {
	return m.target.Version != "" && m.last.Version != "" && m.last != m.target && !m.usable(m.target.Version)
}

// serving returns the target once it is loaded, and before that the version
// served last, unless it must leave to make room.
func (m *Machine) serving() Ref {
	switch {
	case !m.up || m.target.Version == "":
		return Ref{}
	case m.usable(m.target.Version):
		return m.target
	case m.overlap == declare.DrainFirst && m.complete[m.target.Version] && !m.stays:
		return Ref{}
	case m.keepsLast() && m.usable(m.last.Version):
		return m.last
	default:
		return Ref{}
	}
}

// usable reports whether the engine holds v and is not about to release it.
func (m *Machine) usable(v fleet.Version) bool { return m.has(v) && !m.orders(Unload, v) }

func (m *Machine) orders(k Kind, v fleet.Version) bool {
	return m.order.Kind == k && m.order.Ref.Version == v
}

// next returns the next order. One order is given at a time. Versions that are
// not served leave the engine before another one is loaded, so that it holds
// at most the served version and the target.
func (m *Machine) next() Action {
	if !m.up || m.order.Kind != Wait {
		return Action{}
	}
	serving := m.serving()
	retiring := 0
	for _, v := range m.loaded {
		if v == serving.Version || v == m.target.Version {
			continue
		}
		retiring++
		if m.busy[v] == 0 {
			return Action{Unload, Ref{Version: v}}
		}
	}
	if retiring > 0 {
		return Action{}
	}
	return m.load(serving)
}

func (m *Machine) load(serving Ref) Action {
	switch {
	case m.target.Version == "" || m.has(m.target.Version):
		return Action{}
	case m.complete[m.target.Version] && (m.overlap == declare.KeepOld || serving.Version == ""):
		return Action{Load, m.target}
	case serving.Version == "" && m.keepsLast() && m.complete[m.last.Version]:
		return Action{Load, m.last}
	default:
		return Action{}
	}
}

// State returns the state of v.
func (m *Machine) State(v fleet.Version) State {
	switch {
	case v == "":
		return Absent
	case m.orders(Load, v):
		return Loading
	case m.serving().Version == v:
		return Serving
	case m.has(v):
		return Retiring
	case m.complete[v]:
		return Complete
	case v == m.target.Version:
		return Fetching
	default:
		return Absent
	}
}
