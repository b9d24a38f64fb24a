// Package descriptors divides the descriptors of a gateway between the connections of callers and
// those to targets, and decides when there are too few for further work.
package descriptors

const (
	// reserved is the number of descriptors for files, listeners, the store, and connections between
	// processes. The platform sets 200 aside for files.
	reserved = 300
	// nearlyFull is the fraction of a share from which the gateway says that it is not ready, so that
	// callers connect to others before this one refuses them.
	nearlyFull = 0.9
)

// refusalsOfHalf is the part of the descriptors for targets, which are rarely all in use, that is kept for
// callers who are refused: one in ten.
const refusalsOfHalf = 10

// Budget is the number of connections that may be open.
type Budget struct {
	Callers, Targets int
	// Refusals is the number of further callers that are told that too many are connected. Beyond them
	// connections are closed without an answer.
	Refusals int
	// PerTarget bounds the connections to one target.
	PerTarget int
}

// Divide returns the budget of a process with a number of descriptors, and with memory for the connections of
// maxCallers. A request in progress has a connection on either side, and both sides keep idle ones.
func Divide(descriptors, perTarget, maxCallers int) Budget {
	half := max(1, (descriptors-reserved)/2)
	refusals := half / refusalsOfHalf
	targets := half - refusals
	return Budget{Callers: min(half, maxCallers), Refusals: refusals, Targets: targets, PerTarget: min(perTarget, targets)}
}

// Usage is the number of open connections.
type Usage struct {
	Callers, Targets int
	// IdleTargets are the connections to targets that carry no request. They are closed before
	// another one is refused.
	IdleTargets int
}

// AdmitsCaller reports whether another caller may connect.
func (b Budget) AdmitsCaller(u Usage) bool { return u.Callers < b.Callers }

// NearlyFull reports whether new callers should connect to other gateways.
func (b Budget) NearlyFull(u Usage) bool {
	return float64(u.Callers) >= nearlyFull*float64(b.Callers) || float64(u.Targets-u.IdleTargets) >= nearlyFull*float64(b.Targets)
}
