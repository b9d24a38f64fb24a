package lab

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Run is one run of a request at a worker.
type Run struct {
	ID, Method, URI, Tenant string
	At                      time.Time
}

// Worker is a sound worker of a plain service.
type Worker struct {
	ID, Service, Zone, Addr string
	// Work is the time that a request takes.
	Work func() time.Duration
	// Body returns the body of an answer. It is nil for a short one.
	Body func(uri, id string) string

	lab  *Lab
	mu   sync.Mutex
	runs []Run
}

// StartWorker starts a worker and registers it.
func (l *Lab) StartWorker(id, service, zone string, work time.Duration) (*Worker, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &Worker{ID: id, Service: service, Zone: zone, Addr: lis.Addr().String(), lab: l, Work: func() time.Duration { return work }}
	go func() { _ = http.Serve(lis, w) }()
	l.Store.Put("servers/"+id, Object{
		"Service": service, "Address": w.Addr, "Zone": zone, "Version": "1", "Slots": 16, "State": "ready", "ColdLeftMs": 0,
		"Sequence": 1, "born": time.Now().UnixMilli(),
	})
	l.Logf("worker %s of %s: registered", id, service)
	return w, nil
}

// ServeHTTP implements http.Handler.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get("Request-Id")
	h := rw.Header()
	h.Set("Request-Id", id)
	if e := r.Header.Get("Expect-Instance"); e != "" && e != w.ID {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.mu.Lock()
	w.runs = append(w.runs, Run{ID: id, Method: r.Method, URI: r.RequestURI, Tenant: r.Header.Get("Tenant"), At: time.Now()})
	w.mu.Unlock()
	w.lab.Logf("worker %s: runs %s %s %s", w.ID, id, r.Method, r.RequestURI)
	select {
	case <-time.After(w.Work()):
	case <-r.Context().Done():
		w.lab.Logf("worker %s: drops %s", w.ID, id)
		return
	}
	h.Set("Response-Signature", "s."+w.ID+"."+id)
	body := fmt.Sprintf("answer of %s to %s\n", w.ID, id)
	if w.Body != nil {
		body = w.Body(r.RequestURI, id)
	}
	h.Set("Content-Length", fmt.Sprint(len(body)))
	_, _ = io.WriteString(rw, body)
}

// Runs returns the runs so far.
func (w *Worker) Runs() []Run {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]Run(nil), w.runs...)
}
