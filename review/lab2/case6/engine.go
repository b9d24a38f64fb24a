package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	lab "review2"
)

const (
	// warm is WarmS of the sheet.
	warm = 300 * time.Millisecond
	// excused is the time for which a piece may have been bad when a worker takes it.
	excused = 3 * time.Second
	// events is the number of events of a stream, and interval the time between two of them.
	events, interval = 20, 55 * time.Millisecond
)

// piece is a staged piece. badSince is when it turned bad where it lies.
type piece struct {
	data     []byte
	badSince time.Time
}

// engine is a sound model worker.
type engine struct {
	l        *lab.Lab
	id, addr string
	born     int64
	// still is locked while the machine stands still.
	still sync.RWMutex
	// onOrder is called with the first order to load, before the worker looks at it.
	onOrder func()

	mu       sync.Mutex
	staged   map[int]piece
	version  int64
	bad      []string // what is wrong with the layers that it holds
	busy     bool
	sequence int64
	running  int
	badRuns  []string // requests that made tokens with such layers
}

func startEngine(l *lab.Lab, id string) (*engine, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &engine{l: l, id: id, addr: lis.Addr().String(), born: time.Now().UnixMilli(), staged: map[int]piece{}, version: 1}
	for i := range lab.Pieces {
		e.staged[i] = piece{data: lab.PieceData(1, i)}
	}
	go func() { _ = http.Serve(lis, e) }()
	e.register()
	return e, nil
}

func (e *engine) models() []lab.Object {
	if e.version == 0 {
		return []lab.Object{}
	}
	return []lab.Object{{"Name": lab.Model, "Version": e.version, "Adapters": []string{}}}
}

// register writes the entry in the store.
func (e *engine) register() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.l.Store.Put("servers/"+e.id, lab.Object{"Service": "llm", "Address": e.addr, "Zone": "a", "Version": "1", "Slots": 16, "State": "ready",
		"ColdLeftMs": 0, "Sequence": time.Now().UnixMilli(), "born": e.born, "Models": e.models()})
	e.l.Logf("worker %s: registers with version %d", e.id, e.version)
}

// spoil turns pieces bad where they lie.
func (e *engine) spoil(indexes ...int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, i := range indexes {
		b := append([]byte(nil), e.staged[i].data...)
		b[len(b)/2] ^= 0xff
		e.staged[i] = piece{b, time.Now()}
	}
	e.l.Logf("worker %s: the staged pieces %v turn bad", e.id, indexes)
}

func (e *engine) moving() {
	e.still.RLock()
	defer e.still.RUnlock()
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if r.URL.Path == "/order" {
		e.order(w, body)
		return
	}
	e.moving()
	i, _ := strconv.Atoi(r.URL.Query().Get("ChunkCount"))
	switch {
	case r.URL.Path == "/report":
		e.mu.Lock()
		defer e.mu.Unlock()
		_ = json.NewEncoder(w).Encode(lab.Object{"Stage": "unified", "Models": e.models(), "Busy": e.busy, "Sequence": e.sequence, "Queued": 0,
			"Running": e.running, "KvUsed": 0, "KvTotal": 1180000, "Handles": 0, "born": e.born})
	case strings.HasPrefix(r.URL.Path, "/stage-put/"):
		e.mu.Lock()
		e.staged[i] = piece{data: body}
		e.mu.Unlock()
	case strings.HasPrefix(r.URL.Path, "/stage-get/"):
		e.mu.Lock()
		defer e.mu.Unlock()
		if r.URL.Query().Has("ChunkCount") {
			_, _ = w.Write(e.staged[i].data)
			return
		}
		held := []int{}
		for k := range e.staged {
			held = append(held, k)
		}
		_ = json.NewEncoder(w).Encode(lab.Object{"held": held})
	default:
		e.run(w, r)
	}
}

// order accepts an order and takes the staged pieces as they are at that moment.
func (e *engine) order(w http.ResponseWriter, body []byte) {
	var in struct {
		Operation        string
		Version          int64
		Expected, Target *int64
	}
	_ = json.Unmarshal(body, &in)
	release := in.Target != nil && *in.Target == 0
	e.mu.Lock()
	hook := e.onOrder
	if !release {
		e.onOrder = nil
	}
	e.mu.Unlock()
	if hook != nil && !release {
		hook()
	}
	e.moving()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.busy || in.Expected != nil && *in.Expected != e.sequence {
		e.l.Logf("worker %s: refuses the order %s", e.id, body)
		w.WriteHeader(http.StatusConflict)
		return
	}
	var bad []string
	version := in.Version
	for i := range lab.Pieces {
		p := e.staged[i]
		switch {
		case release, string(p.data) == string(lab.PieceData(version, i)):
		case p.badSince.IsZero():
			bad = append(bad, fmt.Sprintf("piece %d is missing or of another version", i))
		case time.Since(p.badSince) > excused:
			bad = append(bad, fmt.Sprintf("piece %d had been bad for %v", i, time.Since(p.badSince).Round(time.Millisecond)))
		}
	}
	if release {
		version = 0
	}
	e.busy, e.version = true, 0
	e.sequence++
	e.l.Logf("worker %s: accepts the order %s; wrong with what it takes: %q", e.id, body, bad)
	w.WriteHeader(http.StatusAccepted)
	time.AfterFunc(warm, func() {
		e.mu.Lock()
		e.busy, e.version, e.bad = false, version, bad
		e.mu.Unlock()
		e.register()
	})
}

// run runs a request.
func (e *engine) run(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	e.mu.Lock()
	expect, version := r.Header.Get("Expect-Instance"), r.Header.Get("Expect-Version")
	switch {
	case expect != "" && expect != e.id, version != "" && !e.busy && version != strconv.FormatInt(e.version, 10):
		e.mu.Unlock()
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case e.busy || e.version == 0:
		e.mu.Unlock()
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if len(e.bad) > 0 {
		e.badRuns = append(e.badRuns, id)
		e.l.Logf("worker %s: makes tokens of %s with version %d, of which %s", e.id, id, e.version, e.bad[0])
	}
	e.running++
	held := e.version
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		e.running--
		e.mu.Unlock()
	}()
	w.Header().Set("Response-Signature", "s."+e.id+"."+id)
	w.Header().Set("Weight-Versions", strconv.FormatInt(held, 10))
	w.Header().Set("Content-Type", "text/event-stream")
	rc := http.NewResponseController(w)
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n := after + 1; n <= events; n++ {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(interval):
		}
		e.moving()
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", n, id, n)
		_ = rc.Flush()
	}
}
