// Package explain selects, from the logs of several processes, the lines that
// explain the outcome of one request: the lines on the request itself, the state
// changes at its gateway and its target, the lines of the process on the target's
// VM, and failures of other requests at the same target.
package explain

import (
	"slices"
	"strings"
	"time"
)

// Line is one parsed line of a log.
type Line struct {
	Time time.Time
	Role string
	// Process is the id of the process that wrote the line.
	Process string
	Message string
	Fields  map[string]any
}

func (l *Line) stringField(field string) string {
	s, _ := l.Fields[field].(string)
	return s
}

// Link is the relation of a line to the request.
type Link string

// Relations of a line to the request.
const (
	// LinkRequest is a line on the request itself.
	LinkRequest Link = "request"
	// LinkGateway is a state change at the gateway of the request.
	LinkGateway Link = "gateway"
	// LinkTarget is a state change of the request's target, logged by any process.
	LinkTarget Link = "target"
	// LinkBesideTarget is a line of a process on the target's VM.
	LinkBesideTarget Link = "beside target"
	// LinkSameTarget is a failure of another request at the same target.
	LinkSameTarget Link = "same target"
	// LinkSubject is a line on the request itself or a part of its prompt, logged by any process at
	// any earlier time: evidence against them is shared and lasts for minutes.
	LinkSubject Link = "subject of evidence"
	// LinkAllTargets is a line of any loader. Such lines are included if no target
	// had a free slot.
	LinkAllTargets Link = "all targets"
)

// Step is one line of an explanation, or several similar lines.
type Step struct {
	Line
	Link Link
	// Count is the number of lines that the step combines.
	Count int
	// Processes are the ids of the processes that wrote these lines.
	Processes []string
}

const (
	// lookback is the time before the end of a request that is searched. A gateway
	// refuses API keys 5 s after their last confirmation, and an engine changes its
	// weights within 8 s.
	lookback = 10 * time.Second
	// failureWindow is the time before and after the end of a request in which
	// failures of other requests at its target are included.
	failureWindow = 5 * time.Second
)

// Messages, field names and values of log lines, see docs/OPERATIONS.md.
const (
	messageRequest    = "request"
	messageStarted    = "started"
	messageTarget     = "target"
	messageTargetGone = "target gone"
	messageLeaving    = "target announces that it leaves"
	messagePause      = "target asks for a pause"
	fieldRequest      = "request"
	fieldTarget       = "target"
	fieldAddress      = "address"
	fieldAdmin        = "admin"
	fieldOutcome      = "outcome"
	fieldCode         = "code"
	fieldSubject      = "subject"
	fieldSharedParts  = "shared_parts"
	fieldLeaving      = "targets_leaving"
	fieldPaused       = "targets_paused"
	outcomeServed     = "served"
	codeOverloaded    = "overloaded"
	codeNoTarget      = "no_target"
)

// RequestSteps returns the steps that explain the outcome of a request, ordered by
// time, or none if no line contains the request's id.
func RequestSteps(lines []Line, id string) []Step {
	s := &requestSearch{lines: lines, id: id, processes: map[string]bool{}, targets: map[string]bool{}, subjects: map[string]bool{}, announcements: map[string]bool{}}
	if !s.findRequestLines() {
		return nil
	}
	s.findProcessesBesideTargets()
	for i := range lines {
		if link, ok := s.link(&lines[i]); ok {
			s.addStep(&lines[i], link)
		}
	}
	slices.SortStableFunc(s.steps, func(a, b Step) int { return a.Time.Compare(b.Time) })
	return s.steps
}

// requestSearch is the state of the search for the steps of one request.
type requestSearch struct {
	lines []Line
	id    string
	steps []Step

	// from and to limit the times of the lines to search.
	from, to, requestEnd time.Time
	// processes are the processes that logged the request, targets the targets that
	// their lines name.
	processes, targets map[string]bool
	// subjects are the shared parts of the request's prompt, and the request itself as a subject of
	// evidence.
	subjects map[string]bool
	// besideTargets are the processes on the VMs of the targets.
	besideTargets map[string]bool
	// noCapacity is set if the request was refused because no target was available
	// or had a free slot.
	noCapacity bool
	// announcements holds the messages of state changes that explain why targets were passed over.
	announcements map[string]bool
}

