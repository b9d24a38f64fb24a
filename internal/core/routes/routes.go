// Package routes holds the operators' configuration of pass-through requests: which
// service serves a path of a host, which requests may be retried, and which client
// account an API key belongs to. All values are immutable once compiled.
package routes

import (
	"slices"
	"strings"
	"time"

	"github.com/masticwing/masticwing/internal/core/fleet"
)

// Kind classifies a route's requests by whether they may be retried after they may
// have run.
type Kind uint8

// Kinds of routes. The zero value is the most restrictive one.
const (
	// Unsafe requests run at most once.
	Unsafe Kind = iota
	// Safe requests may run more than once.
	Safe
	// Streaming requests are answered by a stream of events. They run at most once
	// unless the route is resumable.
	Streaming
)

// String returns the name used in logs and metrics.
func (k Kind) String() string {
	switch k {
	case Safe:
		return "safe"
	case Streaming:
		return "streaming"
	default:
		return "unsafe"
	}
}

// Share is a service's weight in the traffic split of a route.
type Share struct {
	Service fleet.Service
	Weight  int
}

// maxWeight bounds a weight, so that sums don't overflow. Weights are parts of a hundred or
// of a thousand.
const maxWeight = 1 << 30

func (s Share) weight() int { return min(max(s.Weight, 0), maxWeight) }

// Route configures the requests of one host and path prefix.
type Route struct {
	Name, Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout bounds the time for which a caller waits for a response.
	Timeout time.Duration
	// LatencyObjective is the intended time to the first event of a stream, or to
	// the end of any other response.
	LatencyObjective time.Duration
	// MaxEventGap is the intended maximum time between two events of a stream.
	MaxEventGap time.Duration
	// AbandonTimeout is the time without an event after which callers abandon a stream; zero
	// means that they don't.
	AbandonTimeout time.Duration
	// Priority is the urgency of the route's requests; 0 is the highest.
	Priority int
	Shares   []Share
	// MaxAttempts bounds the number of targets on which one request may run.
	MaxAttempts int
	// Anonymous means that requests need no API key.
	Anonymous bool
	// Resumable means that a stream may continue at another target after the last
	// event that was delivered.
	Resumable bool
	// Regions are the regions that may serve the route; empty allows all.
	Regions []fleet.Region
}

// Retryable reports whether a request may be retried after it may have run.
func (r *Route) Retryable() bool {
	return r.Kind == Safe || r.Kind == Streaming && r.Resumable
}

// PickService selects the service for a request according to the weights of the
// shares. It returns the same service for the same hash.
func (r *Route) PickService(hash uint64) (fleet.Service, bool) {
	total := 0
	for _, s := range r.Shares {
		total += s.weight()
	}
	if total == 0 {
		return "", false
	}
	offset := int(hash % uint64(total))
	for _, s := range r.Shares {
		if offset -= s.weight(); offset < 0 {
			return s.Service, true
		}
	}
	return "", false
}

// Engine configures the inference engines of a service.
type Engine struct {
	// Slots is the number of requests that an engine runs concurrently.
	Slots  int
	Models []fleet.Model
	// Layers is the number of layers of the model.
	Layers int
	// Fenced means that the engines refuse orders with an outdated fencing number.
	Fenced bool
	Timing Timing
}

// Timing is the processing speed of an engine. The engine works in iterations: each
// one runs the prefill of the prompts that have arrived and then decodes some
// tokens of every response in progress.
type Timing struct {
	// DecodeStep is the time to decode one token of every response in progress.
	DecodeStep time.Duration
	// StepsPerIteration is the number of tokens per response that an iteration decodes.
	StepsPerIteration int
	// PrefillTokensPerSecond is zero if the speed of the prefill is not known.
	PrefillTokensPerSecond float64
}

// maxPredictedTime bounds the predictions of Timing. A longer one can only come from a
// number that can't be meant: the largest prompt that fits in an engine takes some seconds.
// A prediction also delays later requests, even if the engine refuses this one.
const maxPredictedTime = 30 * time.Second

// PrefillTime returns the time for the prefill of a prompt of that many tokens, at most
// maxPredictedTime, or zero if the speed or the number of tokens is not known.
func (p Timing) PrefillTime(tokens int) time.Duration {
	if !(p.PrefillTokensPerSecond > 0) || tokens <= 0 {
		return 0
	}
	seconds := min(float64(tokens)/p.PrefillTokensPerSecond, maxPredictedTime.Seconds())
	return time.Duration(seconds * float64(time.Second))
}

// DecodeTime returns the time that one iteration spends on decoding, at most
// maxPredictedTime.
func (p Timing) DecodeTime() time.Duration {
	steps := time.Duration(max(1, p.StepsPerIteration))
	if p.DecodeStep > maxPredictedTime/steps {
		return maxPredictedTime
	}
	return max(0, p.DecodeStep) * steps
}

