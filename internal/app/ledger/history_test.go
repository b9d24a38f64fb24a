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
	"github.com/masticwing/masticwing/internal/adapter/ledgerdoc"
	"github.com/masticwing/masticwing/internal/adapter/sysclock"
	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/shard"
	"github.com/masticwing/masticwing/internal/core/verdict"
	"github.com/masticwing/masticwing/internal/port"
	"github.com/masticwing/masticwing/internal/standin/platform"
)

var seedFlag = flag.Uint64("seed", 0, "seed of TestHistory; 0 chooses a random one")

// result is the output of one operation on a key.
type result struct {
	// attempt identifies the operation in harness.runs.
	attempt string
	// ran reports whether the service ran the call for this attempt.
	ran     bool
	verdict verdict.Verdict
	// count is the number of runs of the key at the service. It is set for the
	// last operation on a key and -1 for all others.
	count int
}

// atMostOnceModel allows one run per key, and the verdict "ran" only after that
// run. An attempt with the verdict "not run" must not have run.
var atMostOnceModel = porcupine.Model{
	Partition: func(ops []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[any][]porcupine.Operation{}
		for _, op := range ops {
			byKey[op.Input] = append(byKey[op.Input], op)
		}
		var out [][]porcupine.Operation
		for _, keyOps := range byKey {
			out = append(out, keyOps)
		}
		return out
	},
	Init: func() any { return false },
	Step: func(state, _, output any) (bool, any) {
		ran, out := state.(bool), output.(result)
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

// flakyKV delays the caller before or after some writes, like a paused process,
// drops some, and applies some only after it has returned ErrUnknownOutcome.
type flakyKV struct {
	port.KV
	delayedWrites *conc.WaitGroup

	mu  sync.Mutex
	rnd *rand.Rand
}

func (f *flakyKV) intN(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rnd.IntN(n)
}

func (f *flakyKV) pause() {
	if f.intN(20) == 0 {
		time.Sleep(time.Duration(f.intN(300)) * time.Millisecond)
	}
}

// CompareAndSwap implements port.KV.
func (f *flakyKV) CompareAndSwap(ctx context.Context, k string, rev int64, v []byte, l port.LeaseID) (int64, error) {
	f.pause()
	defer f.pause()
	switch f.intN(30) {
	case 0:
		return 0, port.ErrUnknownOutcome
	case 1:
		f.delayedWrites.Go(func() {
			time.Sleep(time.Duration(f.intN(400)) * time.Millisecond)
			_, _ = f.KV.CompareAndSwap(context.Background(), k, rev, v, l)
		})
		return 0, port.ErrUnknownOutcome
	default:
		return f.KV.CompareAndSwap(ctx, k, rev, v, l)
	}
}

// harness runs several ledgers on one platform together with the service that
// they protect, and records the operations.
type harness struct {
	seed    uint64
	addr    fleet.Address
	url     string
	current [3]atomic.Pointer[Ledger]    // ledgers that receive new calls
	runs    *shard.Map[string, []string] // attempts that ran at the service, by key
	started time.Time

	mu      sync.Mutex
	ops     []porcupine.Operation
	ledgers []*Ledger      // all ledgers, including the replaced ones
	wg      conc.WaitGroup // Run of the ledgers, and delayed writes
	cancel  context.CancelFunc
	ctx     context.Context
}

func newHarness(t testing.TB, seed uint64) *harness {
	srv := httptest.NewServer(platform.New().Handler())
	t.Cleanup(srv.Close)
	h := &harness{
		seed: seed, url: srv.URL, addr: fleet.Address(strings.TrimPrefix(srv.URL, "http://")),
		runs: shard.New[string, []string](0), started: time.Now(),
	}
	h.ctx, h.cancel = context.WithCancel(context.Background())
	for i := range h.current {
		h.replaceLedger(i)
	}
	return h
}

// replaceLedger replaces one of the current ledgers by a new one. The old ledger
// keeps running alongside, like a process that was paused and then resumed.
func (h *harness) replaceLedger(i int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	kv := &flakyKV{
		KV: kvhttp.New(h.addr), delayedWrites: &h.wg,
		rnd: rand.New(rand.NewPCG(h.seed, uint64(1000+len(h.ledgers)))),
	}
	l := New(kv, ledgerdoc.Codec{}, sysclock.Clock{}, sysclock.Rand{}, Options{WritesPerSecond: 100, MaxWait: time.Second})
	h.ledgers = append(h.ledgers, l)
	h.wg.Go(func() { _ = l.Run(h.ctx) })
	h.current[i].Store(l)
}

func (h *harness) setFaults(t testing.TB, f platform.Faults) {
	t.Helper()
	b, err := json.Marshal(f)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.Post(h.url+"/faults", "application/json", bytes.NewReader(b))
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
}

// injectFaults changes the platform's faults and replaces ledgers until stop is
// closed.
func (h *harness) injectFaults(t *testing.T, rnd *rand.Rand, stop <-chan struct{}) {
	faults := []platform.Faults{
		{}, {}, {LoseWriteAnswers: 0.5}, {LoseWriteAnswers: 1}, {Down: true}, {DelayMillis: 60},
		{DelayMillis: 30, LoseWriteAnswers: 0.3}, {StaleReads: true}, {StaleReads: true, LoseWriteAnswers: 0.3},
	}
	for {
		h.setFaults(t, faults[rnd.IntN(len(faults))])
		if rnd.IntN(3) == 0 {
			h.replaceLedger(rnd.IntN(len(h.current)))
		}
		select {
		case <-stop:
			h.setFaults(t, platform.Faults{})
			return
		case <-time.After(time.Duration(50+rnd.IntN(150)) * time.Millisecond):
		}
	}
}

// call makes one attempt of a client and records its result.
func (h *harness) call(rnd *rand.Rand, client int, key string) verdict.Verdict {
	out := result{attempt: fmt.Sprintf("%d-%d", client, rnd.Uint64()), count: -1}
	start := time.Since(h.started)
	out.verdict = h.attempt(rnd, out.attempt, key)
	h.record(client, key, start, out)
	return out.verdict
}

// attempt makes one attempt through a random ledger and returns the verdict that
// the client gets.
func (h *harness) attempt(rnd *rand.Rand, id, key string) verdict.Verdict {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(20+rnd.IntN(800))*time.Millisecond)
	defer cancel()
	l := h.current[rnd.IntN(len(h.current))].Load()
	claim, _, err := l.Begin(ctx, port.LedgerKey{Service: "nursery", Customer: "c", Key: key}, port.ContentDigest{})
	switch {
	case err != nil:
		return verdict.FromError(err).Verdict
	case claim == nil:
		return verdict.Ran
	case rnd.IntN(8) == 0:
		claim.NotRun()
		return verdict.NotRun
	}
	time.Sleep(time.Duration(rnd.IntN(20)) * time.Millisecond)
	h.runs.Update(key, func(ids []string, _ bool) ([]string, bool) { return append(ids, id), true })
	switch rnd.IntN(4) {
	case 0:
		claim.Unknown()
		return verdict.MayHaveRun
	case 1:
		claim.Done(nil)
	default:
		claim.Done(&port.StoredAnswer{Body: []byte(id)})
	}
	return verdict.Ran
}

func (h *harness) record(client int, key string, start time.Duration, out result) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, porcupine.Operation{
		ClientId: client, Input: key, Call: int64(start), Output: out, Return: int64(time.Since(h.started)),
	})
}

