package platform

import (
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/masticwing/masticwing/internal/standin/fault"
)

// maxValueBytes is the size limit of a value in the key-value service.
const maxValueBytes = 1 << 20

// Faults are the failures that a test can set with POST /faults.
type Faults struct {
	// Down makes every call fail with status 503.
	Down bool `json:"down"`
	// Hang sends no response to any call until the caller closes the connection.
	Hang bool `json:"hang"`
	// DelayMillis delays every response.
	DelayMillis int `json:"delay_ms"`
	// LoseWriteAnswers is the probability that a write takes effect but its
	// response is lost.
	LoseWriteAnswers float64 `json:"lose_write_answers"`
	// StaleReads makes reads return the value before the last write of the key.
	StaleReads bool `json:"stale_reads"`
}

// VM is an element of the list of VMs.
type VM struct {
	Name   string `json:"name"`
	Domain string `json:"domain"`
	State  string `json:"state"`
}

// Server is the stand-in's HTTP handler.
type Server struct {
	store  *store
	faults fault.Active[Faults]
	counts fault.Counts

	mu       sync.Mutex // guards the fields below
	previous map[string]entry
	vms      []VM
}

// New returns a stand-in without keys and VMs.
func New() *Server {
	return &Server{store: newStore(), previous: map[string]entry{}}
}

// Handler returns the HTTP routes of the stand-in.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv/{key...}", s.instrument("read", s.read))
	mux.HandleFunc("PUT /v1/kv/{key...}", s.instrument("write", s.write))
	mux.HandleFunc("DELETE /v1/kv/{key...}", s.instrument("delete", s.remove))
	mux.HandleFunc("POST /v1/leases", s.instrument("grant", s.grant))
	mux.HandleFunc("PUT /v1/leases/{id}", s.instrument("keepalive", s.keepAlive))
	mux.HandleFunc("DELETE /v1/leases/{id}", s.instrument("revoke", s.revoke))
	mux.HandleFunc("GET /v1/vms", s.instrument("vms", s.listVMs))
	mux.HandleFunc("PUT /vms", s.putVMs)
	mux.Handle("POST /faults", &s.faults)
	mux.Handle("GET /counts", &s.counts)
	return mux
}

// instrument wraps a handler: it counts the calls by kind and applies the faults.
func (s *Server) instrument(kind string, h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if kind == "read" && r.URL.Query().Has("after") {
			s.counts.Add("watch")
		} else {
			s.counts.Add(kind)
		}
		f := s.faults.Get()
		if (fault.CallFaults{Down: f.Down, Hang: f.Hang, DelayMillis: f.DelayMillis}).Apply(w, r) {
			h(w, r)
		}
	}
}

func (s *Server) read(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	q := r.URL.Query()
	if !q.Has("after") {
		e, ok, _ := s.store.get(key)
		if s.faults.Get().StaleReads {
			e, ok = s.previousEntry(key)
		}
		writeEntry(w, e, ok)
		return
	}
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := time.ParseDuration(q.Get("wait"))
	s.watch(w, r, key, after, wait)
}

func (s *Server) previousEntry(key string) (entry, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.previous[key]
	return e, ok
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request, key string, after int64, wait time.Duration) {
	t := time.NewTimer(wait)
	defer t.Stop()
	for {
		e, ok, change := s.store.get(key)
		if ok && e.rev > after {
			writeEntry(w, e, ok)
			return
		}
		select {
		case <-change:
		case <-t.C:
			w.WriteHeader(http.StatusNoContent)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func writeEntry(w http.ResponseWriter, e entry, ok bool) {
	if !ok {
		http.Error(w, "not found", http.StatusNotFound)
		return
	}
	w.Header().Set("X-Rev", strconv.FormatInt(e.rev, 10))
	_, _ = w.Write(e.value)
}

func (s *Server) write(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxValueBytes))
	if err != nil {
		http.Error(w, "value too large", http.StatusRequestEntityTooLarge)
		return
	}
	key := r.PathValue("key")
	q := r.URL.Query()
	rev, _ := strconv.ParseInt(q.Get("rev"), 10, 64)
	old, _, _ := s.store.get(key)
	got, ok := s.store.compareAndSwap(key, rev, value, q.Get("lease"))
	if !ok {
		http.Error(w, "conflict", http.StatusConflict)
		return
	}
	s.mu.Lock()
	s.previous[key] = old
	s.mu.Unlock()
	if s.shouldLoseAnswer() {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("X-Rev", strconv.FormatInt(got, 10))
}

func (s *Server) shouldLoseAnswer() bool {
	p := s.faults.Get().LoseWriteAnswers
	return p > 0 && rand.Float64() < p
}

func (s *Server) remove(w http.ResponseWriter, r *http.Request) {
	rev, _ := strconv.ParseInt(r.URL.Query().Get("rev"), 10, 64)
	if !s.store.remove(r.PathValue("key"), rev) {
		http.Error(w, "conflict", http.StatusConflict)
	}
}

func (s *Server) grant(w http.ResponseWriter, r *http.Request) {
	ttl, err := time.ParseDuration(r.URL.Query().Get("ttl"))
	if err != nil || ttl <= 0 {
		http.Error(w, "bad ttl", http.StatusBadRequest)
		return
	}
	_, _ = io.WriteString(w, s.store.grant(ttl))
}

func (s *Server) keepAlive(w http.ResponseWriter, r *http.Request) {
	if !s.store.keepAlive(r.PathValue("id")) {
		http.Error(w, "not found", http.StatusNotFound)
	}
}

func (s *Server) revoke(_ http.ResponseWriter, r *http.Request) { s.store.revoke(r.PathValue("id")) }

func (s *Server) listVMs(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(s.vms)
}

func (s *Server) putVMs(w http.ResponseWriter, r *http.Request) {
	var vms []VM
	if err := json.NewDecoder(r.Body).Decode(&vms); err != nil {
		http.Error(w, strings.TrimSpace(err.Error()), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vms = vms
}
