package gateway

import (
	"context"
	"time"

	"github.com/masticwing/masticwing/internal/core/quarantine"
	"github.com/masticwing/masticwing/internal/port"
)

// noticeInterval is the pause between two notices of one gateway. Many requests are lost at the
// same moment only if a failure domain is, and that is no evidence.
const noticeInterval = 5 * time.Millisecond

// announceEvidenceLoop tells the other gateways what this one finds, until ctx ends. Through the
// store they would learn of it some tenths of a second later, and not at all while the store is out
// of reach; each request at fault that they send meanwhile costs a target.
func (g *Gateway) announceEvidenceLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.noticeDue:
		}
		for g.announceEvidence() == port.MaxNoticeEvidence {
			g.sleep(ctx, noticeInterval)
		}
	}
}

// announceEvidence sends one notice, and returns the number of subjects in it.
func (g *Gateway) announceEvidence() int {
	var n port.EvidenceNotice
	for _, u := range g.quarantine.Unannounced(port.MaxNoticeEvidence) {
		e := quarantine.Evidence{Losses: u.Losses, Account: u.Account, Others: u.Others}
		n.Evidence = append(n.Evidence, port.SubjectEvidence{Subject: u.Subject, Evidence: e})
	}
	if len(n.Evidence) > 0 {
		g.sendEvidence(n)
	}
	return len(n.Evidence)
}

// sendEvidence sends a notice to all other gateways.
func (g *Gateway) sendEvidence(n port.EvidenceNotice) {
	sender := g.noticeSender.Load()
	if sender == nil {
		return
	}
	group := g.view.gatewayGroup.Load()
	err := (*sender).SendEvidence(n, group.Own())
	n.Relay = true
	if e := (*sender).SendEvidence(n, group.Relays(g.deps.Rand.IntN)); e != nil {
		err = e
	}
	if err != nil {
		g.deps.Metrics.Count("gateway_notices_unsent_total", 1)
	}
}

// HandleEvidence records evidence that another gateway has, and passes it on within the domain if
// that is asked for. It implements port.LoadHandler.
func (g *Gateway) HandleEvidence(n port.EvidenceNotice) {
	now := g.deps.Clock.Now()
	for _, x := range n.Evidence {
		switch {
		case !x.Subject.Valid():
		case x.Probe != quarantine.NoProbe:
			g.quarantine.HearProbe(x.Subject, x.Probe, now)
		case g.quarantine.Hear(x.Subject, x.Evidence, now):
			g.withdrawSuspect(x.Subject)
		}
	}
	sender := g.noticeSender.Load()
	if !n.Relay || sender == nil {
		return
	}
	n.Relay = false
	if err := (*sender).SendEvidence(n, g.view.gatewayGroup.Load().Own()); err != nil {
		g.deps.Metrics.Count("gateway_notices_unsent_total", 1)
	}
}

// tellProbe tells the other gateways that the request is sent as the probe of its subject.
func (c *call) tellProbe() {
	if c.probing && !c.probeTold {
		c.probeTold = true
		c.g.sendProbe(c.subject, quarantine.ProbeBegun)
	}
}

// endProbe lets others send the request again.
func (c *call) endProbe() {
	if !c.probing {
		return
	}
	c.g.quarantine.EndProbe(c.subject)
	if c.probeTold {
		c.g.sendProbe(c.subject, quarantine.ProbeEnded)
	}
}

func (g *Gateway) sendProbe(x quarantine.Subject, p quarantine.Probe) {
	g.sendEvidence(port.EvidenceNotice{Evidence: []port.SubjectEvidence{{Subject: x, Probe: p}}})
}