// history returns the operations, completed with whether the service ran the
// call, and a final operation per key with the number of its runs.
func (h *harness) history() []porcupine.Operation {
	keys := map[string]bool{}
	for i, op := range h.ops {
		key, out := op.Input.(string), op.Output.(result)
		keys[key] = true
		ids, _ := h.runs.Get(key)
		out.ran = slices.Contains(ids, out.attempt)
		h.ops[i].Output = out
	}
	for key := range keys {
		ids, _ := h.runs.Get(key)
		h.record(0, key, time.Since(h.started), result{count: len(ids)})
	}
	return h.ops
}

const (
	clients      = 12
	testDuration = 4 * time.Second
)

// TestHistory guards against a call that runs twice for one key and against a
// wrong verdict. Several ledgers share a platform with outages, slow and lost
// replies and stale reads, while writers pause, callers give up, and ledgers are
// replaced while they still run.
func TestHistory(t *testing.T) {
	seed := *seedFlag
	if seed == 0 {
		seed = rand.Uint64()
	}
	t.Logf("seed %d; set it with -seed", seed)
	h := newHarness(t, seed)
	var keys [4]atomic.Value // keys that clients currently use
	for i := range keys {
		keys[i].Store(uuid.Must(uuid.NewV7()).String())
	}
	stop := make(chan struct{})
	var wg conc.WaitGroup
	wg.Go(func() { h.injectFaults(t, rand.New(rand.NewPCG(seed, 1)), stop) })
	var verdicts [3]atomic.Int64
	for c := range clients {
		rnd := rand.New(rand.NewPCG(seed, uint64(100+c)))
		wg.Go(func() {
			for time.Since(h.started) < testDuration {
				keyIndex := rnd.IntN(len(keys))
				key := keys[keyIndex].Load().(string)
				verdicts[h.call(rnd, c, key)].Add(1)
				if rnd.IntN(12) == 0 {
					keys[keyIndex].CompareAndSwap(key, uuid.Must(uuid.NewV7()).String())
				}
			}
		})
	}
	time.Sleep(testDuration)
	close(stop)
	wg.Wait()
	h.cancel()
	h.wg.Wait()
	ops := h.history()
	t.Logf("%d operations on %d keys, %d ledgers; verdicts: not-run %d, may-have-run %d, ran %d", len(ops), h.runs.Len(),
		len(h.ledgers), verdicts[verdict.NotRun].Load(), verdicts[verdict.MayHaveRun].Load(), verdicts[verdict.Ran].Load())
	if h.runs.Len() < 10 {
		t.Errorf("only %d keys ran, which is too few for the check", h.runs.Len())
	}
	if res := porcupine.CheckOperationsTimeout(atMostOnceModel, ops, time.Minute); res != porcupine.Ok {
		t.Errorf("history is not linearizable (%v), seed %d", res, seed)
	}
}
