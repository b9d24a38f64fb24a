// Package quarantine decides which requests are refused because they crash the targets that
// begin to answer them: whole requests that callers repeat, and all requests with a part of a
// prompt.
//
// The evidence is an attempt whose target was lost before any event of its response. The
// requests that share a batch with the one at fault are lost as well, and targets are lost for
// other reasons, so that one loss proves nothing. Two rules tell a subject at fault from the
// others: an event of a response to a request clears its subjects, and a further loss counts
// only if the request was sent after the one before was known, since the loss of a rack or a
// domain is one cause for many requests.
//
// An account's losses count against its own requests only: otherwise an account could have the
// parts of another one refused by naming them beside a part at fault. Losses of all further
// accounts count together against all of them.
//
// All processes share the evidence against a subject through notices and a store, so that
// together they lose a few targets and not a few each, and a process that starts knows what the
// others found.
//
// The state of each subject is guarded by the lock of its shard; no method holds two shard locks
// at once.
package quarantine

import (
	"time"

	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/shard"
)

const (
	// refusedLosses is the number of successive losses after which a subject is refused: the
	// first one may be chance, and each further one costs a target and its whole batch.
	refusedLosses = 2
	// answeredRefusedLosses is the same for a subject that this process has seen answered
	// before. Such a subject is rarely at fault, and in frequent use: the next answer clears it.
	answeredRefusedLosses = 4
	// suspectTime is the time after which a loss no longer adds to the one before. Requests
	// with a subject at fault are lost one shortly after the other.
	suspectTime = time.Minute
	// refusedTime is the time after which a process forgets that it refuses a subject whose
	// evidence the store did not accept.
	refusedTime = 10 * time.Minute
	// firstTrialDelay is the time for which a subject is refused before one request with it is
	// let through, to find out whether it is still at fault. It doubles with each trial, up
	// to maxTrialDelay. A trial may cost a target for some seconds.
	firstTrialDelay = 40 * time.Second
	maxTrialDelay   = 4 * time.Minute
	// pendingTrialTime is the time for which a trial that was not granted is not asked for
	// again.
	pendingTrialTime = 2 * time.Second
	// minRetryAfter is the shortest delay for a refused caller.
	minRetryAfter = 500 * time.Millisecond
	// maxSubjects bounds the subjects with evidence, and maxAccountSubjects those of one account,
	// whose requests may all differ.
	maxSubjects        = 2048
	maxAccountSubjects = 256
)

// Evidence is what is known against a subject. The zero value is that of a subject that was
// answered.
type Evidence struct {
	// Losses counts the successive losses of targets under requests of Account, and Others those
	// under requests of all other accounts.
	Losses  int            `json:"losses"`
	Account fleet.Customer `json:"account,omitempty"`
	Others  int            `json:"others,omitempty"`
	// Trials counts the requests that were let through since the subject is refused.
	Trials int `json:"trials,omitempty"`
	// Held is set by an operator: the subject is refused until the operator releases it.
	Held bool `json:"held,omitempty"`
}

// Total returns the number of losses under requests of all accounts.
func (e Evidence) Total() int { return e.Losses + e.Others }

// against returns the number of losses that count against an account.
func (e Evidence) against(account fleet.Customer) int {
	if e.Account == account {
		return e.Losses
	}
	return e.Others
}

// withLoss returns the evidence after a further loss under a request of an account.
func (e Evidence) withLoss(account fleet.Customer) Evidence {
	switch {
	case e.Total() == 0:
		return Evidence{Losses: 1, Account: account}
	case e.Account == account:
		e.Losses++
	default:
		e.Others++
	}
	return e
}

// refusesSome reports whether requests of some account are refused if the subject was never
// answered.
func (e Evidence) refusesSome() bool { return e.Held || max(e.Losses, e.Others) >= refusedLosses }

// subjectState is the evidence against a subject and its copies elsewhere.
type subjectState struct {
	Evidence
	// stored and revision are the evidence in the store and the revision of its item, or
	// zero if there is none.
	stored   Evidence
	revision int64
	// announced is the evidence that this process told the others last, and unannounced is set
	// if it has changed the evidence since.
	announced   Evidence
	unannounced bool
	// heardAt is the time at which another process told the evidence, or zero if it came from
	// the store or this process.
	heardAt time.Time
	// changedAt is the time at which this process learned of the evidence.
	changedAt time.Time
	// refusedAt is the time from which requests are refused.
	refusedAt time.Time
	// trialPendingUntil is the time until which no other trial is asked for, and
	// trialGranted is set once the store has accepted one for this process.
	trialPendingUntil time.Time
	trialGranted      bool
	// probeUntil is the latest time at which a probe ends that is in progress.
	probeUntil time.Time
	// began is set if this process began the evidence, with a loss under a request of beganBy.
	began   bool
	beganBy fleet.Customer
}

