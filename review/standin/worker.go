package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// worker stands in for a worker of a plain service, with the slots of the model workers of the
// small sites.
type worker struct {
	id, zone, addr string
	workTime       time.Duration
	store          *store
	record         *record
	born           int64
	server         *http.Server
	// began is called with the id of each request that the worker begins to work on; it may be nil.
	began func(id string)

	mu       sync.Mutex
	state    string
	beat     int64
	inFlight int
	runs     int
	free     chan struct{}
	gone     chan struct{}
}

// keepAliveTime is the time for which a worker keeps an idle channel.
const keepAliveTime = 10 * time.Second

func newWorker(id, zone, addr string, workTime time.Duration, s *store, rec *record) (*worker, error) {
	w := &worker{id: id, zone: zone, addr: addr, workTime: workTime, store: s, record: rec, born: time.Now().UnixMilli(),
		state: "ready", free: make(chan struct{}, slots), gone: make(chan struct{})}
	lis, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	w.server = &http.Server{Handler: w, IdleTimeout: keepAliveTime}
	go func() { _ = w.server.Serve(lis) }()
	w.register()
	go func() {
		for {
			select {
			case <-w.gone:
				return
			case <-time.After(1200 * time.Millisecond):
				w.register()
			}
		}
	}()
	return w, nil
}

func (w *worker) register() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.state == "gone" {
		return
	}
	w.beat++
	w.store.write("servers/"+w.id, map[string]any{"Service": service, "Address": w.addr, "Zone": w.zone, "Version": "v1", "Slots": slots,
		"State": w.state, "ColdLeftMs": 0, "Sequence": w.beat, "born": w.born})
}

// leave drains the worker, as at a planned shutdown, and ends it.
func (w *worker) leave(drain time.Duration) {
	w.mu.Lock()
	w.state = "draining"
	w.mu.Unlock()
	w.register()
	time.Sleep(drain)
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		w.mu.Lock()
		n := w.inFlight
		w.mu.Unlock()
		if n == 0 {
			break
		}
	}
	w.mu.Lock()
	w.state = "gone"
	runs := w.runs
	w.mu.Unlock()
	close(w.gone)
	w.store.mu.Lock()
	w.store.remove("servers/" + w.id)
	w.store.mu.Unlock()
	_ = w.server.Close()
	w.record.add("%s has left after %d runs", w.id, runs)
}

func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	out.Header().Set("Request-Id", id)
	out.Header().Set("Instance-Id", w.id)
	out.Header().Set("Keep-Alive", fmt.Sprintf("timeout=%d", int(keepAliveTime.Seconds())))
	if x := r.Header.Get("Expect-Instance"); x != "" && x != w.id {
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.ReadAll(r.Body)
	w.mu.Lock()
	if id == "" || w.inFlight >= slots+queued {
		w.mu.Unlock()
		out.Header().Set("Not-Executed", "1")
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.inFlight++
	w.mu.Unlock()
	defer func() {
		w.mu.Lock()
		w.inFlight--
		w.mu.Unlock()
	}()
	select {
	case w.free <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-w.free }()
	w.mu.Lock()
	w.runs++
	n := w.inFlight
	w.mu.Unlock()
	if w.began != nil {
		w.began(id)
	}
	select {
	case <-time.After(w.workTime):
	case <-r.Context().Done():
		return
	}
	out.Header().Set("Response-Signature", signature(w.id, id))
	out.Header().Set("Instance-Load", fmt.Sprintf("%d,%d,%d", min(n, slots), max(0, n-slots), slots))
	_, _ = io.WriteString(out, "answer of "+w.id+" to "+id)
}
