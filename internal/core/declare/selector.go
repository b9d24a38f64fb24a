package declare

import "slices"

// Op is the operator of a Requirement.
type Op uint8

const (
	// In means that the label has one of the values.
	In Op = iota
	// NotIn means that the label is absent or has none of the values.
	NotIn
	// Exists means that the label is present.
	Exists
	// NotExists means that the label is absent.
	NotExists
)

// Requirement is a condition on one label.
type Requirement struct {
	Key    string
	Op     Op
	Values []string
}

// Selector selects label sets that meet all of its requirements. An empty
// selector matches everything, so parsing and validation reject it.
type Selector []Requirement

// Matches reports whether l meets every requirement.
func (s Selector) Matches(l Labels) bool {
	for _, r := range s {
		if !r.matches(l) {
			return false
		}
	}
	return true
}

func (r Requirement) matches(l Labels) bool {
	v, ok := l[r.Key]
	switch r.Op {
	case Exists:
		return ok
	case NotExists:
		return !ok
	case NotIn:
		return !ok || !slices.Contains(r.Values, v)
	default:
		return ok && slices.Contains(r.Values, v)
	}
}
