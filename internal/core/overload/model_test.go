package overload_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/placement"
)

const (
	service     = fleet.Service("model")
	engines     = 58
	slots       = 12
	gateways    = 18
	stride      = 5
	reportEvery = 100 * time.Millisecond
	budget      = 6 * time.Second
	leaveAfter  = 3200 * time.Millisecond
)

// class describes the requests of a route.
type class struct {
	rate, prompt, output float64
	objective            time.Duration
}

var classes = []class{
	{247, 1290, 110, 500 * time.Millisecond},
	{182, 787, 110, 400 * time.Millisecond},
	{176, 607, 70, 400 * time.Millisecond},
}

// request is a caller's request over its attempts.
type request struct {
	class         *class
	arrived, sent time.Duration
	prompt        int
	tokens        float64
	attempt       int
	prefilled     bool
	began, readAt time.Duration
	left          bool
	firstEvent    time.Duration
	ended         func()
}

// engine takes requests, and sends an event of stride tokens for each response, once in stride steps.
type engine struct {
	running, waiting []*request
	busy             bool
	// readUntil is the end of the prompts that are being read, if engines read them beside the steps.
	readUntil time.Duration
}

type simEvent struct {
	at  time.Duration
	seq int
	do  func()
}

type simQueue []simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// model is a fleet of gateways, each with its own table, and engines.
type model struct {
	// callers draws the callers, which are the same for all decisions, and rng the rest.
	rng, callers *rand.Rand
	now          time.Duration
	seq          int
	queue        simQueue
	engine       [engines]*engine
	tables       [gateways]*placement.Table
	// hop is the time from a gateway to an engine, and to another gateway.
	hop time.Duration
	// parallel makes engines read prompts beside the steps and not between them. With the measured rates
	// that gives the measured load of 81% and median of 155 ms; engines that read between the steps finish
	// 460 requests a second only.
	parallel bool
	all      []*request
	// running is the sum of the requests in slots over all reports.
	refused, running int
	// noticed tells a gateway of a request of another one.
	noticed func(gateway int)
	// pick draws the gateway of an attempt.
	pick func(intN func(int) int) int
	// handle decides about an attempt at a gateway.
	handle func(gateway int, r *request)
}

var base = time.Unix(1000, 0)

func (m *model) time() time.Time { return base.Add(m.now) }

func (m *model) after(d time.Duration, do func()) {
	m.seq++
	heap.Push(&m.queue, simEvent{m.now + d, m.seq, do})
}

func (m *model) run(until time.Duration) {
	for m.queue.Len() > 0 && m.queue[0].at <= until {
		e := heap.Pop(&m.queue).(simEvent)
		m.now = e.at
		e.do()
	}
	m.now = until
}

func newModel(seed uint64, parallel bool, hop time.Duration) *model {
	m := &model{parallel: parallel, hop: hop, rng: rand.New(rand.NewPCG(seed, 7)), callers: rand.New(rand.NewPCG(seed, 8))}
	m.pick = func(intN func(int) int) int { return intN(gateways) }
	for i := range m.engine {
		m.engine[i] = &engine{}
	}
	for g := range m.tables {
		m.tables[g] = placement.NewTable()
	}
	for i := range engines {
		m.after(time.Duration(m.rng.Int64N(int64(reportEvery))), func() { m.report(i) })
	}
	return m
}

// setServing makes all engines hold weights, or none.
func (m *model) setServing(version int64) {
	for _, t := range m.tables {
		for i := range engines {
			t.Set(placement.Target{
				Instance: instance(i), Service: service, Address: fleet.Address(instance(i)), Domain: domain(i), Slots: slots,
				Started: 1, WeightsVersion: version,
			})
			t.RecordLoadedWeights(fleet.Address(instance(i)), 1, placement.LoadedWeights{Orders: 1, Intact: 1}, m.time())
		}
	}
}

func instance(i int) fleet.Instance { return fleet.Instance(fmt.Sprint("e", i)) }
func domain(i int) fleet.Domain     { return fleet.Domain(fmt.Sprint("d", i%3)) }

