//go:build review

package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// run is a request that has reached a worker.
type run struct {
	id, worker, method, uri, body string
	at                            time.Time
	// executed is unset if the worker has refused the request.
	executed bool
}

// worker is a plain service that speaks the platform's protocol for workers.
type worker struct {
	id, service, zone, addr string
	slots                   int
	workTime                time.Duration
	running                 atomic.Int64
	d                       *deployment

	mu        sync.Mutex // guards the following
	runs      []run
	draining  bool
	coldUntil time.Time
	sequence  int
}

// addWorker starts a worker and registers it. coldLeft is how long it stays cold.
func (d *deployment) addWorker(id, service, zone string, slots int, workTime, coldLeft time.Duration) (*worker, error) {
	w := &worker{id: id, service: service, zone: zone, slots: slots, workTime: workTime, d: d}
	var err error
	if w.addr, err = d.serve(w); err != nil {
		return nil, err
	}
	w.setCold(coldLeft)
	return w, nil
}

// setCold writes the worker's entry with the time for which it stays cold.
func (w *worker) setCold(left time.Duration) {
	w.mu.Lock()
	w.coldUntil = time.Now().Add(left)
	w.mu.Unlock()
	w.writeEntry()
}

// leave writes to the store that the worker is draining. It goes on to serve, and says so in all its answers.
func (w *worker) leave() {
	w.mu.Lock()
	w.draining = true
	w.mu.Unlock()
	w.writeEntry()
}

// writeEntry writes the worker's entry, as its heartbeat does.
func (w *worker) writeEntry() {
	w.mu.Lock()
	state, coldLeft := "ready", max(0, time.Until(w.coldUntil))
	if w.draining {
		state = "draining"
	}
	w.sequence++
	entry := map[string]any{
		"Service": w.service, "Address": w.addr, "Zone": w.zone, "Version": "1", "Slots": w.slots, "State": state,
		"ColdLeftMs": coldLeft.Milliseconds(), "Sequence": w.sequence, "born": born,
	}
	w.mu.Unlock()
	w.d.store.Put("servers/"+w.id, entry)
}

// born is the start of all workers.
var born = time.Now().UnixMilli()

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	at := time.Now()
	id := r.Header.Get("Request-Id")
	out.Header().Set("Request-Id", id)
	if e := r.Header.Get("Expect-Instance"); e != "" && e != w.id {
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	running := w.running.Add(1)
	defer w.running.Add(-1)
	executed := running <= int64(2*w.slots) && id != ""
	w.mu.Lock()
	w.runs = append(w.runs, run{id, w.id, r.Method, r.RequestURI, string(body), at, executed})
	if w.draining {
		out.Header().Set("Server-Leaving", "1")
	}
	w.mu.Unlock()
	out.Header().Set("Instance-Load", strconv.FormatInt(running, 10)+",0,"+strconv.Itoa(w.slots))
	if !executed {
		out.Header().Set("Not-Executed", "1")
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	time.Sleep(w.workTime)
	out.Header().Set("Response-Signature", "signature of "+w.id)
	_, _ = io.WriteString(out, fmt.Sprintf("answer of %s to %s", w.id, id))
}

// all returns the requests that have reached the worker.
func (w *worker) all() []run {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]run(nil), w.runs...)
}
