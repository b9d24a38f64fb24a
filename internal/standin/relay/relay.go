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

// Freeze selects the connections of a route that stay open but carry no data.
type Freeze string

// Values of Freeze.
const (
	// FreezeNone freezes no connection.
	FreezeNone Freeze = ""
	// FreezeOld freezes the connections that are open when the fault is set.
	// They stay frozen after the fault is cleared, as if a device on the path
	// had lost their state. New connections work.
	FreezeOld Freeze = "old"
	// FreezeAll freezes all connections, including new ones, until the fault is
	// cleared.
	FreezeAll Freeze = "all"
)

// Faults are the failures of one route.
type Faults struct {
	// Cut resets open connections and refuses new ones.
	Cut bool `json:"cut"`
	// CutFrom does the same, but only for callers with these IP addresses.
	CutFrom []string `json:"cut_from"`
	// Freeze keeps connections open without carrying data.
	Freeze Freeze `json:"freeze"`
	// FreezeRequests freezes the connections on which an HTTP request is in progress, or
	// begins, whose path has this prefix. They stay frozen after the fault is cleared.
	FreezeRequests string `json:"freeze_requests"`
	// DelayMillis delays the data in each direction.
	DelayMillis int `json:"delay_ms"`
	// CorruptToCaller inverts one byte in each large segment sent to the caller,
	// as a sender with faulty memory or a faulty link does. Short segments, which
	// carry calls and their framing, are not changed.
	CorruptToCaller bool `json:"corrupt_to_caller"`
	// BytesPerSecond limits the rate of each direction of the route, over all
	// its connections; 0 means no limit.
	BytesPerSecond int64 `json:"bytes_per_second"`
}

// Counts is the traffic of one route.
type Counts struct {
	Connections int64 `json:"connections"`
	// ToTarget and ToCaller count the bytes relayed in each direction.
	ToTarget int64 `json:"to_target"`
	ToCaller int64 `json:"to_caller"`
	// Corrupted counts the segments that were corrupted.
	Corrupted int64 `json:"corrupted"`
}

// Relay is a set of named routes.
type Relay struct {
	mu     sync.Mutex
	routes map[string]*route
}

// New returns a relay without routes.
func New() *Relay { return &Relay{routes: map[string]*route{}} }

// AddRoute adds a route that relays connections from the address listen to the
// address target.
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

// AddRoutes adds routes given in the form "name=listen/target".
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

// Counts returns the traffic of each route by its name.
func (r *Relay) Counts() map[string]Counts {
	out := map[string]Counts{}
	for _, n := range r.names() {
		if rt, ok := r.route(n); ok {
			out[n] = rt.counts()
		}
	}
	return out
}

// Close closes all listeners and resets all connections.
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

// Handler returns the HTTP routes that add routes, set faults and return counts.
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
