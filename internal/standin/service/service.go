// Package service stands in for a plain service in tests and demos. It counts
// how often each idempotency key takes effect, so that a test can tell whether a
// call ran more than once.
package service

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/masticwing/masticwing/internal/standin/fault"
)

// Faults are the failures that a test can set with POST /faults.
type Faults struct {
	// DelayMillis delays the effect of every call.
	DelayMillis int `json:"delay_ms"`
	// LoseAnswers closes the connection after the effect, without a response.
	LoseAnswers bool `json:"lose_answers"`
	// Refuse responds with 503 and X-Not-Run, without any effect.
	Refuse bool `json:"refuse"`
	// Fail responds with 500 after the effect.
	Fail bool `json:"fail"`
	// Unhealthy makes /healthz respond with 503.
	Unhealthy bool `json:"sick"`
}

const maxBodyBytes = 8 << 20

// Server is the stand-in's HTTP handler.
type Server struct {
	faults fault.Active[Faults]
	// counts is keyed by the name of the call, effects by idempotency key.
	counts, effects fault.Counts
}

// New returns a service that has not run any call.
func New() *Server { return &Server{} }

// Handler returns the HTTP routes of the stand-in.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", s.healthz)
	mux.HandleFunc("POST /call/{name}", s.call)
	mux.Handle("POST /faults", &s.faults)
	mux.Handle("GET /counts", &s.counts)
	mux.Handle("GET /effects", &s.effects)
	return mux
}

func (s *Server) healthz(w http.ResponseWriter, _ *http.Request) {
	if s.faults.Get().Unhealthy {
		http.Error(w, "sick", http.StatusServiceUnavailable)
	}
}

// ResponseBody returns the body of the response to a call. It depends only on
// the name and the request body.
func ResponseBody(name string, body []byte) string { return fmt.Sprintf("%s ok: %s\n", name, body) }

func (s *Server) call(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, "bad body", http.StatusBadRequest)
		return
	}
	f := s.faults.Get()
	if f.Refuse {
		w.Header().Set("X-Not-Run", "true")
		http.Error(w, "refused", http.StatusServiceUnavailable)
		return
	}
	if f.DelayMillis > 0 && !fault.Sleep(r.Context(), time.Duration(f.DelayMillis)*time.Millisecond) {
		return
	}
	s.recordEffect(r.PathValue("name"), r.Header.Get("Idempotency-Key"))
	switch {
	case f.LoseAnswers:
		panic(http.ErrAbortHandler)
	case f.Fail:
		http.Error(w, "failed after the effect", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	_, _ = io.WriteString(w, ResponseBody(r.PathValue("name"), body))
}

func (s *Server) recordEffect(name, key string) {
	s.counts.Add(name)
	if key != "" {
		s.effects.Add(key)
	}
}
