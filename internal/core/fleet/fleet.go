// Package fleet defines the names of the parts of a deployment as distinct
// types, so that one is not passed for another.
package fleet

// Names of the parts of a deployment.
type (
	// Region is a set of failure domains with short links between them.
	Region string
	// Domain is a failure domain: VMs that tend to fail, or to be taken out,
	// together.
	Domain string
	// VM is the name of one virtual machine.
	VM string
	// Address is "ip:port".
	Address string
	// Customer is a client account.
	Customer string
	// Group is a labelled set of VMs that serve one model.
	Group string
	// Model is the name of a model.
	Model string
	// Version is the hexadecimal digest of a manifest.
	Version string
	// Service is the name of a plain service beside the model engines.
	Service string
	// Instance names one run of a target; an address may be used by others.
	Instance string
	// RequestID identifies one request across all hops.
	RequestID string
)

// Kind says which binary a member runs.
type Kind uint8

// The kinds of members.
const (
	KindUnknown Kind = iota
	KindEntry
	KindAgent
)

// String returns "entry", "agent" or "unknown".
func (k Kind) String() string {
	switch k {
	case KindEntry:
		return "entry"
	case KindAgent:
		return "agent"
	default:
		return "unknown"
	}
}

// Class is the priority class of a request; a lower value goes first.
type Class uint8

// The classes, most urgent first.
const (
	// ClassStatus is for station checks and status reads.
	ClassStatus Class = iota
	// ClassOrder is for check logs and seedling orders.
	ClassOrder
	// ClassSummary is for summaries.
	ClassSummary
	// ClassDraft is for drafts.
	ClassDraft
	// NumClasses is the number of classes.
	NumClasses = 4
)

var classNames = [NumClasses]string{"status", "order", "summary", "draft"}

// String returns the name used in HTTP headers, settings and metrics.
func (c Class) String() string {
	if int(c) < len(classNames) {
		return classNames[c]
	}
	return "unknown"
}

// ParseClass returns the class called s.
func ParseClass(s string) (Class, bool) {
	for i, n := range classNames {
		if n == s {
			return Class(i), true
		}
	}
	return 0, false
}