// Table holds the evidence against subjects.
type Table struct {
	subjects *shard.Map[Subject, *subjectState]
	// ofAccount counts the subjects whose evidence this process began with a loss of an account.
	ofAccount *shard.Map[fleet.Customer, int]
	// answeredParts and answeredRequests remember what was answered. They are separate, since
	// almost all requests differ and would displace the parts.
	answeredParts, answeredRequests *answeredSubjects
}

// NewTable returns a table without evidence.
func NewTable() *Table {
	return &Table{
		subjects: shard.New[Subject, *subjectState](0), ofAccount: shard.New[fleet.Customer, int](0),
		answeredParts: newAnsweredSubjects(), answeredRequests: newAnsweredSubjects(),
	}
}

func (t *Table) answered(x Subject) *answeredSubjects {
	if x.IsRequest() {
		return t.answeredRequests
	}
	return t.answeredParts
}

func (t *Table) wasAnswered(x Subject, now time.Time) bool { return t.answered(x).contains(x, now) }

// Decision says whether a request may be sent.
type Decision struct {
	// Refused is set if the request must not be sent because of Subject.
	Refused bool
	Subject Subject
	Evidence
	// RetryAfter is the delay after which the caller should return.
	RetryAfter time.Duration
	// StartTrial is set if a trial of Subject is due. The caller asks the store for it with the
	// update of Trial.
	StartTrial bool
	// Trials are the subjects of which the request is the trial, if it may be sent. The caller
	// gives them back with ReturnTrials if the request does not run.
	Trials []Subject
	// Probe is set if the request may be sent as the probe of its whole. The caller calls
	// EndProbe once the request has ended.
	Probe bool
}

// Check decides about a request.
func (t *Table) Check(r Request, now time.Time) Decision {
	var trials []Subject
	for _, x := range r.subjects() {
		d, trial := t.checkSubject(x, r.Account, now)
		if d.Refused {
			t.ReturnTrials(trials)
			return d
		}
		if trial {
			trials = append(trials, x)
		}
	}
	if r.Probing {
		return Decision{Trials: trials, Probe: true}
	}
	probe, d := t.takeProbe(r.Whole, now)
	if d.Refused {
		t.ReturnTrials(trials)
		return d
	}
	return Decision{Trials: trials, Probe: probe}
}

// checkSubject decides about one subject, and takes its trial if one is granted.
func (t *Table) checkSubject(x Subject, account fleet.Customer, now time.Time) (d Decision, trial bool) {
	if _, known := t.evidence(x); !known {
		return Decision{}, false
	}
	answered := t.wasAnswered(x, now)
	t.update(x, func(s *subjectState) {
		if !s.refused(account, answered) {
			return
		}
		if s.trialGranted {
			s.trialGranted, trial = false, true
			return
		}
		if s.Held {
			d = Decision{Refused: true, Subject: x, Evidence: s.Evidence, RetryAfter: maxTrialDelay}
			return
		}
		due := s.changedAt.Add(s.trialDelay())
		d = Decision{Refused: true, Subject: x, Evidence: s.Evidence, RetryAfter: s.retryAfter(due, now)}
		if !now.Before(due) && !now.Before(s.trialPendingUntil) {
			d.StartTrial = true
			s.trialPendingUntil = now.Add(pendingTrialTime)
		}
	})
	return d, trial
}

// ReturnTrials gives back the trials of a request that did not run, for the next one.
func (t *Table) ReturnTrials(subjects []Subject) {
	for _, x := range subjects {
		t.update(x, func(s *subjectState) { s.trialGranted = true })
	}
}

// refused reports whether requests of the account with the subject are refused.
func (s *subjectState) refused(account fleet.Customer, answered bool) bool {
	if answered {
		return s.Held || s.against(account) >= answeredRefusedLosses
	}
	return s.Held || s.against(account) >= refusedLosses
}

// trialDelay returns the time from the last evidence to the next trial.
func (s *subjectState) trialDelay() time.Duration {
	return min(firstTrialDelay<<min(s.Trials, 8), maxTrialDelay)
}

// retryAfter returns the delay for a refused caller. A subject that is refused by mistake is mostly
// cleared within a moment, by the answer to a request that was sent before; the longer that has
// not happened, the less likely it is to happen soon.
func (s *subjectState) retryAfter(trialDue, now time.Time) time.Duration {
	return max(minRetryAfter, min(now.Sub(s.refusedAt), trialDue.Sub(now)))
}

// Suspect reports whether a target was lost under the subject and it was never answered.
func (t *Table) Suspect(x Subject, now time.Time) (suspect bool) {
	if t.wasAnswered(x, now) {
		return false
	}
	t.update(x, func(s *subjectState) { suspect = s.Total() > 0 && now.Sub(s.changedAt) < suspectTime })
	return suspect
}

// RecordAnswered records an event of a response to a request. It returns the subjects against
// which there was evidence.
func (t *Table) RecordAnswered(r Request, now time.Time) (cleared []Subject) {
	for _, x := range r.subjects() {
		t.answered(x).add(x, now)
		t.update(x, func(s *subjectState) {
			if s.Held || s.Total() == 0 {
				return
			}
			cleared = append(cleared, x)
			s.unannounced = s.unannounced || s.announced.Total() > 0 || s.revision > 0
			s.setEvidence(Evidence{}, now)
		})
	}
	return cleared
}

