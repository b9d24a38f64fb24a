package ledger

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/google/uuid"
	"github.com/sourcegraph/conc"

	"github.com/masticwing/masticwing/internal/adapter/kvhttp"
	"github.com/masticwing/masticwing/internal/adapter/sysclock"
	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/shard"
	"github.com/masticwing/masticwing/internal/core/verdict"
	"github.com/masticwing/masticwing/internal/port"
	"github.com/masticwing/masticwing/internal/standin/platform"
)

var seedFlag = flag.Uint64("seed", 0, "seed of the history test; 0 draws one")

// told is the output of one operation on a key.
type told struct {
	// attempt names the operation in the service's log.
	attempt string
	// ran says whether the service ran the call for this attempt.
	ran     bool
	verdict verdict.Verdict
	// count is the number of runs at the service, for the last operation of a
	// key, and -1 for all others.
	count int
}

// onceModel allows one run per key, and the verdict "ran" only after it. An
// attempt that is told "not run" must not have run.
var onceModel = porcupine.Model{
	Partition: func(h []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[any][]porcupine.Operation{}
		for _, op := range h {
			byKey[op.Input] = append(byKey[op.Input], op)
		}
		var out [][]porcupine.Operation
		for _, ops := range byKey {
			out = append(out, ops)
		}
		return out
	},
	Init: func() any { return false },
	Step: func(state, _, output any) (bool, any) {
		ran, out := state.(bool), output.(told)
		switch {
		case out.count >= 0:
			return out.count <= 1 && (out.count == 1) == ran, ran
		case out.ran:
			return !ran && out.verdict != verdict.NotRun, true
		case out.verdict == verdict.Ran:
			return ran, ran
		default:
			return true, ran
		}
	},
}

// flakyKV pauses before and after some writes, as a paused process does, loses
// some, and lets some take effect after their caller was told that the outcome
// is unknown.
type flakyKV struct {
	port.KV
	late *conc.WaitGroup

	mu  sync.Mutex
	rnd *rand.Rand
}

func (f *flakyKV) draw(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rnd.IntN(n)
}

func (f *flakyKV) pause() {
	if f.draw(20) == 0 {
		time.Sleep(time.Duration(f.draw(300)) * time.Millisecond)
	}
}

// CompareAndSwap implements port.KV.
func (f *flakyKV) CompareAndSwap(ctx context.Context, k string, rev int64, v []byte, l port.LeaseID) (int64, error) {
	f.pause()
	defer f.pause()
	switch f.draw(30) {
	case 0:
		return 0, port.ErrUnknownOutcome
	case 1:
		f.late.Go(func() {
			time.Sleep(time.Duration(f.draw(400)) * time.Millisecond)
			_, _ = f.KV.CompareAndSwap(context.Background(), k, rev, v, l)
		})
		return 0, port.ErrUnknownOutcome
	default:
		return f.KV.CompareAndSwap(ctx, k, rev, v, l)
	}
}

// world is several ledgers over one platform, the service that they guard, and
// the history.
type world struct {
	seed    uint64
	addr    fleet.Address
	url     string
	slots   [3]atomic.Pointer[Ledger]
	runs    *shard.Map[string, []string] // attempts that ran, by key
	started time.Time

	mu      sync.Mutex
	ops     []porcupine.Operation
	ledgers []*Ledger
	wg      conc.WaitGroup // the ledgers' Run and late writes
	end     context.CancelFunc
	ctx     context.Context
}

func newWorld(t testing.TB, seed uint64) *world {
	srv := httptest.NewServer(platform.New().Handler())
	t.Cleanup(srv.Close)
	w := &world{
		seed: seed, url: srv.URL, addr: fleet.Address(strings.TrimPrefix(srv.URL, "http://")),
		runs: shard.New[string, []string](0), started: time.Now(),
	}
	w.ctx, w.end = context.WithCancel(context.Background())
	for i := range w.slots {
		w.restart(i)
	}
	return w
}

// restart puts a new ledger into a slot. The old one is not told, so that it
// is at work together with its successor, as a paused process may be.
func (w *world) restart(slot int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	kv := &flakyKV{
		KV: kvhttp.New(w.addr), late: &w.wg,
		rnd: rand.New(rand.NewPCG(w.seed, uint64(1000+len(w.ledgers)))),
	}
	l := New(kv, sysclock.Clock{}, sysclock.Rand{}, Options{WritesPerSecond: 100, MaxWait: time.Second})
	w.ledgers = append(w.ledgers, l)
	w.wg.Go(func() { _ = l.Run(w.ctx) })
	w.slots[slot].Store(l)
}

func (w *world) faults(t testing.TB, f platform.Faults) {
	t.Helper()
	b, err := json.Marshal(f)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.Post(w.url+"/faults", "application/json", bytes.NewReader(b))
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
}

