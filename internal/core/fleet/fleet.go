// Package fleet defines distinct types for the names and classes used across a
// deployment, so that one kind of name cannot be passed for another.
package fleet

type (
	// Region is a set of failure domains with low network latency between them.
	Region string
	// Domain is a failure domain: VMs that tend to fail, or to be taken out of
	// service, together.
	Domain string
	// VM is the name of a virtual machine.
	VM string
	// Address is a network address of the form "ip:port".
	Address string
	// Customer is the name of a client account.
	Customer string
	// Group is the name of a labelled set of VMs that serve one model.
	Group string
	// Model is the name of a model.
	Model string
	// Version is the hexadecimal digest of a manifest.
	Version string
	// Service is the name of a plain service, that is, one that is not a model
	// engine.
	Service string
	// Instance identifies one run of a target. A later run may have the same
	// address.
	Instance string
	// PromptPart identifies a part of a prompt. Requests with the same part share its text.
	PromptPart string
	// RequestID identifies one request across all hops.
	RequestID string
)

// Kind is the type of program that a member of the fleet runs.
type Kind uint8

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

// Class is the priority class of a request. A lower value has a higher
// priority.
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

// ParseClass returns the class named s and whether there is one.
func ParseClass(s string) (Class, bool) {
	for i, n := range classNames {
		if n == s {
			return Class(i), true
		}
	}
	return 0, false
}
