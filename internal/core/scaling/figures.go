// Package scaling decides how many engines of a service are ordered in each failure domain.
//
// It answers changes of load that last: ramps, steps, day and night, and the callers of a domain that was
// lost. It does not answer bursts of a few seconds, since an engine serves 8 s after its order at the
// earliest; placement and refusals handle those.
package scaling

import (
	"time"

	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/routes"
)

// Subject is what one order is about.
type Subject struct {
	Service fleet.Service
	Domain  fleet.Domain
}

// Engine is what is known of one registered engine.
type Engine struct {
	Service fleet.Service
	Domain  fleet.Domain
	// Draining engines take no new requests and will go.
	Draining bool
	// Loading engines replace or release their weights, and Cold ones take a limited rate of requests.
	Loading, Cold bool
	// HoldsWeights is set for engines that can serve.
	HoldsWeights bool
	// Slots is the number of requests that the engine runs concurrently.
	Slots int
	// Requests is the number of requests in the engine, running and waiting, by its last load report.
	Requests int
	// ReportAge is the age of that report, or negative if there is none.
	ReportAge time.Duration
}

// Totals are the figures of a gateway for one service, from the start of the gateway.
type Totals struct {
	// Offered is the number of requests, Refused that of the ones refused for lack of capacity.
	Offered, Refused uint64
	// PromptTokens and OutputTokens are the tokens of the requests offered, the latter as expected.
	PromptTokens, OutputTokens uint64
}

// Gateway holds the figures of one gateway.
type Gateway struct {
	ID     string
	Domain fleet.Domain
	// Started differs between two starts of the gateway.
	Started int64
	// Age is the time since the gateway stated the figures.
	Age    time.Duration
	Totals map[fleet.Service]Totals
}

// Service is a service whose number of engines is ordered.
type Service struct {
	Name fleet.Service
	routes.Scaling
	// Engine is nil if the configuration states no engines, which is a fault.
	Engine *routes.Engine
}

// Snapshot holds the figures of one moment.
type Snapshot struct {
	Services []Service
	Engines  []Engine
	// Cordoned domains take no new requests.
	Cordoned map[fleet.Domain]bool
	// Gateways are those of which figures are known, and Registered the number of gateways registered in
	// each domain. Without any Gateways, the decision uses the engines' reports alone.
	Gateways   []Gateway
	Registered map[fleet.Domain]int
}

// requestSize is the work of a mean request.
type requestSize struct {
	// prefill is the time for its prompt, during which the engine does nothing else. decode is the time in
	// which its tokens are decoded, together with those of other requests.
	prefill, decode float64 // seconds
}

// busy returns the share of an engine's highest rate of requests at which it holds n requests on average: by
// Little's law n = rate * residence, and the residence is the decoding, and the prefill of all prompts that
// arrive meanwhile, decode / (1 - rate*prefill). Hence rate = n / (decode + n*prefill). Without a known
// speed of the engine it is the share of slots in use, which is lower.
func (z requestSize) busy(n, slots float64) float64 {
	n = min(max(n, 0), slots)
	if z.prefill <= 0 || z.decode <= 0 {
		return n / slots
	}
	return n / (z.decode + n*z.prefill) * (z.decode + slots*z.prefill) / slots
}

// assumedPrompt and assumedOutput are the tokens of a request until gateways state them: the means of the deployments
// measured. With the share of slots in use instead, engines count as less used than they are.
const assumedPrompt, assumedOutput = 954, 95

// sizeOf returns the mean size of the requests that the figures count.
func sizeOf(t routes.Timing, f Totals) requestSize {
	prompt, output := float64(assumedPrompt), float64(assumedOutput)
	if f.Offered > 0 && f.PromptTokens > 0 && f.OutputTokens > 0 {
		prompt, output = float64(f.PromptTokens)/float64(f.Offered), float64(f.OutputTokens)/float64(f.Offered)
	}
	return requestSize{
		prefill: t.PrefillTime(int(min(prompt, 1e9))).Seconds(),
		decode:  output * t.DecodeTime().Seconds() / float64(max(1, t.StepsPerIteration)),
	}
}

// sample is the demand of a subject at one moment.
type sample struct {
	at time.Time
	// demand is the number of engines that would be fully used by it, and engines the number registered.
	demand  float64
	engines int
}

// MissingFigure names the figure without which nothing is decided.
type MissingFigure string

// The figures that may be missing. The texts are the values of logs and metrics.
const (
	NothingMissing    MissingFigure = ""
	MissingDomain     MissingFigure = "domain_cordoned"
	MissingReports    MissingFigure = "reports_old"
	MissingGateways   MissingFigure = "gateways_not_heard"
	MissingFleet      MissingFigure = "fleet_not_heard"
	MissingEngines    MissingFigure = "no_engine_serves"
	MissingSettled    MissingFigure = "engines_loading"
	MissingHistory    MissingFigure = "history_short"
	MissingLimits     MissingFigure = "bad_limits"
	MissingEngineType MissingFigure = "no_engine_configured"
)

// domainFigures are the figures of a subject at one moment.
type domainFigures struct {
	// engines counts those that are not draining, serving those that hold weights, heard those of them with a
	// recent report, and unsettled those that replace their weights or are cold.
	engines, serving, heard, unsettled int
	// busy is the sum of requestSize.busy of the engines heard.
	busy float64
	// gateways counts those heard, and offered and refused what they state since the last moment.
	gateways         int
	offered, refused float64
}

// add counts an engine.
func (f *domainFigures) add(e Engine, z requestSize, maxAge time.Duration) {
	heard := e.ReportAge >= 0 && e.ReportAge <= maxAge
	if !e.Draining {
		f.engines++
	}
	// A draining engine may have ended, so that it is not missed.
	if !e.HoldsWeights || e.Draining && (!heard || e.Requests == 0) {
		return
	}
	f.serving++
	if !heard {
		return
	}
	f.heard++
	if e.Loading || e.Cold {
		f.unsettled++
	}
	f.busy += z.busy(float64(e.Requests), float64(max(1, e.Slots)))
}

// demand returns the number of engines that the domain's callers would use fully. Engines that were not heard
// count like the others.
func (f *domainFigures) demand() float64 {
	d := f.busy * float64(f.serving) / float64(max(1, f.heard))
	// A refused caller returns once. If the share p of all requests is refused, p*p of the callers are never served.
	if p := f.refused / max(f.offered, 1); p > 0 {
		d *= min(1/(1-min(p*p, 0.99)), maxUnserved)
	}
	return d
}

// maxUnserved bounds the callers, as a multiple of those that were served: refusals may have another cause than too
// few engines.
const maxUnserved = 2.0
