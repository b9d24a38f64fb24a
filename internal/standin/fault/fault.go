// Package fault holds what the HTTP stand-ins share: the faults that a test
// switches on with POST /faults, the counts that GET /counts returns, and the
// faults that any call can meet.
package fault

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"
)

// Active holds the faults F of one stand-in. Its zero value has none on.
type Active[F any] struct {
	mu sync.Mutex
	f  F
}

// Get returns the faults that are switched on.
func (s *Active[F]) Get() F {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.f
}

// Set replaces the faults that are switched on.
func (s *Active[F]) Set(f F) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.f = f
}

// ServeHTTP replaces the faults by those in the request's JSON body.
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
	// Down answers 503.
	Down bool
	// Hang gives no answer until the caller gives up.
	Hang bool
	// DelayMillis delays the call. A call whose caller gives up meanwhile is
	// still handled, as if its answer had been lost.
	DelayMillis int
}

// Apply applies the faults and reports whether the call goes on to its handler.
func (c CallFaults) Apply(w http.ResponseWriter, r *http.Request) bool {
	if c.DelayMillis > 0 {
		time.Sleep(time.Duration(c.DelayMillis) * time.Millisecond)
	}
	if c.Hang {
		// net/http notices that a caller has gone only after the body was read.
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

// Sleep waits for d and reports false if ctx ends first.
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