func (m *model) report(i int) {
	e := m.engine[i]
	m.running += len(e.running)
	l := placement.Load{Running: len(e.running), Waiting: len(e.waiting), Slots: slots}
	m.after(m.hop, func() {
		for _, t := range m.tables {
			t.RecordLoad(instance(i), l, m.time())
		}
	})
	m.after(reportEvery, func() { m.report(i) })
}

// arrive adds callers at a rate until a time, in the proportions of the classes.
func (m *model) arrive(rate float64, until time.Duration) {
	total := 0.0
	for _, c := range classes {
		total += c.rate
	}
	var next func()
	next = func() {
		if m.now >= until {
			return
		}
		x, c := m.callers.Float64()*total, 0
		for ; x >= classes[c].rate; c++ {
			x -= classes[c].rate
		}
		k := &classes[c]
		r := m.newRequest(k)
		m.all = append(m.all, r)
		m.handle(m.pick(m.callers.IntN), r)
		m.after(time.Duration(m.callers.ExpFloat64()/rate*float64(time.Second)), next)
	}
	next()
}

func (m *model) newRequest(k *class) *request {
	const sigma = 0.7
	prompt := k.prompt * math.Exp(sigma*m.callers.NormFloat64()-sigma*sigma/2)
	tokens := k.output * (0.5 + m.callers.Float64())
	return &request{class: k, arrived: m.now, prompt: max(16, int(prompt)), tokens: tokens, attempt: 1}
}

func prefillTime(tokens int) time.Duration { return time.Duration(float64(tokens) / 19.1 * 1e6) }

func (m *model) decodeTime(running int) time.Duration {
	return time.Duration(stride * (8.87 + 0.0388*float64(running)) * 1e6)
}

func (m *model) query(gateway int, r *request) placement.Query {
	return placement.Query{
		Service: service, OwnDomain: domain(gateway), Processes: gateways, MaxQueuedPerTarget: 1, NeedsWeights: true,
		Prefill: prefillTime(r.prompt), Decode: stride * 8870 * time.Microsecond, FirstEventBy: m.time().Add(leaveAfter),
	}
}

// send sends a request that a gateway has admitted.
func (m *model) send(gateway int, r *request, c placement.Choice, ended func()) {
	var i int
	_, _ = fmt.Sscanf(string(c.Instance), "e%d", &i)
	r.sent = m.now
	r.ended = func() { m.tables[gateway].Release(c.Instance); ended() }
	m.after(m.hop, func() {
		for g, t := range m.tables {
			if g != gateway {
				t.RecordRemoteRequest(c.Instance, r.prompt, prefillTime(r.prompt), m.time())
				if m.noticed != nil {
					m.noticed(g)
				}
			}
		}
		e := m.engine[i]
		e.waiting = append(e.waiting, r)
		m.iterate(i)
	})
	m.after(leaveAfter, func() {
		if r.firstEvent == 0 {
			r.left = true
			if k := slices.Index(m.engine[i].waiting, r); k >= 0 {
				m.engine[i].waiting = slices.Delete(m.engine[i].waiting, k, k+1)
				r.ended()
			}
		}
	})
}

// iterate begins an iteration of an engine unless one is in progress.
func (m *model) iterate(i int) {
	e := m.engine[i]
	if e.busy {
		return
	}
	n := min(slots-len(e.running), len(e.waiting))
	e.running, e.waiting = append(e.running, e.waiting[:n]...), e.waiting[n:]
	if len(e.running) == 0 {
		return
	}
	d := m.decodeTime(len(e.running))
	for _, r := range e.running {
		if !r.prefilled {
			r.prefilled, r.began, r.readAt = true, m.now, m.now
			if m.parallel {
				e.readUntil = max(e.readUntil, m.now) + prefillTime(r.prompt)
				r.readAt = e.readUntil
			} else {
				d += prefillTime(r.prompt)
			}
		}
	}
	began := m.now
	e.busy = true
	m.after(d, func() {
		e.busy = false
		kept := e.running[:0]
		for _, r := range e.running {
			if r.readAt > began {
				kept = append(kept, r)
				continue
			}
			if r.tokens -= stride; r.firstEvent == 0 {
				r.firstEvent = m.now + m.hop
			}
			if r.tokens > 0 && !r.left {
				kept = append(kept, r)
			} else {
				m.after(m.hop, r.ended)
			}
		}
		e.running = kept
		m.iterate(i)
	})
}
