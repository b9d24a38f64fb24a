// Package fault holds the fault injection that the HTTP stand-ins share: the
// faults that a test sets with POST /faults, the counts that GET /counts
// returns, and the faults that are common to all calls.
package fault

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"
)

// Active holds the faults F that are set for one stand-in. The zero value has
// no faults.
type Active[F any] struct {
	mu sync.Mutex
	f  F
}

// Get returns the current faults.
func (s *Active[F]) Get() F {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.f
}

// Set replaces the current faults.
func (s *Active[F]) Set(f F) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.f = f
}

// ServeHTTP replaces the faults with those in the request's JSON body.
func (s *Active[F]) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var f F
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.Set(f)
}

// CallFaults is the faults that a call meets before the stand-in handles it.
type CallFaults struct {
	// Down makes the call fail with status 503.
	Down bool
	// Hang sends no response until the caller closes the connection.
	Hang bool
	// DelayMillis delays the call. If the caller disconnects during the delay,
	// the call is still handled, as if its response had been lost.
	DelayMillis int
}

// Apply applies the faults to a call and reports whether its handler should run.
func (c CallFaults) Apply(w http.ResponseWriter, r *http.Request) bool {
	if c.DelayMillis > 0 {
		time.Sleep(time.Duration(c.DelayMillis) * time.Millisecond)
	}
	if c.Hang {
		// net/http detects a closed connection only after the body has been read.
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		return false
	}
	if c.Down {
		http.Error(w, "service unavailable", http.StatusServiceUnavailable)
		return false
	}
	return true
}

// Sleep waits for d and returns false if ctx is canceled first.
func Sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
