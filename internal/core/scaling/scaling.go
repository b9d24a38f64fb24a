package scaling

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/masticwing/masticwing/internal/core/fleet"
)

// Rules configure the decision.
type Rules struct {
	// RaiseAbove and LowerBelow bound the band of the use of the engines in which nothing is ordered, and
	// Target is the use for which an order is made; all are shares of the highest rate of an engine.
	RaiseAbove, Target, LowerBelow float64
	// RaiseInterval and LowerInterval are the shortest times from one order for a subject to the next one
	// upward and downward. An order downward also needs so long a time in which the demand was low.
	RaiseInterval, LowerInterval time.Duration
	// MaxReportAge is the age above which figures of an engine or gateway are not used.
	MaxReportAge time.Duration
	// HeardShare is the share of the engines, and of the gateways, of a domain that must be heard.
	HeardShare float64
	// FleetShare is the same for those of all domains together. It must be below the share that is left
	// after the loss of a domain, and above that of a domain that is cut off from the others.
	FleetShare float64
}

// DefaultRules returns the rules for engines that hold a dozen requests. With 81% of the slots in use, 5 to 8% of the
// requests were late without any fault, which is more than callers accept (5 in 100). At a dozen slots, and
// requests of 954 tokens and 95 tokens of output, that is 0.87 of the highest rate, so that an order is due before.
func DefaultRules() Rules {
	return Rules{
		RaiseAbove: 0.85, Target: 0.8, LowerBelow: 0.65,
		RaiseInterval: 10 * time.Second, LowerInterval: 30 * time.Second,
		MaxReportAge: time.Second, HeardShare: 0.8, FleetShare: 0.55,
	}
}

const (
	// sustainedTime is the time over which the median of the demand is taken. High samples of less than half of it have
	// no effect: bursts last 3 s, and the requests that they leave take up to 3 s more.
	sustainedTime = 13 * time.Second
	// growthTime is the distance of the medians from which growth is estimated. It is more than half of sustainedTime, in
	// which the median follows a step.
	growthTime = 7 * time.Second
	// growthNoise is the difference of two such medians that chance makes at a constant load, as a share of the demand.
	// Growth is counted beyond it.
	growthNoise = 0.06
	// weightsTime is the time for a copy of the weights, which a new engine needs beyond its start.
	weightsTime = 2500 * time.Millisecond
	// firstOrderTime is the time of figures that must be known before the first order for a subject. The
	// platform keeps the number of engines that operators set until then.
	firstOrderTime = 10 * time.Second
	// sampleInterval is the intended time between two observations, and minSamples the share of them that
	// must have been usable.
	sampleInterval = time.Second
	minSamples     = 0.6
	// maxLowering is the largest share by which the number is lowered at a time.
	maxLowering = 0.2
	// notServingTime is the time after an order by which all engines should serve, beyond the time of their
	// start: a copy of the weights takes 2 to 10 s on their links.
	notServingTime = 30 * time.Second
)

// Cause is why an order is made.
type Cause string

// The causes. The texts are the values of logs.
const (
	DemandHigh Cause = "demand_high"
	DemandLow  Cause = "demand_low"
)

// Order is an order for a subject and the figures on which it is based.
type Order struct {
	Subject
	Desired, Before int
	Cause           Cause
	// Demand is the number of engines that callers would use fully, and Expected the same when engines ordered now
	// serve. Engines and Serving are those that are registered and can serve.
	Demand, Expected float64
	Engines, Serving int
}

// State describes a subject after a decision.
type State struct {
	Subject
	// Missing is the figure without which nothing is decided.
	Missing MissingFigure
	// Demand, Engines and Serving are those of Order; Ordered is the last order or 0.
	Demand                    float64
	Engines, Serving, Ordered int
	// NotServing is set if fewer engines serve than were ordered long ago. That is not answered by a higher
	// number: the next engines would probably fail as well.
	NotServing bool
}