// findRequestLines evaluates the lines on the request itself and reports whether
// there are any.
func (s *requestSearch) findRequestLines() bool {
	found := false
	for i := range s.lines {
		l := &s.lines[i]
		if l.stringField(fieldRequest) != s.id {
			continue
		}
		found = true
		s.processes[l.Process] = true
		if t := l.stringField(fieldTarget); t != "" {
			s.targets[t] = true
		}
		parts, _ := l.Fields[fieldSharedParts].([]any)
		for _, p := range parts {
			if name, ok := p.(string); ok {
				s.subjects[name] = true
			}
		}
		if subject := l.stringField(fieldSubject); subject != "" {
			s.subjects[subject] = true
		}
		if code := l.stringField(fieldCode); code == codeOverloaded || code == codeNoTarget {
			s.noCapacity = true
		}
		if _, ok := l.Fields[fieldLeaving]; ok {
			s.announcements[messageLeaving] = true
		}
		if _, ok := l.Fields[fieldPaused]; ok {
			s.announcements[messagePause] = true
		}
		if l.Time.After(s.requestEnd) {
			s.requestEnd = l.Time
		}
	}
	s.from, s.to = s.requestEnd.Add(-lookback), s.requestEnd.Add(failureWindow)
	return found
}

// findProcessesBesideTargets finds the processes on the VMs of the targets: their
// admin addresses have the same hosts as the addresses of the targets.
func (s *requestSearch) findProcessesBesideTargets() {
	hosts := map[string]bool{}
	for i := range s.lines {
		if l := &s.lines[i]; l.Message == messageTarget && s.targets[l.stringField(fieldTarget)] && !l.Time.After(s.requestEnd) {
			hosts[host(l.stringField(fieldAddress))] = true
		}
	}
	s.besideTargets = map[string]bool{}
	for i := range s.lines {
		if l := &s.lines[i]; l.Message == messageStarted && hosts[host(l.stringField(fieldAdmin))] {
			s.besideTargets[l.Process] = true
		}
	}
}

// host returns the host of an address.
func host(address string) string {
	if i := strings.LastIndexByte(address, ':'); i >= 0 {
		return address[:i]
	}
	return address
}

// link returns the relation of a line to the request, or false if there is none.
func (s *requestSearch) link(l *Line) (Link, bool) {
	if l.stringField(fieldRequest) == s.id {
		return LinkRequest, true
	}
	if s.subjects[l.stringField(fieldSubject)] {
		return LinkSubject, !l.Time.After(s.requestEnd)
	}
	if s.announcements[l.Message] && s.processes[l.Process] {
		// A target stays out of use for longer than lookback.
		return LinkGateway, !l.Time.After(s.requestEnd)
	}
	if l.Time.Before(s.from) || l.Time.After(s.to) {
		return "", false
	}
	atTarget := s.targets[l.stringField(fieldTarget)]
	switch {
	case l.Message == messageRequest:
		nearRequestEnd := l.Time.Sub(s.requestEnd).Abs() <= failureWindow
		return LinkSameTarget, nearRequestEnd && atTarget && l.stringField(fieldOutcome) != outcomeServed
	case l.Time.After(s.requestEnd):
		return "", false
	case l.Message == messageTarget || l.Message == messageTargetGone:
		if atTarget {
			return LinkTarget, true
		}
		return LinkGateway, s.noCapacity && s.processes[l.Process] && l.Message == messageTargetGone
	case s.processes[l.Process]:
		return LinkGateway, true
	case s.besideTargets[l.Process]:
		return LinkBesideTarget, true
	}
	return LinkAllTargets, s.noCapacity && l.Role == roleLoader
}

// roleLoader is the role of a loader, the process on the VM of an engine.
const roleLoader = "masticwing-loader"

// addStep adds a step for a line. Failures of other requests, lines of all loaders,
// and lost targets are combined with an earlier step that has the same link and
// message.
func (s *requestSearch) addStep(l *Line, link Link) {
	if link == LinkSameTarget || link == LinkAllTargets || l.Message == messageTargetGone {
		for i := range s.steps {
			if p := &s.steps[i]; p.Link == link && p.Message == l.Message {
				p.Count++
				if !slices.Contains(p.Processes, l.Process) {
					p.Processes = append(p.Processes, l.Process)
				}
				return
			}
		}
	}
	s.steps = append(s.steps, Step{Line: *l, Link: link, Count: 1, Processes: []string{l.Process}})
}

// FieldNames returns the sorted names of a step's fields.
func (s *Step) FieldNames() []string {
	out := make([]string, 0, len(s.Fields))
	for k := range s.Fields {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}
