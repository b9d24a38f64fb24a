package duty

import (
	"slices"
	"time"
)

// Step is what a process does next in the election.
type Step uint8

// Steps of the election.
const (
	// Wait means to wait until Action.At, or for a change.
	Wait Step = iota
	// List means to read the state of the election from the store.
	List
	// Grant means to create a lease with a duration of Params.TTL.
	Grant
	// Elect means to write Action.Holder as the holder and the last holder, on condition of Action.Base.
	Elect
	// Renew means to renew the lease Action.Lease.
	Renew
	// Release means to end the lease Action.Lease.
	Release
)

// Action is one step.
type Action struct {
	Step Step
	// At is the time at which to ask again, for Wait. It is 0 if only a change leads to another step.
	At time.Duration
	// Lease is the lease of Renew and Release.
	Lease string
	// Holder is written by Elect, if the keys have the revisions of Base.
	Holder Holder
	Base   Listing
	// Era is the era of the store that the process knew when it began the step.
	Era int64
	// began is the time at which the step began.
	began time.Duration
}

// Outcome is the result of a step.
type Outcome uint8

// Outcomes of steps.
const (
	// Done means that the store has executed the step.
	Done Outcome = iota
	// Gone means that the lease has ended.
	Gone
	// Refused means that a condition did not hold.
	Refused
	// Failed means that the step may or may not have been executed.
	Failed
)

// Machine is the state of one process in the election. All times are times since the machine booted,
// which also advance while it is suspended. It is not safe for concurrent use.
type Machine struct {
	p    Params
	self Holder
	era  int64
	// rank is the number of candidates before this one, or -1 if it is none.
	candidates []string
	rank       int
	stopping   bool

	// known is set if view is the state of the store, as far as changes were seen since. fresh is set if
	// it was listed for the attempt that is in progress.
	known, fresh bool
	view         Listing
	// vacantSince is the time since which the process knows that there is no holder, or -1.
	vacantSince time.Duration

	// lease is the lease of this process, or empty, and confirmedAt the time at which the grant or the
	// renewal began that was the last one to succeed. attemptedAt is the time of the last attempt.
	lease                    string
	confirmedAt, attemptedAt time.Duration
	// firstOfEra is set if the attempt with the lease follows a holder of an older era.
	firstOfEra bool
	// holding is set if the store has this process as the holder. It acts from actFrom on.
	holding bool
	actFrom time.Duration

	// calls is the number of calls in progress. No attempt begins before returnAt.
	calls    int
	returnAt time.Duration
	started  time.Duration

	// retryAt is the time before which no store call other than a renewal is made, and retry the next pause.
	retryAt, retry time.Duration
}

// New returns the state of a process that starts now.
func New(p Params, self Holder, now time.Duration) *Machine {
	return &Machine{p: p, self: self, rank: -1, vacantSince: -1, started: now, retry: p.MinRetry}
}

// SetCandidates sets the names of all candidates in the order of their ranks.
func (m *Machine) SetCandidates(names []string) {
	m.candidates, m.rank = names, slices.Index(names, m.self.Name)
}

// Stop begins the planned stop: no further call is allowed, and the lease is released after the last one.
func (m *Machine) Stop() { m.stopping = true }

// SetEra states the highest era of the store that the process has seen. With a higher one, everything
// that the process knows of the store and holds there belongs to a store that does not exist any more.
func (m *Machine) SetEra(era int64) {
	if era <= m.era {
		return
	}
	m.era = era
	m.endTenure()
	m.vacantSince, m.retryAt = -1, 0
}

// endTenure forgets the lease, and the tenure if there is one.
func (m *Machine) endTenure() {
	m.lease, m.holding, m.fresh, m.known = "", false, false, false
}

// limit is the time after which this process must not act.
func (m *Machine) limit() time.Duration { return m.confirmedAt + m.p.TTL - m.p.Margin }

// MaySend reports whether the process may call the platform now, with which token, and until when.
func (m *Machine) MaySend(now time.Duration) (token int64, until time.Duration, ok bool) {
	ok = m.holding && !m.stopping && now >= m.actFrom && now < m.limit()
	return m.view.Holder.Token(), m.limit(), ok
}

// Holding returns the record of this process in the store if it is the holder, even if it may not act now.
func (m *Machine) Holding() (Record, bool) { return m.view.Holder, m.holding }

// Holder returns the current holder as far as this process knows.
func (m *Machine) Holder() (Record, bool) { return m.view.Holder, m.known && m.occupied() }

// Watch returns the revision after which the process watches the key of the holder, and whether it does.
func (m *Machine) Watch() (after int64, ok bool) {
	return m.view.At, m.known && (m.rank >= 0 || m.holding)
}

// CallBegan records a call for which MaySend returned true.
func (m *Machine) CallBegan() { m.calls++ }

// CallEnded records the end of a call.
func (m *Machine) CallEnded(now time.Duration) {
	m.calls--
	m.returnAt = max(m.returnAt, now+m.p.Return)
}

// occupied reports whether the store has a holder. One of an older era does not act any more.
func (m *Machine) occupied() bool {
	return m.view.Holder.Revision != 0 && m.view.Holder.Era >= m.era
}

// own reports whether r is this process with its current lease.
func (m *Machine) own(r Record) bool {
	return r.Revision != 0 && m.lease != "" && r.Lease == m.lease && r.Incarnation == m.self.Incarnation && r.Era == m.era
}

// Next returns the next step.
func (m *Machine) Next(now time.Duration) Action {
	a := m.next(now)
	a.Era, a.began = m.era, now
	if a.Step == Renew || a.Step == Grant {
		m.attemptedAt = now
	}
	return a
}