// Service is a set of interchangeable targets, or the origin of weights.
type Service struct {
	Name fleet.Service
	// MaxConns bounds the connections of all clients together to one target.
	MaxConns int
	// ColdRequestsPerSecond is the request rate that a cold target can take, or
	// zero if not configured.
	ColdRequestsPerSecond float64
	// Origin is the address of the origin, or empty for other services.
	Origin       fleet.Address
	OriginDomain fleet.Domain
	// OriginBytesPerSecond is the bandwidth of the origin's link, or zero if not
	// configured.
	OriginBytesPerSecond int64
	// Engine is nil for plain services.
	Engine *Engine
	// Scaling is nil for services whose number of targets is not ordered.
	Scaling *Scaling
}

// Scaling configures the orders of the number of engines of a service.
type Scaling struct {
	// Min and Max bound the number of engines in each failure domain. Min may be above Max, which is a
	// fault of the configuration.
	Min, Max int
	// Boot is the shortest time from an order until an engine that it adds serves, or zero if not
	// configured.
	Boot time.Duration
}

// Account is a client account with its API keys.
type Account struct {
	Name fleet.Customer
	Keys []string
	// Priority overrides that of the route if HasPriority is set.
	Priority    int
	HasPriority bool
	// Regions are the regions that may serve the account; empty allows all.
	Regions []fleet.Region
}

// Limits bounds the requests and connections of clients.
type Limits struct {
	HeaderBytes, BodyBytes int
	HeaderTimeout          time.Duration
	// IdleTimeout is the time after which a connection without requests is closed.
	IdleTimeout time.Duration
}

// Config is one version of the operators' configuration, as decoded.
type Config struct {
	Version  int64
	Routes   []Route
	Services []Service
	Accounts []Account
	// Keyless means that the configuration has no list of client accounts, so that requests need no API key.
	// With a list that is empty no key is valid.
	Keyless bool
	Limits  Limits
	// Faults describes the values that were not used because they can't be meant, at most MaxFaults.
	Faults []string
}

// MaxFaults bounds the faults of a configuration that are kept, each of which is logged.
const MaxFaults = 16

// Table is a configuration with indexes for lookups.
type Table struct {
	Config
	routesByHost   map[string][]*Route
	accountsByKey  map[string]*Account
	servicesByName map[fleet.Service]*Service
}

// Compile builds the lookup indexes of a configuration.
func Compile(c Config) *Table {
	t := &Table{
		Config:         c,
		routesByHost:   map[string][]*Route{},
		accountsByKey:  map[string]*Account{},
		servicesByName: map[fleet.Service]*Service{},
	}
	for i := range t.Routes {
		r := &t.Routes[i]
		host := strings.ToLower(r.Host)
		t.routesByHost[host] = append(t.routesByHost[host], r)
	}
	for _, rs := range t.routesByHost {
		// MatchRoute takes the first match, which must be the longest prefix.
		slices.SortStableFunc(rs, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for i := range t.Accounts {
		for _, k := range t.Accounts[i].Keys {
			// A request without a key has the empty one.
			if k != "" {
				t.accountsByKey[k] = &t.Accounts[i]
			}
		}
	}
	for i := range t.Services {
		t.servicesByName[t.Services[i].Name] = &t.Services[i]
	}
	return t
}

// RoutesWithRegions returns the number of routes that only some regions may serve.
func (t *Table) RoutesWithRegions() int {
	n := 0
	for i := range t.Routes {
		if len(t.Routes[i].Regions) > 0 {
			n++
		}
	}
	return n
}

// MatchRoute returns the route with the longest prefix of a path on a host. A port
// in the host is ignored.
func (t *Table) MatchRoute(host, path string) (*Route, bool) {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 {
		host = host[:colon]
	}
	for _, r := range t.routesByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// Account returns the account that an API key belongs to.
func (t *Table) Account(key string) (*Account, bool) {
	a, ok := t.accountsByKey[key]
	return a, ok
}

// RequiresKey reports whether requests need an API key, unless their route is anonymous.
func (t *Table) RequiresKey() bool { return !t.Keyless }

// Models returns the models of all engines, in the order of the configuration.
func (t *Table) Models() []fleet.Model {
	var out []fleet.Model
	for i := range t.Services {
		if e := t.Services[i].Engine; e != nil {
			out = append(out, e.Models...)
		}
	}
	return out
}

// Service returns the service with the given name.
func (t *Table) Service(name fleet.Service) (*Service, bool) {
	s, ok := t.servicesByName[name]
	return s, ok
}
