// Package porttest provides in-memory fakes of the ports for tests.
package porttest

import (
	"sync"
	"time"

	"github.com/masticwing/masticwing/internal/core/declare"
	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/port"
)

// Directory is a fake of port.Directory whose contents are set by a test.
type Directory struct {
	mu          sync.Mutex
	declaration *declare.Declaration
	age         time.Duration
	members     []port.MemberRecord
	self        port.MemberRecord
	subscribers map[chan struct{}]bool
}

var _ port.Directory = (*Directory)(nil)

// NewDirectory returns a directory without a declaration or members.
func NewDirectory() *Directory { return &Directory{subscribers: map[chan struct{}]bool{}} }

// SetDeclaration sets the declaration and the time since its confirmation.
func (d *Directory) SetDeclaration(declaration *declare.Declaration, age time.Duration) {
	d.updateAndNotify(func() { d.declaration, d.age = declaration, age })
}

// SetMembers replaces the members.
func (d *Directory) SetMembers(ms ...port.MemberRecord) {
	d.updateAndNotify(func() { d.members = ms })
}

// updateAndNotify calls f with the lock held and signals all subscribers.
func (d *Directory) updateAndNotify(f func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f()
	for c := range d.subscribers {
		select {
		case c <- struct{}{}:
		default:
		}
	}
}

// Declaration implements port.Directory.
func (d *Directory) Declaration() (*declare.Declaration, time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.declaration, d.age
}

// Members implements port.Directory.
func (d *Directory) Members(k fleet.Kind) []port.MemberRecord {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []port.MemberRecord
	for _, m := range d.members {
		if m.Kind == k && m.State != port.MemberDead {
			out = append(out, m)
		}
	}
	return out
}

// Subscribe implements port.Directory.
func (d *Directory) Subscribe() (<-chan struct{}, func()) {
	c := make(chan struct{}, 1)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.subscribers[c] = true
	return c, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		delete(d.subscribers, c)
	}
}

// UpdateSelf implements port.Directory.
func (d *Directory) UpdateSelf(change func(*port.MemberRecord)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	change(&d.self)
}

// Self returns the record that UpdateSelf changes.
func (d *Directory) Self() port.MemberRecord {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.self
}
