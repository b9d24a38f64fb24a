package revision

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/masticwing/masticwing/internal/core/declare"
)

// TestRevisionNeverDecreases guards against returning to an older declaration,
// and against an age that belongs to another revision.
func TestRevisionNeverDecreases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s Store
		now, last := time.Unix(1000, 0), uint64(0)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 5).Draw(t, "wait")) * time.Second)
			rev := rapid.Uint64Range(1, 9).Draw(t, "rev")
			age := time.Duration(rapid.IntRange(-1, 5).Draw(t, "age")) * time.Second
			_, ageBefore := s.Snapshot(now)
			if rapid.Bool().Draw(t, "accept") {
				accepted := s.Accept(Snapshot{Declaration: &declare.Declaration{Revision: rev}}, age, now)
				if accepted != (rev > last) {
					t.Fatalf("accepted %d over %d: %v", rev, last, accepted)
				}
				last = max(last, rev)
			} else {
				s.Confirm(rev, age, now)
			}
			_, ageAfter := s.Snapshot(now)
			if s.Revision() != last {
				t.Fatalf("revision %d, want %d", s.Revision(), last)
			}
			if rev < last && ageAfter != ageBefore {
				t.Fatalf("revision %d changed the age of %d", rev, last)
			}
		}
	})
}

// TestConfirmationNeverRaisesAge guards against an age taken from an older
// confirmation, and against an age without any confirmation.
func TestConfirmationNeverRaisesAge(t *testing.T) {
	var s Store
	now := time.Unix(1000, 0)
	s.Accept(Snapshot{Declaration: &declare.Declaration{Revision: 3}}, Unconfirmed, now)
	if _, age := s.Snapshot(now); age != Unconfirmed {
		t.Errorf("age = %v, want unconfirmed", age)
	}
	s.Confirm(3, 2*time.Second, now)
	s.Confirm(3, 9*time.Second, now)
	if _, age := s.Snapshot(now.Add(time.Second)); age != 3*time.Second {
		t.Errorf("age = %v, want 3s", age)
	}
}
