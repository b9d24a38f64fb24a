// Package declare holds the declaration that operators write: customers,
// failure domains, labelled groups of VMs, models, the rules that say which
// model version serves which group, plain services, and what is cordoned.
//
// A *Declaration is immutable once it is published to other goroutines.
package declare

import (
	"time"

	"github.com/masticwing/masticwing/internal/core/fleet"
)

// Labels are key-value pairs set on VMs, failure domains, groups and models.
type Labels map[string]string

// Declaration is one accepted revision of everything that operators state.
type Declaration struct {
	// Revision rises by one with each accepted change.
	Revision uint64
	// WriteID identifies the write, so that an operator whose answer was lost
	// recognises the operator's own change.
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

// Customer is a client account.
type Customer struct {
	// Share is the weight of the customer in fair queueing.
	Share int
	// MaxQueued bounds the requests of the customer that wait at one entry.
	MaxQueued int
	// MaxBytes bounds the bytes held for the customer at one entry.
	MaxBytes int64
}

// Domain is a failure domain.
type Domain struct {
	Region fleet.Region
	Labels Labels
	// OutOfService takes the domain out of service.
	OutOfService bool
}

// VM adds labels to one VM, beside those in the settings of its agent.
type VM struct {
	Labels Labels
	// OutOfService takes the VM out of service.
	OutOfService bool
}

// Limits is what a target bears.
type Limits struct {
	// MaxRequests bounds the requests in the target at one time.
	MaxRequests int
	// MaxBytes bounds the request bytes that these requests hold.
	MaxBytes int64
	// ColdRequests is the limit of a target that has just started.
	ColdRequests int
	// RampStep is the least time between two raises of a cold target's limit.
	RampStep time.Duration
	// ColdFirstToken is the time to the first token above which a target
	// counts as cold again. Zero turns the check off.
	ColdFirstToken time.Duration
}

// Overlap says what happens to the old version while a new one loads.
type Overlap uint8

// The overlap modes.
const (
	// KeepOld serves the old version until the new one is loaded.
	KeepOld Overlap = iota
	// DrainFirst unloads the old version before the new one is loaded.
	DrainFirst
)

// Fencing says whether the engine refuses orders with an old fencing number.
type Fencing uint8

// The fencing modes.
const (
	// FencingIgnored means that the agent has to wait out an old lease.
	FencingIgnored Fencing = iota
	// FencingChecked means that the engine refuses old numbers.
	FencingChecked
)

// Group is a labelled set of VMs that serve one model version.
type Group struct {
	VMs     Selector
	Labels  Labels
	Limits  Limits
	Overlap Overlap
	Fencing Fencing
}

// Model has named versions, each the digest of a manifest.
type Model struct {
	Labels   Labels
	Versions map[string]fleet.Version
}

// Rule states which model version serves the groups that it selects.
type Rule struct {
	Name    string
	Groups  Selector
	Models  Selector
	Version string
}

// Service is a plain service beside the model engines.
type Service struct {
	VMs    Selector
	Limits Limits
	Calls  map[string]Call
}

// Call is one kind of call of a plain service.
type Call struct {
	// AtMostOnce marks a call that is not idempotent and may run at most once for an
	// idempotency key.
	AtMostOnce bool
}

// Cordons lists what operators took out of service by command, beside the Out
// marks of domains and VMs.
type Cordons struct {
	Domains map[fleet.Domain]bool
	VMs     map[fleet.VM]bool
}

// Machine is what a member says of itself.
type Machine struct {
	VM     fleet.VM
	Domain fleet.Domain
	Labels Labels
}

// Cordoned reports whether the domain or the VM is out of service.
func (d *Declaration) Cordoned(dom fleet.Domain, vm fleet.VM) bool {
	if d.Domains[dom].OutOfService || d.VMs[vm].OutOfService {
		return true
	}
	return d.Cordons.Domains[dom] || d.Cordons.VMs[vm]
}
