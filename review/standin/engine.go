package main

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The model and its weights, with the figures of the small sites.
const (
	model      = "llm100000"
	layers     = 16
	pieces     = 64
	pieceBytes = 32768
	warmTime   = 300 * time.Millisecond
	slots      = 16
	queued     = 32
	events     = 21
	// tokensPerMs is the speed at which prompts are read.
	tokensPerMs = 19.1
)

// piece returns the bytes of a piece of a version of the weights.
func piece(version int64, i int) []byte {
	seed := sha256.Sum256([]byte(fmt.Sprint(model, version, i)))
	return bytes.Repeat(seed[:], pieceBytes/len(seed))
}

// origin serves the manifests and pieces of all named versions.
type origin struct{}

func (origin) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	version, err := strconv.ParseInt(r.URL.Query().Get("Version"), 10, 64)
	if err != nil || version < 1 {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	switch {
	case strings.HasPrefix(r.URL.Path, "/manifest/"):
		var digests []string
		for i := range pieces {
			sum := sha256.Sum256(piece(version, i))
			digests = append(digests, hex.EncodeToString(sum[:]))
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(map[string]any{"Model": model, "Version": version, "ChunkBytes": pieceBytes, "layers": layers, "Digests": digests})
	case strings.HasPrefix(r.URL.Path, "/piece/"):
		i, err := strconv.Atoi(r.URL.Query().Get("ChunkCount"))
		if err != nil || i < 0 || i >= pieces {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		_, _ = w.Write(piece(version, i))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// staged is a piece in the staging area of an engine.
type staged struct {
	data []byte
	// spoiledAt is the time at which the piece turned bad where it lies, or zero.
	spoiledAt time.Time
}

// held are the weights that an engine holds.
type held struct {
	version int64
	// bad lists the pieces that were not those of the version when the layers were taken, with
	// the time for which they had been bad.
	bad []badPiece
}

type badPiece struct {
	piece int
	// since is the time for which it had been bad, or zero if the wrong bytes were written.
	since time.Duration
}

// engine stands in for a model worker.
type engine struct {
	id, zone, service string
	addr              string
	store             *store
	record            *record
	born              int64

	mu       sync.Mutex
	staging  map[int]staged
	weights  held
	busy     bool
	orders   int64
	beat     int64
	inFlight int
	// running is the number of requests whose prompt is read or that have begun.
	running int
	free    chan struct{}
	// prefill admits one prompt at a time.
	prefill chan struct{}
	// still is locked while the engine's machine stands still.
	still sync.RWMutex
	// verified is called with the number of pieces read in a row after all pieces of a version
	// newer than the one held were written.
	verified func(e *engine, n int)
	written  map[int]bool
	readRow  int
}

func newEngine(id, zone, service, addr string, s *store, rec *record) (*engine, error) {
	e := &engine{id: id, zone: zone, service: service, addr: addr, store: s, record: rec, born: time.Now().UnixMilli(),
		staging: map[int]staged{}, weights: held{version: 1}, free: make(chan struct{}, slots), prefill: make(chan struct{}, 1), written: map[int]bool{}}
	for i := range pieces {
		e.staging[i] = staged{data: piece(1, i)}
	}
	lis, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	go func() { _ = http.Serve(lis, e) }()
	go func() {
		for {
			e.register()
			time.Sleep(1200 * time.Millisecond)
		}
	}()
	return e, nil
}

func (e *engine) models() []map[string]any {
	if e.weights.version == 0 {
		return []map[string]any{}
	}
	return []map[string]any{{"Name": model, "Version": e.weights.version, "Adapters": []string{}}}
}

func (e *engine) layerRange() []map[string]any {
	if e.weights.version == 0 {
		return []map[string]any{}
	}
	return []map[string]any{{"From": 0, "Target": layers, "Version": e.weights.version}}
}

// register writes the engine's entry in the store.
func (e *engine) register() {
	e.mu.Lock()
	e.beat++
	entry := map[string]any{"Service": e.service, "Address": e.addr, "Zone": e.zone, "Version": "v1", "Slots": slots, "State": "ready",
		"ColdLeftMs": 0, "Stage": "unified", "Models": e.models(), "layers": e.layerRange(), "Sequence": e.beat, "born": e.born}
	e.mu.Unlock()
	e.store.write("servers/"+e.id, entry)
}

// awaitMoving returns once the engine's machine does not stand still.
func (e *engine) awaitMoving() {
	e.still.RLock()
	defer e.still.RUnlock()
}

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.awaitMoving()
	switch {
	case r.URL.Path == "/report":
		e.mu.Lock()
		out := map[string]any{"Stage": "unified", "Models": e.models(), "layers": e.layerRange(), "Busy": e.busy, "Sequence": e.orders,
			"Queued": max(0, e.inFlight-slots), "Running": min(e.inFlight, slots), "KvUsed": 0, "KvTotal": 1180000, "Handles": 0, "pace": 1.0, "born": e.born}
		e.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(out)
	case r.URL.Path == "/order":
		e.order(w, r)
	case strings.HasPrefix(r.URL.Path, "/stage-put/"):
		e.put(w, r)
	case strings.HasPrefix(r.URL.Path, "/stage-get/"):
		e.get(w, r)
	default:
		e.generate(w, r)
	}
}

func (e *engine) put(w http.ResponseWriter, r *http.Request) {
	i, err := strconv.Atoi(r.URL.Query().Get("ChunkCount"))
	b, readErr := io.ReadAll(r.Body)
	if err != nil || readErr != nil || i < 0 || i >= pieces {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	e.staging[i] = staged{data: b}
	e.written[i], e.readRow = true, 0
	e.mu.Unlock()
	w.WriteHeader(http.StatusOK)
}

func (e *engine) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query().Get("ChunkCount")
	e.mu.Lock()
	if q == "" {
		indexes := []int{}
		for i := range e.staging {
			indexes = append(indexes, i)
		}
		e.mu.Unlock()
		_ = json.NewEncoder(w).Encode(map[string]any{"held": indexes})
		return
	}
	i, err := strconv.Atoi(q)
	p, ok := e.staging[i]
	n, notify := 0, e.verified
	if len(e.written) == pieces {
		e.readRow++
		n = e.readRow
	}
	e.mu.Unlock()
	if err != nil || !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_, _ = w.Write(p.data)
	_ = http.NewResponseController(w).Flush()
	if n > 0 && notify != nil {
		notify(e, n)
	}
}

// spoil turns staged pieces bad.
func (e *engine) spoil(indexes []int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	for _, i := range indexes {
		p := e.staging[i]
		b := bytes.Clone(p.data)
		b[len(b)/2] ^= 0xff
		e.staging[i] = staged{data: b, spoiledAt: now}
		e.record.add("%s: staged piece %d turns bad", e.id, i)
	}
}

// order accepts an order to hold all layers, or none, of a version.
func (e *engine) order(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Operation, Model, StartMode string
		Version                     int64
		Expected                    *int64
		From, Target                *int
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil || in.Operation != "start" || in.Model != model {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.busy || in.Expected != nil && *in.Expected != e.orders {
		w.WriteHeader(http.StatusConflict)
		return
	}
	next := held{version: in.Version}
	now := time.Now()
	if in.Target != nil && *in.Target == 0 {
		next.version = 0
	}
	for i := range pieces {
		if next.version == 0 || bytes.Equal(e.staging[i].data, piece(next.version, i)) {
			continue
		}
		b := badPiece{piece: i}
		if at := e.staging[i].spoiledAt; !at.IsZero() {
			b.since = now.Sub(at)
		}
		next.bad = append(next.bad, b)
	}
	e.orders++
	e.busy = true
	clear(e.written)
	e.record.add("%s: accepts the order %d for version %d, %d pieces bad: %v", e.id, e.orders, next.version, len(next.bad), next.bad)
	go e.load(next)
	w.WriteHeader(http.StatusAccepted)
}

// load takes the weights once the requests in progress have ended.
func (e *engine) load(next held) {
	for {
		e.mu.Lock()
		idle := e.running == 0
		e.mu.Unlock()
		if idle {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	if next.version > 0 {
		time.Sleep(warmTime)
	}
	e.mu.Lock()
	e.weights, e.busy = next, false
	e.mu.Unlock()
	e.record.add("%s: holds version %d", e.id, next.version)
	e.register()
}

// generate streams an answer.
func (e *engine) generate(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	w.Header().Set("Instance-Id", e.id)
	if x := r.Header.Get("Expect-Instance"); x != "" && x != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.ReadAll(r.Body)
	e.mu.Lock()
	if id == "" || e.busy || e.weights.version == 0 || e.inFlight >= slots+queued {
		held := e.weights.version > 0 || e.busy
		e.mu.Unlock()
		w.Header().Set("Not-Executed", "1")
		status := http.StatusServiceUnavailable
		if !held {
			status = http.StatusMisdirectedRequest
		}
		w.WriteHeader(status)
		return
	}
	e.inFlight++
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		e.inFlight--
		e.mu.Unlock()
	}()
	e.free <- struct{}{}
	defer func() { <-e.free }()
	weights, ok := e.begin(r)
	if !ok {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		e.mu.Lock()
		e.running--
		e.mu.Unlock()
	}()
	e.record.ran(id, e.id, weights)
	w.Header().Set("Response-Signature", signature(e.id, id))
	w.Header().Set("Weight-Versions", fmt.Sprint(weights.version))
	w.Header().Set("Content-Type", "text/event-stream")
	rc := http.NewResponseController(w)
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n := after + 1; n <= events; n++ {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(15 * time.Millisecond):
		}
		e.awaitMoving()
		fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", n, id, n)
		_ = rc.Flush()
	}
}

// begin reads the prompt of a request, and returns the weights with which its first token is made.
// It fails if an order has been accepted meanwhile, or if the request's channel has closed.
func (e *engine) begin(r *http.Request) (held, bool) {
	tokens, _, _ := strings.Cut(r.Header.Get("Token-Usage"), ",")
	n, _ := strconv.Atoi(tokens)
	e.prefill <- struct{}{}
	defer func() { <-e.prefill }()
	e.mu.Lock()
	if e.busy || e.weights.version == 0 || r.Context().Err() != nil {
		e.mu.Unlock()
		return held{}, false
	}
	e.running++
	e.mu.Unlock()
	time.Sleep(time.Duration(float64(n) / tokensPerMs * float64(time.Millisecond)))
	e.awaitMoving()
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.weights, true
}

func signature(engine, id string) string {
	sum := sha256.Sum256([]byte(engine + " " + id))
	return hex.EncodeToString(sum[:8])
}
