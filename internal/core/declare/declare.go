// Package declare defines the declaration that operators write: customers,
// failure domains, labelled groups of VMs, models, rules that assign model
// versions to groups, plain services, and cordons.
//
// A *Declaration is immutable once it is shared with other goroutines.
package declare

import (
	"time"

	"github.com/masticwing/masticwing/internal/core/fleet"
)

// Labels are key-value pairs of a VM, failure domain, group or model.
type Labels map[string]string

// Declaration is one accepted revision of the operators' configuration.
type Declaration struct {
	// Revision increases by one with each accepted change.
	Revision uint64
	// WriteID identifies the write. If the reply to a write is lost, its
	// operator can tell from the stored WriteID whether the write took effect.
	WriteID string

	Customers map[fleet.Customer]Customer
	Domains   map[fleet.Domain]Domain
	VMs       map[fleet.VM]VM
	Groups    map[fleet.Group]Group
	Models    map[fleet.Model]Model
	Rules     []Rule
	Services  map[fleet.Service]Service
	Cordons   Cordons
}

// Customer is the declaration of a client account.
type Customer struct {
	// Share is the customer's weight in fair queueing.
	Share int
	// MaxQueued bounds the customer's queued requests at one entry.
	MaxQueued int
	// MaxBytes bounds the bytes that one entry buffers for the customer.
	MaxBytes int64
}

// Domain is the declaration of a failure domain.
type Domain struct {
	Region fleet.Region
	Labels Labels
	// OutOfService takes the domain out of service.
	OutOfService bool
}

// VM adds labels to a VM besides those in the settings of its agent.
type VM struct {
	Labels Labels
	// OutOfService takes the VM out of service.
	OutOfService bool
}

// Limits bounds the load of a target.
type Limits struct {
	// MaxRequests bounds the concurrent requests in the target.
	MaxRequests int
	// MaxBytes bounds the request bytes that these requests hold.
	MaxBytes int64
	// ColdRequests is the request limit of a target that has just started.
	ColdRequests int
	// RampStep is the minimum time between two increases of a cold target's
	// limit.
	RampStep time.Duration
	// ColdFirstToken is the time to the first token above which a target is
	// treated as cold again. Zero disables the check.
	ColdFirstToken time.Duration
}

// Overlap says what happens to the old version while a new one is loaded.
type Overlap uint8

const (
	// KeepOld serves the old version until the new one is loaded.
	KeepOld Overlap = iota
	// DrainFirst unloads the old version before the new one is loaded.
	DrainFirst
)

// Fencing says whether the engine rejects orders with an outdated fencing
// number.
type Fencing uint8

const (
	// FencingIgnored means that the engine does not, so the agent must wait
	// until an old lease has expired.
	FencingIgnored Fencing = iota
	// FencingChecked means that the engine rejects orders with an outdated
	// number.
	FencingChecked
)

// Group is the declaration of a labelled set of VMs that serve one model
// version.
type Group struct {
	VMs     Selector
	Labels  Labels
	Limits  Limits
	Overlap Overlap
	Fencing Fencing
}

// Model is the declaration of a model. Each named version is the digest of a
// manifest.
type Model struct {
	Labels   Labels
	Versions map[string]fleet.Version
}

// Rule assigns a model version to the groups that it selects.
type Rule struct {
	Name    string
	Groups  Selector
	Models  Selector
	Version string
}

// Service is the declaration of a plain service, one that is not a model
// engine.
type Service struct {
	VMs    Selector
	Limits Limits
	Calls  map[string]Call
}

// Call is one operation of a plain service.
type Call struct {
	// AtMostOnce marks a call that is not idempotent: it may run at most once
	// per idempotency key.
	AtMostOnce bool
}

// Cordons lists the domains and VMs that operators cordoned by command, besides
// those that are declared OutOfService.
type Cordons struct {
	Domains map[fleet.Domain]bool
	VMs     map[fleet.VM]bool
}

// Machine is what a member reports about itself.
type Machine struct {
	VM     fleet.VM
	Domain fleet.Domain
	Labels Labels
}

// Cordoned reports whether the domain or the VM is cordoned or declared out of
// service.
func (d *Declaration) Cordoned(dom fleet.Domain, vm fleet.VM) bool {
	if d.Domains[dom].OutOfService || d.VMs[vm].OutOfService {
		return true
	}
	return d.Cordons.Domains[dom] || d.Cordons.VMs[vm]
}