// disturb switches faults and restarts ledgers until stop is closed.
func (w *world) disturb(t *testing.T, rnd *rand.Rand, stop <-chan struct{}) {
	all := []platform.Faults{
		{}, {}, {LoseWriteAnswers: 0.5}, {LoseWriteAnswers: 1}, {Down: true}, {DelayMillis: 60},
		{DelayMillis: 30, LoseWriteAnswers: 0.3}, {StaleReads: true}, {StaleReads: true, LoseWriteAnswers: 0.3},
	}
	for {
		w.faults(t, all[rnd.IntN(len(all))])
		if rnd.IntN(3) == 0 {
			w.restart(rnd.IntN(len(w.slots)))
		}
		select {
		case <-stop:
			w.faults(t, platform.Faults{})
			return
		case <-time.After(time.Duration(50+rnd.IntN(150)) * time.Millisecond):
		}
	}
}

// call is one attempt of a caller through an agent.
func (w *world) call(rnd *rand.Rand, client int, key string) verdict.Verdict {
	out := told{attempt: fmt.Sprintf("%d-%d", client, rnd.Uint64()), count: -1}
	at := time.Since(w.started)
	out.verdict = w.attempt(rnd, out.attempt, key)
	w.record(client, key, at, out)
	return out.verdict
}

func (w *world) attempt(rnd *rand.Rand, id, key string) verdict.Verdict {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(20+rnd.IntN(800))*time.Millisecond)
	defer cancel()
	l := w.slots[rnd.IntN(len(w.slots))].Load()
	tk, _, err := l.Begin(ctx, port.LedgerKey{Service: "nursery", Customer: "c", Key: key}, port.ContentDigest{})
	switch {
	case err != nil:
		return verdict.FromError(err).Verdict
	case tk == nil:
		return verdict.Ran
	case rnd.IntN(8) == 0:
		tk.NotRun()
		return verdict.NotRun
	}
	time.Sleep(time.Duration(rnd.IntN(20)) * time.Millisecond)
	w.runs.Update(key, func(ids []string, _ bool) ([]string, bool) { return append(ids, id), true })
	switch rnd.IntN(4) {
	case 0:
		tk.Unknown()
		return verdict.MayHaveRun
	case 1:
		tk.Done(nil)
	default:
		tk.Done(&port.StoredAnswer{Body: []byte(id)})
	}
	return verdict.Ran
}

func (w *world) record(client int, key string, at time.Duration, out told) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ops = append(w.ops, porcupine.Operation{
		ClientId: client, Input: key, Call: int64(at), Output: out, Return: int64(time.Since(w.started)),
	})
}

// history returns the operations with what the service's log says of each, and
// a last read of the log for each key.
func (w *world) history() []porcupine.Operation {
	last := map[string]bool{}
	for i, op := range w.ops {
		key, out := op.Input.(string), op.Output.(told)
		last[key] = true
		ids, _ := w.runs.Get(key)
		out.ran = slices.Contains(ids, out.attempt)
		w.ops[i].Output = out
	}
	for key := range last {
		ids, _ := w.runs.Get(key)
		w.record(0, key, time.Since(w.started), told{count: len(ids)})
	}
	return w.ops
}

const (
	clients = 12
	runTime = 4 * time.Second
)

// TestHistory guards against a call that runs twice for one key, and against
// a verdict that is not true, with several ledgers over one platform: outages,
// slow and lost answers, stale reads, pauses, callers that give up, and ledgers
// that are replaced while they are at work.
func TestHistory(t *testing.T) {
	seed := *seedFlag
	if seed == 0 {
		seed = rand.Uint64()
	}
	t.Logf("seed %d; set it with -seed", seed)
	w := newWorld(t, seed)
	var keys [4]atomic.Value // keys that clients use at present
	for i := range keys {
		keys[i].Store(uuid.Must(uuid.NewV7()).String())
	}
	stop := make(chan struct{})
	var wg conc.WaitGroup
	wg.Go(func() { w.disturb(t, rand.New(rand.NewPCG(seed, 1)), stop) })
	var told [3]atomic.Int64
	for c := range clients {
		rnd := rand.New(rand.NewPCG(seed, uint64(100+c)))
		wg.Go(func() {
			for time.Since(w.started) < runTime {
				slot := rnd.IntN(len(keys))
				key := keys[slot].Load().(string)
				told[w.call(rnd, c, key)].Add(1)
				if rnd.IntN(12) == 0 {
					keys[slot].CompareAndSwap(key, uuid.Must(uuid.NewV7()).String())
				}
			}
		})
	}
	time.Sleep(runTime)
	close(stop)
	wg.Wait()
	w.end()
	w.wg.Wait()
	h := w.history()
	t.Logf("%d operations on %d keys, %d ledgers; told not-run %d, may-have-run %d, ran %d", len(h), w.runs.Len(),
		len(w.ledgers), told[verdict.NotRun].Load(), told[verdict.MayHaveRun].Load(), told[verdict.Ran].Load())
	if w.runs.Len() < 10 {
		t.Errorf("only %d keys ran, which checks little", w.runs.Len())
	}
	if res := porcupine.CheckOperationsTimeout(onceModel, h, time.Minute); res != porcupine.Ok {
		t.Errorf("history is not linearizable (%v), seed %d", res, seed)
	}
}