// Loss is the evidence against a subject after a loss.
type Loss struct {
	Subject Subject
	Evidence
	// Refused is set if the loss has made the subject refused.
	Refused bool
}

// RecordLoss records that the target of a request that was sent at sentAt was lost before any
// event of the response. It returns the subjects whose evidence has changed, and whether the
// request is suspected of having crashed the target: one of its parts was never answered. Almost no
// whole request was answered before, so that says nothing.
func (t *Table) RecordLoss(r Request, sentAt, now time.Time) (losses []Loss, suspect bool) {
	for _, x := range t.blamed(r, now) {
		answered := t.wasAnswered(x, now)
		suspect = suspect || !answered && !x.IsRequest()
		if l, changed := t.recordLoss(x, r.Account, answered, sentAt, now); changed {
			losses = append(losses, l)
		}
	}
	return losses, suspect
}

func (t *Table) recordLoss(x Subject, account fleet.Customer, answered bool, sentAt, now time.Time) (l Loss, changed bool) {
	began := false
	room := t.subjects.Len() < maxSubjects && t.takeRoom(account)
	t.subjects.Update(x, func(s *subjectState, ok bool) (*subjectState, bool) {
		if !ok {
			if !room {
				return nil, false
			}
			s, began = &subjectState{beganBy: account, began: true}, true
		}
		e := s.withLoss(account)
		switch {
		case s.Held, s.Total() > 0 && !sentAt.After(s.changedAt):
			return s, true
		case !s.refusesSome() && now.Sub(s.changedAt) > suspectTime:
			e = Evidence{}.withLoss(account)
		}
		before := s.refused(account, answered)
		s.setEvidence(e, now)
		// An answer mostly clears the first loss of a subject that was answered before.
		s.unannounced = s.unannounced || !answered || e.Total() > 1
		s.heardAt = time.Time{}
		l, changed = Loss{Subject: x, Evidence: e, Refused: !before && s.refused(account, answered)}, true
		return s, true
	})
	if room && !began {
		t.returnRoom(account)
	}
	return l, changed
}

// takeRoom counts a further subject of an account, unless it has too many.
func (t *Table) takeRoom(account fleet.Customer) (ok bool) {
	t.ofAccount.Update(account, func(n int, _ bool) (int, bool) {
		if ok = n < maxAccountSubjects; ok {
			n++
		}
		return n, n > 0
	})
	return ok
}

func (t *Table) returnRoom(account fleet.Customer) {
	t.ofAccount.Update(account, func(n int, _ bool) (int, bool) { return n - 1, n > 1 })
}

// remove forgets a subject.
func (t *Table) remove(x Subject) {
	var removed *subjectState
	t.subjects.Update(x, func(s *subjectState, ok bool) (*subjectState, bool) {
		if ok {
			removed = s
		}
		return nil, false
	})
	if removed != nil && removed.began {
		t.returnRoom(removed.beganBy)
	}
}

// blamed returns the subjects that a loss speaks against: the whole request, and those parts that
// were never answered. Evidence against one part makes no difference to the others, because the
// records of the parts of one request may become known one after the other, and the first would
// take all the blame. If all parts were answered, they are blamed only for the first loss of a
// request: a part at fault ends targets under many different requests, and further losses of one
// request speak against that one.
func (t *Table) blamed(r Request, now time.Time) []Subject {
	var unknown []fleet.PromptPart
	for _, p := range r.Parts {
		if !t.wasAnswered(PartSubject(p), now) {
			unknown = append(unknown, p)
		}
	}
	switch e, _ := t.evidence(r.Whole); {
	case len(unknown) > 0:
		r.Parts = unknown
	case e.Total() > 0:
		r.Parts = nil
	}
	return r.subjects()
}

// setEvidence changes the evidence, which withdraws a trial that was granted before. Requests are
// refused from the change on after which refusesSome holds.
func (s *subjectState) setEvidence(e Evidence, now time.Time) {
	if e == s.Evidence {
		return
	}
	if e.refusesSome() && !s.refusesSome() {
		s.refusedAt = now
	}
	s.Evidence, s.changedAt, s.trialGranted = e, now, false
}

// Refused returns the numbers of parts of prompts and of whole requests that are refused.
func (t *Table) Refused() (parts, requests int) {
	t.subjects.Range(func(x Subject, s *subjectState) bool {
		switch {
		case !s.refusesSome():
		case x.IsRequest():
			requests++
		default:
			parts++
		}
		return true
	})
	return parts, requests
}

func (t *Table) evidence(x Subject) (e Evidence, known bool) {
	t.update(x, func(s *subjectState) { e, known = s.Evidence, true })
	return e, known
}

func (t *Table) update(x Subject, f func(*subjectState)) {
	t.subjects.Update(x, func(s *subjectState, ok bool) (*subjectState, bool) {
		if ok {
			f(s)
		}
		return s, ok
	})
}
