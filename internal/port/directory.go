package port

import (
	"time"

	"github.com/masticwing/masticwing/internal/core/declare"
	"github.com/masticwing/masticwing/internal/core/fleet"
)

// Directory is a process's local view of the deployment: the declaration and
// the members.
type Directory interface {
	// Declaration returns the newest known declaration and the time since the
	// platform confirmed it as the newest; the time is negative if the platform
	// never did. The declaration is nil until the first one is known.
	Declaration() (*declare.Declaration, time.Duration)
	// Members returns the members of a kind that are not known to be dead.
	Members(kind fleet.Kind) []MemberRecord
	// Subscribe returns a channel that is signaled after a change of the
	// declaration or of the members, and a function that ends the subscription.
	// Several changes may be merged into one signal.
	Subscribe() (<-chan struct{}, func())
	// UpdateSelf applies change to the record of this process. The record is
	// sent with the next exchange; a change of State is sent at once.
	UpdateSelf(change func(*MemberRecord))
}
