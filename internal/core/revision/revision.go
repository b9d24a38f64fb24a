// Package revision stores the newest declaration known to a process and the age
// of the platform's confirmation that it is the newest.
//
// The revision never decreases: a declaration with a lower or equal revision is
// rejected, whatever its source.
package revision

import (
	"sync"
	"time"

	"github.com/masticwing/masticwing/internal/core/declare"
)

// Unconfirmed is the age of a declaration that the platform has not confirmed.
const Unconfirmed = time.Duration(-1)

// Snapshot is a declaration in decoded and in stored form.
type Snapshot struct {
	Declaration *declare.Declaration
	// Stored is the document as the platform stores it. It is forwarded
	// unchanged and must not be modified.
	Stored []byte
}

// Store holds the newest declaration. The zero value is empty. One lock guards
// the declaration and its age, which change together.
type Store struct {
	mu        sync.Mutex
	current   Snapshot
	confirmed time.Time
}

// Accept replaces the current declaration if the revision of next is higher,
// and reports whether it did. The age is the time since the platform confirmed
// that revision, or negative if it did not. An equal revision can only lower
// the age.
func (s *Store) Accept(next Snapshot, age time.Duration, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if next.Declaration.Revision <= s.revisionLocked() {
		s.confirmLocked(next.Declaration.Revision, age, now)
		return false
	}
	s.current, s.confirmed = next, time.Time{}
	s.confirmLocked(next.Declaration.Revision, age, now)
	return true
}

// Confirm records that revision rev was the newest of the platform at the given
// age before now. It has no effect unless rev is the current revision.
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
	if s.current.Declaration == nil {
		return 0
	}
	return s.current.Declaration.Revision
}

// Revision returns the current revision, or 0 if the store is empty.
func (s *Store) Revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revisionLocked()
}

// Snapshot returns the current declaration and its age, or Unconfirmed. The
// declaration is nil if the store is empty.
func (s *Store) Snapshot(now time.Time) (Snapshot, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.confirmed.IsZero() {
		return s.current, Unconfirmed
	}
	return s.current, max(0, now.Sub(s.confirmed))
}
