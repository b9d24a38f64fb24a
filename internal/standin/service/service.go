// Package service stands in for a plain service in tests and demos. It counts
// the effects of each idempotency key, so that a test can tell whether a call
// ran more than once.
package service

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// Faults are the failures that a test can switch on with POST /faults.
type Faults struct {
	// DelayMillis delays the effect of every call.
	DelayMillis int `json:"delay_ms"`
	// LoseAnswers ends the connection after the effect.
	LoseAnswers bool `json:"lose_answers"`
	// Refuse answers 503 with X-Not-Run before any effect.
	Refuse bool `json:"refuse"`
	// Fail answers 500 after the effect.
	Fail bool `json:"fail"`
	// Sick makes /healthz fail.
	Sick bool `json:"sick"`
}

const maxBodyBytes = 8 << 20

// Server is the stand-in's HTTP handler.
type Server struct {
	mu      sync.Mutex
	faults  Faults
	counts  map[string]int64
	effects map[string]int64
}

// New returns a service without effects.
func New() *Server { return &Server{counts: map[string]int64{}, effects: map[string]int64{}} }

// Handler returns the routes of the stand-in.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", s.healthz)
	mux.HandleFunc("POST /call/{name}", s.call)
	mux.HandleFunc("POST /faults", s.setFaults)
	mux.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) { s.write(w, s.counts) })
	mux.HandleFunc("GET /effects", func(w http.ResponseWriter, _ *http.Request) { s.write(w, s.effects) })
	return mux
}

func (s *Server) write(w http.ResponseWriter, m map[string]int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(m)
}

func (s *Server) currentFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

func (s *Server) healthz(w http.ResponseWriter, _ *http.Request) {
	if s.currentFaults().Sick {
		http.Error(w, "sick", http.StatusServiceUnavailable)
	}
}

func (s *Server) setFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Answer returns the answer to a call, a function of its name and body.
func Answer(name string, body []byte) string { return fmt.Sprintf("%s ok: %s\n", name, body) }

func (s *Server) call(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, "bad body", http.StatusBadRequest)
		return
	}
	f := s.currentFaults()
	if f.Refuse {
		w.Header().Set("X-Not-Run", "true")
		http.Error(w, "refused", http.StatusServiceUnavailable)
		return
	}
	if f.DelayMillis > 0 && !wait(r, time.Duration(f.DelayMillis)*time.Millisecond) {
		return
	}
	s.effect(r.PathValue("name"), r.Header.Get("Idempotency-Key"))
	switch {
	case f.LoseAnswers:
		panic(http.ErrAbortHandler)
	case f.Fail:
		http.Error(w, "failed after the effect", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	_, _ = io.WriteString(w, Answer(r.PathValue("name"), body))
}

// wait reports false once the caller has gone.
func wait(r *http.Request, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

func (s *Server) effect(name, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts[name]++
	if key != "" {
		s.effects[key]++
	}
}
