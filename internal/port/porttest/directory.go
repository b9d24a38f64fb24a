// Package porttest has in-memory fakes of the ports, for tests.
package porttest

import (
	"sync"
	"time"

	"github.com/masticwing/masticwing/internal/core/declare"
	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/port"
)

// Directory is a fake of port.Directory whose content a test sets.
type Directory struct {
	mu      sync.Mutex
	decl    *declare.Declaration
	age     time.Duration
	members []port.MemberRecord
	self    port.MemberRecord
	subs    map[chan struct{}]bool
}

var _ port.Directory = (*Directory)(nil)

// NewDirectory returns a directory that knows nothing.
func NewDirectory() *Directory { return &Directory{subs: map[chan struct{}]bool{}} }

// Declare sets the declaration.
func (d *Directory) Declare(decl *declare.Declaration, age time.Duration) {
	d.change(func() { d.decl, d.age = decl, age })
}

// SetMembers replaces the members.
func (d *Directory) SetMembers(ms ...port.MemberRecord) {
	d.change(func() { d.members = ms })
}

func (d *Directory) change(f func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f()
	for c := range d.subs {
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
	return d.decl, d.age
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
	d.subs[c] = true
	return c, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		delete(d.subs, c)
	}
}

// UpdateSelf implements port.Directory.
func (d *Directory) UpdateSelf(change func(*port.MemberRecord)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	change(&d.self)
}

// Self returns the record that SetSelf changed.
func (d *Directory) Self() port.MemberRecord {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.self
}
