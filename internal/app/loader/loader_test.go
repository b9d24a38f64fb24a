package loader

import (
	"bytes"
	"context"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/masticwing/masticwing/internal/adapter/logging"
	"github.com/masticwing/masticwing/internal/adapter/sysclock"
	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/manifest"
	"github.com/masticwing/masticwing/internal/core/routes"
	"github.com/masticwing/masticwing/internal/port"
	"github.com/masticwing/masticwing/internal/port/porttest"
)

type noMetrics struct{}

func (noMetrics) Count(string, int64, ...port.Attr)           {}
func (noMetrics) Seconds(string, time.Duration, ...port.Attr) {}
func (noMetrics) Gauge(string, float64, ...port.Attr)         {}

const chunkBytes = 512

// weightsOf returns the weights with a number.
func weightsOf(number int64) []byte {
	return bytes.Repeat([]byte{byte(number), 1, 2, 3}, 4*chunkBytes/4)
}

// engine is a model engine with an area for chunks.
type engine struct {
	mu     sync.Mutex
	report port.EngineReport
	area   map[int][]byte
	loaded []byte
	spoil  int // writes that go bad in the area
	lose   int // orders that are accepted without an answer
	refuse int // orders that are refused
	orders []port.StagedLoadOrder
}

func newEngine(number int64) *engine {
	e := &engine{area: map[int][]byte{}, report: port.EngineReport{Started: 1}}
	if number > 0 {
		e.report.Held = []port.ModelWeights{{Model: "m", Number: number}}
	}
	return e
}

func (e *engine) Report(context.Context) (port.EngineReport, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.report, nil
}

func (e *engine) StagedChunks(context.Context, fleet.Model) ([]int, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []int
	for i := range e.area {
		out = append(out, i)
	}
	return out, nil
}

func (e *engine) ReadChunk(_ context.Context, _ fleet.Model, i int) ([]byte, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return bytes.Clone(e.area[i]), nil
}

func (e *engine) WriteChunk(_ context.Context, _ fleet.Model, i int, data []byte) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.area[i] = bytes.Clone(data)
	if e.spoil > 0 {
		e.spoil--
		e.area[i][0]++
	}
	return nil
}

func (e *engine) LoadStaged(_ context.Context, o port.StagedLoadOrder) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.refuse > 0 {
		e.refuse--
		return port.ErrOrderRefused
	}
	if o.ExpectOrderCount != e.report.OrderCount {
		return port.ErrOrderRefused
	}
	e.orders = append(e.orders, o)
	e.report.OrderCount++
	e.report.Held = []port.ModelWeights{o.ModelWeights}
	e.loaded = nil
	for i := range len(e.area) {
		e.loaded = append(e.loaded, e.area[i]...)
	}
	if e.lose > 0 {
		e.lose--
		return errors.New("no answer")
	}
	return nil
}

// origin spoils some manifests.
type origin struct {
	mu    sync.Mutex
	spoil int
	asked int
}

func (o *origin) Manifest(_ context.Context, w port.ModelWeights) (manifest.Manifest, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.asked++
	man := manifest.Split(w.Model, weightsOf(w.Number), chunkBytes)
	if o.spoil > 0 {
		o.spoil--
		man.Chunks[1].Digest[0]++
	}
	return man, nil
}

func (o *origin) Chunk(_ context.Context, w port.ModelWeights, i int) (io.ReadCloser, error) {
	return io.NopCloser(bytes.NewReader(weightsOf(w.Number)[i*chunkBytes : (i+1)*chunkBytes])), nil
}

type noPeers struct{ port.PeerClient }

type noFacts struct{ port.ItemDecoder }

func (noFacts) Prefixes() port.Prefixes {
	return port.Prefixes{Config: "config", Weights: "weights/", Members: "members/"}
}

// newLoader returns a loader of a service with one engine, whose bound for new
// weights is short.
func newLoader(e *engine, o *origin) *Loader {
	set := Settings{Service: "s", WeightsBound: time.Second}
	set.Domain, set.Regions = "a", map[fleet.Domain]fleet.Region{"a": "r"}
	set.ID = "vm"
	l := New(set, Deps{
		Engine: e, Origin: func(fleet.Address) port.NumberedOrigin { return o }, Peers: noPeers{}, Facts: noFacts{},
		Clock: sysclock.Clock{}, Rand: sysclock.Rand{}, Metrics: noMetrics{}, Log: logging.New(io.Discard, "loader", "vm"),
	})
	l.view.config = routes.Compile(routes.Config{Services: []routes.Service{
		{Name: "s", Engine: &routes.Engine{Slots: 16, Models: []fleet.Model{"m"}}}, {Name: "o", Origin: "1.2.3.4:5"},
	}})
	return l
}

func (l *Loader) declareForTest(number int64) {
	l.view.mu.Lock()
	defer l.view.mu.Unlock()
	l.view.declare(declaredWeights{port.ModelWeights{Model: "m", Number: number}, time.Now(), false}, number)
	signal(l.view.declaredNews)
}

