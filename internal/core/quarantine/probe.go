package quarantine

import "time"

// probeTime is the longest time for which the probe of a request holds back the others. A model
// engine begins to answer within a second or so.
const probeTime = 2 * time.Second

// Probe says what a process tells the others of the probe of a request.
type Probe uint8

const (
	NoProbe Probe = iota
	ProbeBegun
	ProbeEnded
)

// takeProbe decides about a whole request under which a target was lost and that is not refused
// yet. One attempt at a time may go on, the probe: if the request is at fault, each further one
// costs a target, and a sound caller has just one.
func (t *Table) takeProbe(x Subject, now time.Time) (taken bool, d Decision) {
	if !t.Suspect(x, now) {
		return false, Decision{}
	}
	t.update(x, func(s *subjectState) {
		switch {
		case s.refusesSome() || s.Total() == 0:
		case now.Before(s.probeUntil):
			d = Decision{Refused: true, Subject: x, Evidence: s.Evidence, RetryAfter: minRetryAfter}
		default:
			s.probeUntil, taken = now.Add(probeTime), true
		}
	})
	return taken, d
}

// EndProbe records that the probe of a request has ended.
func (t *Table) EndProbe(x Subject) {
	t.update(x, func(s *subjectState) { s.probeUntil = time.Time{} })
}

// HearProbe records what another process tells of its probe.
func (t *Table) HearProbe(x Subject, p Probe, now time.Time) {
	switch p {
	case ProbeBegun:
		t.update(x, func(s *subjectState) { s.probeUntil = now.Add(probeTime) })
	case ProbeEnded:
		t.EndProbe(x)
	}
}