// subjectState is what the decision keeps of a subject.
type subjectState struct {
	// ordered is the last order, or zero, and orderedAt its time.
	ordered   int
	orderedAt time.Time
	// samples holds the demand of the last LowerInterval and sustainedTime.
	samples []sample
	// since is the time of the first sample.
	since   time.Time
	last    domainFigures
	missing MissingFigure
}

// gatewayState holds the last figures of a gateway.
type gatewayState struct {
	started int64
	totals  map[fleet.Service]Totals
}

// Planner decides on orders from figures over time. It is not safe for concurrent use.
type Planner struct {
	rules    Rules
	subjects map[Subject]*subjectState
	gateways map[string]gatewayState
	services map[fleet.Service]Service
}

// NewPlanner returns a planner without figures or orders.
func NewPlanner(r Rules) *Planner {
	return &Planner{rules: r, subjects: map[Subject]*subjectState{}, gateways: map[string]gatewayState{}, services: map[fleet.Service]Service{}}
}

// Ordered records an order that was made, also by an earlier holder of the duty. The intervals count from now.
func (p *Planner) Ordered(s Subject, desired int, now time.Time) {
	st := p.subject(s)
	st.ordered, st.orderedAt = desired, now
}

func (p *Planner) subject(s Subject) *subjectState {
	st := p.subjects[s]
	if st == nil {
		st = &subjectState{}
		p.subjects[s] = st
	}
	return st
}

// Observe adds the figures of a moment. It is called about once a second.
func (p *Planner) Observe(snap Snapshot, now time.Time) {
	deltas, sums := p.gatewayFigures(snap)
	clear(p.services)
	for _, svc := range snap.Services {
		p.services[svc.Name] = svc
		if p.check(svc) != NothingMissing {
			continue
		}
		z := sizeOf(svc.Engine.Timing, sums[svc.Name])
		domains := map[fleet.Domain]*domainFigures{}
		for _, e := range snap.Engines {
			if e.Service != svc.Name {
				continue
			}
			if domains[e.Domain] == nil {
				domains[e.Domain] = &domainFigures{}
			}
			domains[e.Domain].add(e, z, p.rules.MaxReportAge)
		}
		for d, f := range domains {
			f.gateways = deltas.heard[d]
			f.offered, f.refused = deltas.offered[Subject{svc.Name, d}], deltas.refused[Subject{svc.Name, d}]
		}
		fleetHeard := p.fleetHeard(domains, snap, deltas.heard)
		for d := range domains {
			p.subject(Subject{svc.Name, d})
		}
		for s, st := range p.subjects {
			switch {
			case s.Service != svc.Name:
			case domains[s.Domain] == nil && st.ordered == 0 && len(st.samples) == 0:
				// Other writers may register engines of any domain.
				delete(p.subjects, s)
			default:
				st.observe(domains[s.Domain], p.missing(s, domains[s.Domain], snap, fleetHeard), now, p.rules)
			}
		}
	}
}

// gatewayDeltas is what gateways state beyond the last moment.
type gatewayDeltas struct {
	heard            map[fleet.Domain]int
	offered, refused map[Subject]float64
}

// gatewayFigures returns what the gateways with recent figures state since the last moment, and their totals.
func (p *Planner) gatewayFigures(snap Snapshot) (gatewayDeltas, map[fleet.Service]Totals) {
	out := gatewayDeltas{heard: map[fleet.Domain]int{}, offered: map[Subject]float64{}, refused: map[Subject]float64{}}
	sums := map[fleet.Service]Totals{}
	states := make(map[string]gatewayState, len(snap.Gateways))
	for _, g := range snap.Gateways {
		before, known := p.gateways[g.ID]
		if g.Age > p.rules.MaxReportAge {
			// The figures count from here when the gateway is heard again.
			continue
		}
		states[g.ID] = gatewayState{g.Started, g.Totals}
		out.heard[g.Domain]++
		for name, t := range g.Totals {
			sum := sums[name]
			sum.Offered, sum.Refused = sum.Offered+t.Offered, sum.Refused+t.Refused
			sum.PromptTokens, sum.OutputTokens = sum.PromptTokens+t.PromptTokens, sum.OutputTokens+t.OutputTokens
			sums[name] = sum
			if last := before.totals[name]; known && before.started == g.Started && t.Offered >= last.Offered && t.Refused >= last.Refused {
				out.offered[Subject{name, g.Domain}] += float64(t.Offered - last.Offered)
				out.refused[Subject{name, g.Domain}] += float64(t.Refused - last.Refused)
			}
		}
	}
	p.gateways = states
	return out, sums
}

