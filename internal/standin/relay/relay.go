// Package relay is a TCP relay with several routes that stands in for the
// network between two processes, in tests and demos only. Each route can be
// cut, frozen, delayed and limited in rate, and counts its bytes.
package relay

import (
	"encoding/json"
	"net/http"
	"sort"
	"strings"
	"sync"

	"github.com/pkg/errors"
)

// Freeze says which connections of a route carry nothing.
type Freeze string

// The values of Freeze.
const (
	// FreezeNone carries everything.
	FreezeNone Freeze = ""
	// FreezeOld silences the connections that are open when it is set, for
	// good: they stay silent after the fault is cleared, as if something on
	// the way had lost track of them. New ones work.
	FreezeOld Freeze = "old"
	// FreezeAll silences all connections, new ones too, until it is cleared.
	FreezeAll Freeze = "all"
)

// Faults are the failures of one route.
type Faults struct {
	// Cut resets open connections and refuses new ones.
	Cut bool `json:"cut"`
	// CutFrom resets the open connections that come from these IP addresses and
	// refuses new ones, so that a route is cut for some of its callers only.
	CutFrom []string `json:"cut_from"`
	// Freeze leaves connections open that carry nothing.
	Freeze Freeze `json:"freeze"`
	// DelayMillis delays the bytes of each direction.
	DelayMillis int `json:"delay_ms"`
	// CorruptToCaller alters one byte in each full piece of data that is sent to
	// the caller, as a sender with damaged memory or a broken link does. Short
	// pieces, which carry calls and their framing, are left alone.
	CorruptToCaller bool `json:"corrupt_to_caller"`
	// BytesPerSecond limits each direction of the route; 0 is no limit.
	BytesPerSecond int64 `json:"bytes_per_second"`
}

// Counts is the traffic of one route.
type Counts struct {
	Connections int64 `json:"connections"`
	// ToTarget and ToCaller count the bytes passed on in each direction.
	ToTarget int64 `json:"to_target"`
	ToCaller int64 `json:"to_caller"`
	// Corrupted counts the pieces that were altered.
	Corrupted int64 `json:"corrupted"`
}

// Relay is a set of routes.
type Relay struct {
	mu     sync.Mutex
	routes map[string]*route
}

// New returns a relay without routes.
func New() *Relay { return &Relay{routes: map[string]*route{}} }

// AddRoute starts to relay from listen to target.
func (r *Relay) AddRoute(name, listen, target string) error {
	rt := newRoute(listen, target)
	if err := rt.startListening(); err != nil {
		return errors.Wrapf(err, "route %s", name)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.routes[name]; ok {
		rt.close()
		return errors.Errorf("route %s exists", name)
	}
	r.routes[name] = rt
	return nil
}

// AddRoutes adds routes of the form "name=listen/target".
func (r *Relay) AddRoutes(specs []string) error {
	for _, s := range specs {
		name, rest, ok := strings.Cut(s, "=")
		listen, target, ok2 := strings.Cut(rest, "/")
		if !ok || !ok2 {
			return errors.Errorf("route %q is not of the form NAME=IP:PORT/IP:PORT", s)
		}
		if err := r.AddRoute(name, listen, target); err != nil {
			return err
		}
	}
	return nil
}

// SetFaults replaces the faults of a route; the empty name means all routes.
func (r *Relay) SetFaults(name string, f Faults) error {
	names := []string{name}
	if name == "" {
		names = r.names()
	}
	for _, n := range names {
		rt, ok := r.route(n)
		if !ok {
			return errors.Errorf("no route %s", n)
		}
		if err := rt.setFaults(f); err != nil {
			return err
		}
	}
	return nil
}

// Counts returns the traffic per route.
func (r *Relay) Counts() map[string]Counts {
	out := map[string]Counts{}
	for _, n := range r.names() {
		if rt, ok := r.route(n); ok {
			out[n] = rt.counts()
		}
	}
	return out
}

// Close ends all routes and their connections.
func (r *Relay) Close() {
	for _, n := range r.names() {
		if rt, ok := r.route(n); ok {
			rt.close()
		}
	}
}

func (r *Relay) route(name string) (*route, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rt, ok := r.routes[name]
	return rt, ok
}

func (r *Relay) names() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]string, 0, len(r.routes))
	for n := range r.routes {
		out = append(out, n)
	}
	sort.Strings(out)
	return out
}

// Handler returns the admin endpoints.
func (r *Relay) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /routes/{name}", r.putRoute)
	mux.HandleFunc("POST /faults", r.postFaults)
	mux.HandleFunc("POST /faults/{name}", r.postFaults)
	mux.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(r.Counts())
	})
	return mux
}

func (r *Relay) putRoute(w http.ResponseWriter, req *http.Request) {
	var in struct{ Listen, Target string }
	if err := json.NewDecoder(req.Body).Decode(&in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := r.AddRoute(req.PathValue("name"), in.Listen, in.Target); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
}

func (r *Relay) postFaults(w http.ResponseWriter, req *http.Request) {
	var f Faults
	if err := json.NewDecoder(req.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := r.SetFaults(req.PathValue("name"), f); err != nil {
		http.Error(w, err.Error(), http.StatusNotFound)
	}
}
