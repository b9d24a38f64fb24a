package daemon

import (
	"encoding/json"
	"net/http"
	"net/http/pprof"
	"sync"
)

// Admin serves health, readiness, status, metrics and profiles of a daemon over
// HTTP, to operators and to the platform.
type Admin struct {
	metrics http.Handler

	mu     sync.Mutex
	reason string
	status func() any
}

func newAdmin(metrics http.Handler) *Admin {
	return &Admin{metrics: metrics, reason: "starting"}
}

// SetNotReady makes /readyz fail with the given reason.
func (a *Admin) SetNotReady(reason string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.reason = reason
}

// SetReady makes /readyz succeed.
func (a *Admin) SetReady() { a.SetNotReady("") }

// SetStatus sets the function whose result /status returns as JSON.
func (a *Admin) SetStatus(f func() any) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.status = f
}

func (a *Admin) handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/metrics", a.metrics)
	mux.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	mux.HandleFunc("/readyz", a.readyz)
	mux.HandleFunc("/status", a.statusz)
	mux.HandleFunc("/debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("/debug/pprof/", pprof.Index)
	return mux
}

func (a *Admin) readyz(w http.ResponseWriter, _ *http.Request) {
	a.mu.Lock()
	reason := a.reason
	a.mu.Unlock()
	if reason != "" {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

func (a *Admin) statusz(w http.ResponseWriter, _ *http.Request) {
	a.mu.Lock()
	f := a.status
	a.mu.Unlock()
	if f == nil {
		http.Error(w, "no status", http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(f())
}
