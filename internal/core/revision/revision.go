// Package revision holds the newest declaration that a process knows, and how
// long ago the platform confirmed it as the newest.
//
// The revision held never falls: a document with a lower or equal revision is
// not accepted, whatever its source.
package revision

import (
	"sync"
	"time"

	"github.com/masticwing/masticwing/internal/core/declare"
)

// Unconfirmed is the age of a declaration that the platform never confirmed.
const Unconfirmed = time.Duration(-1)

// Snapshot is a declaration with its stored form.
type Snapshot struct {
	Declaration *declare.Declaration
	// Stored is the document as the platform stores it; it is passed on
	// unchanged and must not be modified.
	Stored []byte
}

// Store holds the newest declaration. The zero value holds none. One lock
// covers the pointer and its age, which change together.
type Store struct {
	mu        sync.Mutex
	held      Snapshot
	confirmed time.Time
}

// Accept takes h if its revision is higher than the one held, and reports
// whether it did. age is the time since the platform confirmed it, or
// negative; an equal revision only lowers the age.
func (s *Store) Accept(h Snapshot, age time.Duration, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if h.Declaration.Revision <= s.revisionLocked() {
		s.confirmLocked(h.Declaration.Revision, age, now)
		return false
	}
	s.held, s.confirmed = h, time.Time{}
	s.confirmLocked(h.Declaration.Revision, age, now)
	return true
}

// Confirm notes that the platform had rev as its newest revision age ago. It
// has no effect for another revision than the one held.
func (s *Store) Confirm(rev uint64, age time.Duration, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.confirmLocked(rev, age, now)
}

func (s *Store) confirmLocked(rev uint64, age time.Duration, now time.Time) {
	if age < 0 || rev != s.revisionLocked() {
		return
	}
	if at := now.Add(-age); at.After(s.confirmed) {
		s.confirmed = at
	}
}

func (s *Store) revisionLocked() uint64 {
	if s.held.Declaration == nil {
		return 0
	}
	return s.held.Declaration.Revision
}

// Revision returns the revision held, or 0.
func (s *Store) Revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revisionLocked()
}

// Snapshot returns what is held and its age, Unconfirmed if it was never
// confirmed. The declaration is nil if none is known.
func (s *Store) Snapshot(now time.Time) (Snapshot, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.confirmed.IsZero() {
		return s.held, Unconfirmed
	}
	return s.held, max(0, now.Sub(s.confirmed))
}
