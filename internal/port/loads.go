package port

import (
	"context"
	"net/netip"

	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/moment"
	"github.com/masticwing/masticwing/internal/core/placement"
	"github.com/masticwing/masticwing/internal/core/quarantine"
	"github.com/masticwing/masticwing/internal/core/usage"
)

// LoadNotice tells the other gateways that the sender has sent a request to a target.
type LoadNotice struct {
	Target       fleet.Address
	PromptTokens int
}

// SpeedNotice tells the other gateways what the target of a plain service has stated in a response.
type SpeedNotice struct {
	Target                  fleet.Address
	Running, Waiting, Slots int
	// Factor is TargetSpeed.Factor, to hundredths.
	Factor float64
}

// EvidenceNotice tells the other gateways of evidence before the store has it.
type EvidenceNotice struct {
	Evidence []SubjectEvidence
	// Relay asks the receiver to pass the notice on within its failure domain.
	Relay bool
}

// SubjectEvidence is the evidence against a subject: its losses and their accounts. Notices
// contain neither trials nor what operators hold. With a Probe, it says only that.
type SubjectEvidence struct {
	Subject  quarantine.Subject
	Evidence quarantine.Evidence
	Probe    quarantine.Probe
}

// MaxNoticeEvidence is the largest number of subjects in a notice.
const MaxNoticeEvidence = 16

// LoadReport is the load of one target at the time of sending.
type LoadReport struct {
	Target fleet.Address
	// Started is the start time of the target, in Unix milliseconds.
	Started int64
	// Weights is the version of the weights that the target holds.
	Weights int64
	// OrderCount is the number of orders that the target has begun.
	OrderCount int64
	// Intact is the newest version of which the loader knows that the target loaded intact
	// chunks since its start, or zero. Weights may be newer.
	Intact int64
	// Leaving means that the target has announced that it leaves.
	Leaving bool
	// Declared is the declaration that the sender enforces, of the first model of the target's
	// service.
	Declared DeclaredWeights
	Load     placement.Load
}

// DeclaredWeights is a declaration of weights that a loader enforces: it takes older ones out of
// service before their bound is over. It states when they were declared, for gateways that have
// started since.
type DeclaredWeights struct {
	// Number is zero if the loader enforces no declaration.
	Number int64
	// Required is the oldest weights that may serve requests, or zero for any.
	Required int64
	// Age is that of the oldest declaration whose bound is not over, as a time when the report
	// was sent.
	Age moment.Age
}

// LoadSender sends reports and notices, which may be lost.
type LoadSender interface {
	// SendReport sends a report to all addresses. An error for one address does not stop the
	// others; the last error is returned.
	SendReport(r LoadReport, to []netip.AddrPort) error
	// SendNotice sends a notice to all addresses. It handles errors like SendReport.
	SendNotice(n LoadNotice, to []netip.AddrPort) error
	// SendEvidence sends a notice of MaxNoticeEvidence subjects at most to all addresses. It
	// handles errors like SendReport.
	SendEvidence(n EvidenceNotice, to []netip.AddrPort) error
	// SendSpeed sends a notice to all addresses. It handles errors like SendReport.
	SendSpeed(n SpeedNotice, to []netip.AddrPort) error
	// SendUsage sends a notice of usage to all addresses, in as many datagrams as it needs. It handles errors
	// like SendReport.
	SendUsage(n usage.Notice, to []netip.AddrPort) error
	// SendClock sends a median of clocks to all addresses. It handles errors like SendReport.
	SendClock(n usage.ClockNotice, to []netip.AddrPort) error
	// Close releases the sender.
	Close() error
}

// LoadHandler handles received reports and notices.
type LoadHandler interface {
	HandleReport(r LoadReport)
	HandleNotice(n LoadNotice)
	HandleEvidence(n EvidenceNotice)
	HandleSpeed(n SpeedNotice)
	// HandleUsage handles one datagram of a notice of usage.
	HandleUsage(n usage.Notice)
	HandleClock(n usage.ClockNotice)
}

// LoadNetwork carries load reports from loaders to gateways and notices among gateways.
type LoadNetwork interface {
	// NewSender returns a sender that uses the local address ip.
	NewSender(ip netip.Addr) (LoadSender, error)
	// Receive passes the reports and notices received at addr to h until ctx ends, or
	// returns an error.
	Receive(ctx context.Context, addr fleet.Address, h LoadHandler) error
}