func (m *Machine) next(now time.Duration) Action {
	if m.stopping {
		if m.lease != "" && m.calls == 0 {
			return Action{Step: Release, Lease: m.lease}
		}
		return Action{}
	}
	if m.holding && now >= m.limit() {
		// Renewals that arrive while their answers are lost would keep others from the duties.
		m.endTenure()
	}
	if m.holding {
		at := m.attemptedAt + m.p.Renewal
		switch {
		case now >= at:
			return Action{Step: Renew, Lease: m.lease}
		case !m.known && now >= m.retryAt:
			return Action{Step: List}
		}
		return Action{At: at}
	}
	switch {
	case m.rank < 0 || m.calls > 0:
		return Action{}
	case now < m.retryAt:
		return Action{At: m.retryAt}
	case !m.known:
		return Action{Step: List}
	case m.occupied():
		return Action{}
	case now < m.attemptAt():
		return Action{At: m.attemptAt()}
	case !m.fresh:
		return Action{Step: List}
	case m.lease == "" || now >= m.confirmedAt+m.p.Renewal:
		// A lease that is about to end would leave no time to act.
		m.lease = ""
		return Action{Step: Grant}
	}
	h := m.self
	h.Lease, h.Era, h.Counter = m.lease, m.era, m.view.Last.Counter+1
	m.firstOfEra = m.view.Last.Era < m.era
	return Action{Step: Elect, Holder: h, Base: m.view}
}

// attemptAt returns the time from which this process tries to become the holder.
func (m *Machine) attemptAt() time.Duration {
	at := max(m.vacantSince+time.Duration(m.delayRank())*m.p.RankDelay, m.returnAt)
	if m.view.Last.Revision != 0 || m.era > 0 {
		// An earlier process of this name may have been a holder until this one started.
		at = max(at, m.started+m.p.Return)
	}
	return at
}

// delayRank returns the number of candidates before this one, without the last holder, which is probably
// gone and does not try before the others anyway.
func (m *Machine) delayRank() int {
	if i := slices.Index(m.candidates, m.view.Last.Name); i >= 0 && i < m.rank {
		return m.rank - 1
	}
	return m.rank
}

// fail pauses the store calls after one that failed.
func (m *Machine) fail(now time.Duration) {
	m.retryAt = now + m.retry
	m.retry = min(2*m.retry, m.p.MaxRetry)
}

// Listed records the result of a List. SetEra is called before with the era known after the answer.
func (m *Machine) Listed(now time.Duration, a Action, o Outcome, l Listing) {
	switch {
	case o != Done:
		m.fail(now)
		return
	case a.Era != m.era:
		// The answer may be from the era before.
		return
	case m.known && l.At < m.view.At:
		// A change that was seen meanwhile is newer, or the store has gone back without a new era. The next
		// listing is used in either case.
		m.known = false
		m.fail(now)
		return
	}
	m.retry, m.retryAt = m.p.MinRetry, 0
	m.known, m.view = true, l
	m.observe(now)
	m.fresh = !m.holding
}

// Changed records a change of the key of the holder: the new record, which has the revision 0 if the key was
// removed, and the revision of the change. era is that in which the watch began.
func (m *Machine) Changed(now time.Duration, era int64, r Record, at int64) {
	if !m.known || era != m.era || at <= m.view.At || at <= m.view.Holder.Revision {
		return
	}
	m.view.Holder, m.view.At = r, at
	m.observe(now)
	m.fresh = false
}

// WatchedTo records that the key of the holder has no other changes up to a revision.
func (m *Machine) WatchedTo(era, at int64) {
	if m.known && era == m.era {
		m.view.At = max(m.view.At, at)
	}
}

// HistoryGone records that changes were missed, so that the process has to list again.
func (m *Machine) HistoryGone(era int64) {
	if era == m.era {
		m.known, m.fresh = false, false
	}
}

// observe applies the record of the holder in the view.
func (m *Machine) observe(now time.Duration) {
	own := m.own(m.view.Holder)
	switch {
	case own && !m.holding:
		m.holding, m.actFrom = true, now+m.p.Start
		if m.firstOfEra {
			// The last holder of the era before may not know of the new one yet.
			m.actFrom = now + m.p.TTL + m.p.Margin
		}
	case !own && m.holding:
		m.endTenure()
		m.known = true
	}
	if m.occupied() {
		m.vacantSince = -1
	} else if m.vacantSince < 0 {
		m.vacantSince = now
	}
}

// Granted records the result of a Grant.
func (m *Machine) Granted(now time.Duration, a Action, o Outcome, lease string) {
	switch {
	case o != Done:
		m.fail(now)
	case a.Era == m.era:
		m.lease, m.confirmedAt = lease, a.began
	}
}

// Elected records the result of an Elect. Only a later listing shows who is the holder, and since which
// revision: an answer may be lost, and an answer of the store does not state the revision.
func (m *Machine) Elected(now time.Duration, a Action, o Outcome) {
	if a.Era != m.era {
		return
	}
	m.known, m.fresh = false, false
	if o == Gone {
		m.lease = ""
	}
	if o != Done {
		m.fail(now)
	}
}

// Renewed records the result of a Renew.
func (m *Machine) Renewed(a Action, o Outcome) {
	switch {
	case a.Era != m.era || a.Lease != m.lease:
	case o == Done:
		m.confirmedAt = max(m.confirmedAt, a.began)
	case o == Gone:
		m.endTenure()
	}
}

// Released records that a Release has ended. If it failed, the lease ends by itself.
func (m *Machine) Released() { m.lease, m.holding = "", false }

// Stopped reports whether the planned stop is complete.
func (m *Machine) Stopped() bool { return m.stopping && m.lease == "" && m.calls == 0 }