// until runs the loader until the engine holds a number, or fails.
func (l *Loader) until(t *testing.T, e *engine, number int64) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
	var wg conc.WaitGroup
	defer wg.Wait()
	defer cancel()
	wg.Go(func() { l.chunks.Run(ctx) })
	wg.Go(func() { l.fetchDeclared(ctx) })
	wg.Go(func() { l.converge(ctx) })
	for ctx.Err() == nil {
		r, _ := e.Report(ctx)
		l.seen.set(&r)
		if heldOf(&r).Number == number {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("the engine does not hold weights %d", number)
}

func (e *engine) check(t *testing.T, number int64) {
	t.Helper()
	if !bytes.Equal(e.loaded, weightsOf(number)) {
		t.Error("the engine loaded other bytes")
	}
}

// TestNewWeights guards against weights that are loaded although a chunk went bad
// in the engine's area, and against a manifest that the origin spoilt.
func TestNewWeights(t *testing.T) {
	e, o := newEngine(1), &origin{spoil: 1}
	e.spoil = 2
	l := newLoader(e, o)
	l.declareForTest(2)
	l.until(t, e, 2)
	e.check(t, 2)
	if o.asked != 3 {
		t.Errorf("the origin was asked for %d manifests, want 3", o.asked)
	}
}

// TestEmptyEngine guards against an engine that stays empty because no weights
// were ever declared, or that waits for a turn although it serves nothing.
func TestEmptyEngine(t *testing.T) {
	e := newEngine(0)
	newLoader(e, &origin{}).until(t, e, firstNumber)
	e.check(t, firstNumber)
}

// TestOrderWithoutAnswer guards against a second order after one that was
// accepted without an answer, and against a refused one that is given up.
func TestOrderWithoutAnswer(t *testing.T) {
	for name, e := range map[string]*engine{"lost": {lose: 1}, "refused": {refuse: 1}} {
		e.area, e.report = map[int][]byte{}, port.EngineReport{Started: 1}
		newLoader(e, &origin{}).until(t, e, firstNumber)
		if len(e.orders) != 1 {
			t.Errorf("%s: %d orders were accepted", name, len(e.orders))
		}
	}
}

// TestNewerWeightsMeanwhile guards against an engine that keeps weights because
// newer ones were declared before it loaded the declared ones.
func TestNewerWeightsMeanwhile(t *testing.T) {
	e := newEngine(1)
	l := newLoader(e, &origin{})
	l.declareForTest(2)
	l.declareForTest(3)
	l.until(t, e, 3)
	e.check(t, 3)
}

// TestFetchWithoutEngine guards against a loader whose engine is down and that
// fetches nothing: others of its chain wait for chunks that only it would draw
// from the origin.
func TestFetchWithoutEngine(t *testing.T) {
	l := newLoader(newEngine(1), &origin{})
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	var wg conc.WaitGroup
	defer wg.Wait()
	defer cancel()
	wg.Go(func() { l.chunks.Run(ctx) })
	wg.Go(func() { l.fetchDeclared(ctx) })
	l.declareForTest(2)
	id := manifest.Split("m", weightsOf(2), chunkBytes).Version()
	for !l.complete(id) {
		if ctx.Err() != nil {
			t.Fatal("nothing was fetched")
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// TestGoal guards against a turn that is counted from the newest declaration,
// which would let old weights serve beyond the bound of the one before.
func TestGoal(t *testing.T) {
	l := newLoader(newEngine(1), &origin{})
	v := l.view
	now := time.Now()
	v.declared = []declaredWeights{
		{port.ModelWeights{Model: "m", Number: 2}, now.Add(-3 * time.Second), false},
		{port.ModelWeights{Model: "m", Number: 3}, now, true},
	}
	g, ok := v.goal(port.ModelWeights{Model: "m", Number: 1})
	if !ok || g.Number != 3 || !g.since.Equal(now.Add(-3*time.Second)) || g.now {
		t.Errorf("goal %+v", g)
	}
	if g, _ = v.goal(port.ModelWeights{Model: "m", Number: 2}); !g.since.Equal(now) || !g.now {
		t.Errorf("goal %+v; a declaration that was found is urgent", g)
	}
	if g, _ = v.goal(port.ModelWeights{}); !g.now || !g.staged {
		t.Errorf("goal of an empty engine %+v", g)
	}
}

// TestTurnsOfDomains guards against a failure domain that loses all its engines
// at a time, and against two engines with the same turn.
func TestTurnsOfDomains(t *testing.T) {
	ranks := map[int]string{}
	for _, d := range []fleet.Domain{"a", "b"} {
		for _, id := range []string{"0", "1", "2"} {
			l := newLoader(newEngine(1), &origin{})
			l.view.set.Domain, l.view.set.ID = d, string(d)+id
			for _, m := range []string{"a0", "a1", "a2", "b0", "b1", "b2"} {
				l.view.members[m] = port.StoredMember{ID: m, Kind: "agent", Service: "s", Domain: fleet.Domain(m[:1])}
			}
			rank, count := l.view.turn(7)
			if count != 6 || ranks[rank] != "" {
				t.Errorf("%s: rank %d of %d, as %s", l.view.set.ID, rank, count, ranks[rank])
			}
			ranks[rank] = l.view.set.ID
		}
	}
	for r := 1; r < 6; r++ {
		if ranks[r][0] == ranks[r-1][0] {
			t.Errorf("ranks %d and %d are both of domain %c", r-1, r, ranks[r][0])
		}
	}
}

// TestDeclarationsAreKept guards against a declaration that is taken twice, and
// one that goes back.
func TestDeclarationsAreKept(t *testing.T) {
	l := newLoader(newEngine(1), &origin{})
	for _, n := range []int64{2, 2, 1, 3} {
		l.declareForTest(n)
	}
	if n := len(l.view.declared); n != 2 {
		t.Errorf("%d declarations, want 2", n)
	}
}

// TestSilentStoreHidesNoDeclaration guards against a loader that misses declared
// weights for as long as it waits on a connection that went silent. They have to
// be in use within 8 s.
func TestSilentStoreHidesNoDeclaration(t *testing.T) {
	l := newLoader(newEngine(1), &origin{})
	s := &porttest.Waits{}
	l.source.Store = s
	if _, _, err := l.source.Changes(context.Background(), l.deps.Facts.Prefixes().Weights, 0, watchWait); err != nil {
		t.Fatal(err)
	}
	if s.Last > 3*time.Second {
		t.Errorf("a call waits %v", s.Last)
	}
}