// fleetHeard reports whether the usual share of all engines of a service, and of all gateways, is heard.
func (p *Planner) fleetHeard(domains map[fleet.Domain]*domainFigures, snap Snapshot, gateways map[fleet.Domain]int) bool {
	serving, heard, registered, known := 0, 0, 0, 0
	for _, f := range domains {
		serving, heard = serving+f.serving, heard+f.heard
	}
	for d, n := range snap.Registered {
		registered, known = registered+n, known+min(n, gateways[d])
	}
	return p.enough(heard, serving, p.rules.FleetShare) && (len(snap.Gateways) == 0 || p.enough(known, registered, p.rules.FleetShare))
}

func (p *Planner) enough(heard, of int, share float64) bool {
	return float64(heard) >= share*float64(of)
}

// missing returns the figure that a subject lacks now.
func (p *Planner) missing(s Subject, f *domainFigures, snap Snapshot, fleetHeard bool) MissingFigure {
	switch {
	case snap.Cordoned[s.Domain]:
		return MissingDomain
	case !fleetHeard:
		return MissingFleet
	case f == nil || f.serving == 0:
		return MissingEngines
	case f.heard == 0 || !p.enough(f.heard, f.serving, p.rules.HeardShare):
		return MissingReports
	case !p.enough(f.heard-f.unsettled, f.heard, p.rules.HeardShare):
		// The requests that such engines don't take are elsewhere, or refused, until they have settled.
		return MissingSettled
	case len(snap.Gateways) > 0 && !p.enough(f.gateways, snap.Registered[s.Domain], p.rules.HeardShare):
		return MissingGateways
	}
	return NothingMissing
}

// check returns what a service's configuration lacks.
func (p *Planner) check(svc Service) MissingFigure {
	switch {
	case svc.Engine == nil:
		return MissingEngineType
	case svc.Min > svc.Max || svc.Max <= 0:
		return MissingLimits
	}
	return NothingMissing
}

// observe adds the figures of a moment.
func (st *subjectState) observe(f *domainFigures, missing MissingFigure, now time.Time, r Rules) {
	st.missing, st.last = missing, domainFigures{}
	if f != nil {
		st.last = *f
	}
	oldest := now.Add(-r.LowerInterval - sustainedTime)
	st.samples = slices.DeleteFunc(st.samples, func(x sample) bool { return !x.at.After(oldest) })
	if missing != NothingMissing {
		return
	}
	if len(st.samples) == 0 {
		st.since = now
	}
	st.samples = append(st.samples, sample{now, f.demand(), f.engines})
}

// sustained returns the median demand of the time sustainedTime before end, or false if too little of it is known.
func (st *subjectState) sustained(end time.Time) (float64, bool) {
	var ds []float64
	for _, x := range st.samples {
		if x.at.After(end.Add(-sustainedTime)) && !x.at.After(end) {
			ds = append(ds, x.demand)
		}
	}
	if float64(len(ds)) < minSamples*float64(sustainedTime/sampleInterval) {
		return 0, false
	}
	slices.Sort(ds)
	return ds[len(ds)/2], true
}

// growth returns the growth of the demand in a second. It is the lower one of two differences one after the other, of
// which a step changes one only, and zero if the demand falls or too little is known.
func (st *subjectState) growth(now time.Time) float64 {
	a, hasFirst := st.sustained(now.Add(-2 * growthTime))
	b, hasSecond := st.sustained(now.Add(-growthTime))
	c, hasThird := st.sustained(now)
	if !hasFirst || !hasSecond || !hasThird {
		return 0
	}
	return max(0, min(b-a, c-b)-growthNoise*c) / growthTime.Seconds()
}

