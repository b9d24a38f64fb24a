package fault

import (
	"encoding/json"
	"maps"
	"net/http"
	"sync"
)

// Counts counts events by kind. The zero value is ready to use.
type Counts struct {
	mu sync.Mutex
	n  map[string]int64
}

// Add increments the count of a kind.
func (c *Counts) Add(kind string) { c.update(kind, func(n int64) int64 { return n + 1 }) }

// RaiseTo sets the count of a kind to n if it is lower.
func (c *Counts) RaiseTo(kind string, n int64) {
	c.update(kind, func(old int64) int64 { return max(old, n) })
}

func (c *Counts) update(kind string, f func(int64) int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.n == nil {
		c.n = map[string]int64{}
	}
	c.n[kind] = f(c.n[kind])
}

// ServeHTTP writes the counts as a JSON object.
func (c *Counts) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	out := map[string]int64{}
	c.mu.Lock()
	maps.Copy(out, c.n)
	c.mu.Unlock()
	WriteJSON(w, out)
}

// WriteJSON writes v as the JSON body of a response.
func WriteJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
