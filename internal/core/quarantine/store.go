package quarantine

import (
	"slices"
	"time"
)

// Update is a change of the evidence in the store. It holds only if the item of the subject still
// has the revision Expect, or is absent if that is zero: otherwise another process has found
// something in the meantime.
type Update struct {
	Subject Subject
	Evidence
	Expect int64
}

// heardTime is the time for which evidence that another process told goes before older evidence
// in the store, to which its sender is about to write it.
const heardTime = 2 * time.Second

// Updates returns up to limit changes that the store does not have, those with the most losses
// first. It also forgets what the store never has to know, and what proves nothing any more.
func (t *Table) Updates(limit int, now time.Time) []Update {
	var unsaved []Update
	var outdated []Subject
	t.subjects.Range(func(x Subject, s *subjectState) bool {
		age := now.Sub(s.changedAt)
		switch old := age > refusedTime || age > suspectTime && !s.refusesSome(); {
		case s.revision == 0 && s.announced.Total() == 0 && (s.Total() == 0 || old),
			s.Evidence == s.stored && age > suspectTime && !s.refusesSome():
			outdated = append(outdated, x)
		case s.Evidence != s.stored, s.announced.Total() > 0 && s.Total() == 0:
			unsaved = append(unsaved, Update{Subject: x, Evidence: s.Evidence, Expect: s.revision})
		}
		return true
	})
	for _, x := range outdated {
		t.remove(x)
	}
	// A single loss of a part that was answered is mostly that of a request beside the one at
	// fault, and the next answer clears it.
	unsaved = slices.DeleteFunc(unsaved, func(u Update) bool {
		return u.Expect == 0 && u.Total() == 1 && t.wasAnswered(u.Subject, now)
	})
	slices.SortFunc(unsaved, func(a, b Update) int { return b.Total() - a.Total() })
	return unsaved[:min(len(unsaved), limit)]
}

// Unannounced returns up to limit subjects whose evidence this process has changed and not yet
// told the others, and records that it tells them now.
func (t *Table) Unannounced(limit int) []Update {
	var out []Update
	t.subjects.Range(func(x Subject, s *subjectState) bool {
		if !s.unannounced {
			return true
		}
		s.unannounced, s.announced = false, s.Evidence
		out = append(out, Update{Subject: x, Evidence: s.Evidence})
		return len(out) < limit
	})
	return out
}

// AnnounceAgain makes Unannounced return the subjects again: the store has not accepted the
// updates, and notices may be lost.
func (t *Table) AnnounceAgain(us []Update) {
	for _, u := range us {
		t.update(u.Subject, func(s *subjectState) { s.unannounced = true })
	}
}

// Hear records evidence that another process tells before the store has it. The store knows
// better once its record arrives, and this process does not write what it heard. Hear reports
// whether further losses became known.
func (t *Table) Hear(x Subject, e Evidence, now time.Time) (raised bool) {
	room := t.subjects.Len() < maxSubjects
	t.subjects.Update(x, func(s *subjectState, ok bool) (*subjectState, bool) {
		switch {
		case !ok && (e.Total() == 0 || !room):
			return nil, false
		case !ok:
			s = &subjectState{}
		case s.Held || e.Total() > 0 && e.Total() <= s.Total():
			return s, true
		}
		if s.Evidence == s.stored {
			s.stored = e
		}
		raised = e.Total() > s.Total()
		s.setEvidence(e, now)
		s.announced, s.unannounced, s.heardAt = e, false, now
		return s, true
	})
	return raised
}

// Trial returns the update that asks for a trial of a refused subject.
func (t *Table) Trial(x Subject) (u Update) {
	t.update(x, func(s *subjectState) {
		e := s.Evidence
		e.Trials++
		u = Update{Subject: x, Evidence: e, Expect: s.revision}
	})
	return u
}

// GrantTrial records that the store has accepted the update of Trial: the next request with the
// subject is let through.
func (t *Table) GrantTrial(u Update, now time.Time) {
	t.update(u.Subject, func(s *subjectState) {
		s.setEvidence(u.Evidence, now)
		s.stored, s.announced, s.trialGranted = u.Evidence, u.Evidence, true
	})
}

// RecordStored records that the store has accepted an update. The change of the item follows
// with its revision; until then the subject has no further update.
func (t *Table) RecordStored(u Update) {
	t.update(u.Subject, func(s *subjectState) {
		s.stored = u.Evidence
		if u.Total() == 0 {
			s.announced = Evidence{}
		}
	})
}

// Apply records the evidence in the store, and reports whether further losses became known.
func (t *Table) Apply(x Subject, e Evidence, revision int64, now time.Time) (raised bool) {
	room := t.subjects.Len() < maxSubjects || e.refusesSome()
	t.subjects.Update(x, func(s *subjectState, ok bool) (*subjectState, bool) {
		if !ok {
			if !room {
				return nil, false
			}
			s = &subjectState{}
		}
		if revision <= s.revision {
			return s, ok
		}
		unsaved := s.Evidence != s.stored
		heard := !s.heardAt.IsZero() && now.Sub(s.heardAt) < heardTime
		s.stored, s.revision = e, revision
		switch {
		case e.Held || e.Total() == 0 || s.Total() <= e.Total():
		case unsaved:
			// Both processes have lost targets; the store gets the higher number.
			return s, true
		case heard:
			// The process that told of further losses is about to write them.
			s.stored = s.Evidence
			return s, true
		}
		raised = e.Total() > s.Total()
		s.setEvidence(e, now)
		s.announced, s.unannounced = e, false
		return s, true
	})
	return raised
}

// Remove records that the store has no evidence against a subject.
func (t *Table) Remove(x Subject) { t.remove(x) }

// Restore records that the store was restored from an older copy: it may lack evidence, or have less of
// it, until it is written again.
func (t *Table) Restore() {
	var all []Subject
	t.subjects.Range(func(x Subject, _ *subjectState) bool {
		all = append(all, x)
		return true
	})
	for _, x := range all {
		t.update(x, func(s *subjectState) { s.stored, s.revision = Evidence{}, 0 })
	}
}

// Retain removes the subjects whose evidence was in the store and is not in keep.
func (t *Table) Retain(keep map[Subject]bool) {
	var gone []Subject
	t.subjects.Range(func(x Subject, s *subjectState) bool {
		if s.revision > 0 && !keep[x] {
			gone = append(gone, x)
		}
		return true
	})
	for _, x := range gone {
		t.remove(x)
	}
}