// mostEngines returns the highest number of engines in the samples. After an outage of the store engines are
// missing for some seconds, until they have registered again.
func (st *subjectState) mostEngines() int {
	most := 0
	for _, x := range st.samples {
		most = max(most, x.engines)
	}
	return most
}

// highest returns the highest sustained demand of a time before now, or false if too little of it is known.
func (st *subjectState) highest(d time.Duration, now time.Time) (float64, bool) {
	highest := 0.0
	for end := now.Add(-d); !end.After(now); end = end.Add(sampleInterval) {
		v, ok := st.sustained(end)
		if !ok {
			return 0, false
		}
		highest = max(highest, v)
	}
	return highest, true
}

// Decide returns the orders that are due, and the states of all subjects. No order is made for a subject for which
// blocked returns true: the outcome of its last one is not known, and a late one could replace the next.
func (p *Planner) Decide(now time.Time, blocked func(Subject) bool) (orders []Order, states []State) {
	for _, svc := range p.services {
		if m := p.check(svc); m != NothingMissing {
			states = append(states, State{Subject: Subject{Service: svc.Name}, Missing: m})
		}
	}
	for s, st := range p.subjects {
		svc, ok := p.services[s.Service]
		if !ok || p.check(svc) != NothingMissing {
			continue
		}
		state := State{
			Subject: s, Missing: st.missing, Engines: st.last.engines, Serving: st.last.serving, Ordered: st.ordered,
			NotServing: st.ordered > st.last.serving && now.Sub(st.orderedAt) > svc.Boot+notServingTime,
		}
		demand, known := st.sustained(now)
		if state.Demand = demand; state.Missing == NothingMissing && (!known || now.Sub(st.since) < firstOrderTime) {
			state.Missing = MissingHistory
		}
		if state.Missing == NothingMissing {
			if o, ok := p.order(s, st, svc, demand, now); ok && !blocked(s) {
				orders = append(orders, o)
			}
		}
		states = append(states, state)
	}
	slices.SortFunc(orders, func(a, b Order) int { return a.Subject.compare(b.Subject) })
	slices.SortFunc(states, func(a, b State) int { return a.Subject.compare(b.Subject) })
	return orders, states
}

func (s Subject) compare(o Subject) int {
	if c := strings.Compare(string(s.Service), string(o.Service)); c != 0 {
		return c
	}
	return strings.Compare(string(s.Domain), string(o.Domain))
}

// order returns the order for a subject whose figures are known, if one is due.
func (p *Planner) order(s Subject, st *subjectState, svc Service, demand float64, now time.Time) (Order, bool) {
	o := Order{Subject: s, Demand: demand, Engines: st.last.engines, Serving: st.last.serving, Before: st.ordered}
	if st.ordered == 0 {
		o.Before = st.mostEngines()
	}
	since := now.Sub(st.orderedAt)
	// The median is as old as half of its time, and the engines serve later.
	lead := sustainedTime/2 + svc.Boot + weightsTime
	o.Expected = demand + st.growth(now)*lead.Seconds()
	// Operators may have added engines beyond the order.
	if o.Expected > p.rules.RaiseAbove*float64(max(o.Before, st.last.engines)) && since >= p.rules.RaiseInterval {
		o.Cause, o.Desired = DemandHigh, min(max(p.engines(o.Expected), svc.Min), svc.Max)
		return o, o.Desired > o.Before
	}
	if demand >= p.rules.LowerBelow*float64(o.Before) || since < p.rules.LowerInterval {
		return o, false
	}
	highest, ok := st.highest(p.rules.LowerInterval, now)
	if !ok || highest >= p.rules.LowerBelow*float64(o.Before) {
		return o, false
	}
	lowest := o.Before - int(maxLowering*float64(o.Before))
	o.Cause, o.Desired = DemandLow, min(max(p.engines(highest), lowest, svc.Min), svc.Max)
	return o, o.Desired < o.Before
}

// engines returns the number of engines that serve a demand at the intended use.
func (p *Planner) engines(demand float64) int { return int(math.Ceil(demand / p.rules.Target)) }
