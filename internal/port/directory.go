package port

import (
	"time"

	"github.com/masticwing/masticwing/internal/core/declare"
	"github.com/masticwing/masticwing/internal/core/fleet"
)

// Directory is what a process knows of the deployment.
type Directory interface {
	// Declaration returns the newest declaration and the time since the
	// platform confirmed it as the newest, or a negative time if it never did.
	// It returns nil before the first one is known.
	Declaration() (*declare.Declaration, time.Duration)
	// Members returns the members of a kind that are not known to be dead.
	Members(k fleet.Kind) []MemberRecord
	// Subscribe returns a channel that receives after a change of the
	// declaration or of the members. Several changes may arrive as one. The
	// function ends the subscription.
	Subscribe() (<-chan struct{}, func())
	// UpdateSelf changes the record of this process. It is announced with the
	// next exchange; a change of State is announced at once.
	UpdateSelf(change func(*MemberRecord))
}
