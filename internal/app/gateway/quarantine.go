package gateway

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/masticwing/masticwing/internal/app/follow"
	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/quarantine"
	"github.com/masticwing/masticwing/internal/core/storeera"
	"github.com/masticwing/masticwing/internal/core/verdict"
	"github.com/masticwing/masticwing/internal/port"
)

const (
	// evidenceTTL is the time after which evidence expires that no gateway renews. It is
	// above the longest delay between two trials, each of which renews it.
	evidenceTTL = 10 * time.Minute
	// evidenceLeaseTime is the time for which a lease is used for further evidence.
	evidenceLeaseTime = time.Minute
	// evidenceInterval times the number of gateways is the pause between two writes of
	// evidence, so that all gateways together make at most 100 writes a second. The store
	// accepts 400 of the whole deployment.
	evidenceInterval = 10 * time.Millisecond
	// maxEvidenceWrites is the number of subjects in one write, of which the store accepts 32.
	maxEvidenceWrites = 16
	// evidenceRetryDelay is the pause after a failed write.
	evidenceRetryDelay = 300 * time.Millisecond
)

// quarantineRequest returns the request as the table of evidence knows it.
func (c *call) quarantineRequest() quarantine.Request {
	if c.subject == "" {
		content := quarantine.Content{
			Method: c.in.Method, Host: strings.ToLower(c.in.Host), URI: c.in.URI, Body: c.in.Body,
			Model: c.in.WorkEstimate.Model, Prompt: c.in.WorkEstimate.Prompt,
		}
		if c.account != nil {
			content.Account = c.account.Name
		}
		c.subject = content.Subject()
	}
	r := quarantine.Request{Parts: c.in.WorkEstimate.SharedParts, Whole: c.subject, Probing: c.probing}
	if c.account != nil {
		r.Account = c.account.Name
	}
	return r
}

// checkQuarantine returns an error if the request crashes targets, or has a part that does. A
// request that is a trial stays one until it ends.
func (c *call) checkQuarantine() *verdict.Error {
	if len(c.trials) > 0 {
		return nil
	}
	d := c.g.quarantine.Check(c.quarantineRequest(), c.g.deps.Clock.Now())
	if !d.Refused {
		c.trials, c.probing = d.Trials, d.Probe
		return nil
	}
	if d.StartTrial {
		select {
		case c.g.dueTrials <- d.Subject:
		default:
		}
	}
	c.g.deps.Metrics.Count("gateway_quarantined_total", 1)
	return verdict.New(verdict.NotRun, verdict.CodeQuarantined, "targets were lost before they answered %s, %d times in a row", describeSubject(d.Subject), d.Total()).
		WithRetryAfter(d.RetryAfter)
}

func describeSubject(x quarantine.Subject) string {
	if x.IsRequest() {
		return "the same request (" + string(x) + ")"
	}
	return "part " + string(x) + " of the prompt"
}

// recordLostBeforeEvent records that the connection to the target ended before any event of the
// attempt.
func (c *call) recordLostBeforeEvent() {
	c.lostBeforeEvent++
	losses, suspect := c.g.quarantine.RecordLoss(c.quarantineRequest(), c.lastSentAt, c.g.deps.Clock.Now())
	c.suspect = suspect
	c.g.reportLosses(losses, c.in.ID, c.lastChoice.Instance)
}

// reportLosses tells the other gateways that a target was lost under a request, and withdraws the attempts at it.
func (g *Gateway) reportLosses(losses []quarantine.Loss, id fleet.RequestID, target fleet.Instance) {
	g.deps.Metrics.Count("gateway_lost_before_event_total", 1)
	for _, l := range losses {
		g.deps.Log.StateChange("targets are lost under a subject", port.F("subject", string(l.Subject)), port.F("losses", l.Total()), port.F("refused", l.Refused),
			port.F("trials", l.Trials), port.F("request", string(id)), port.F("target", string(target)))
	}
	for _, l := range losses {
		g.withdrawSuspect(l.Subject)
	}
	signal(g.evidenceChanged)
	signal(g.noticeDue)
}

// withdrawSuspect withdraws the attempts at a request under which a target was lost, unless the
// request was answered before.
func (g *Gateway) withdrawSuspect(x quarantine.Subject) {
	if !x.IsRequest() || !g.quarantine.Suspect(x, g.deps.Clock.Now()) {
		return
	}
	if n := g.unanswered.withdraw(x); n > 0 {
		g.deps.Log.StateChange("attempts withdrawn", port.F("subject", string(x)), port.F("attempts", n))
	}
}

// recordAnswered records that a target has begun to answer the request.
func (c *call) recordAnswered() {
	c.g.unanswered.remove(c.subject, c)
	for _, x := range c.g.quarantine.RecordAnswered(c.quarantineRequest(), c.g.deps.Clock.Now()) {
		c.g.deps.Log.StateChange("subject is answered", port.F("subject", string(x)), port.F("request", string(c.in.ID)))
		signal(c.g.evidenceChanged)
		signal(c.g.noticeDue)
	}
}

// signal wakes the loop that receives from c, or makes it continue once it waits again.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// applyEvidence applies changes of the evidence in the store.
func (g *Gateway) applyEvidence(e follow.Event) {
	now, prefix := g.deps.Clock.Now(), g.deps.Decoder.Prefixes().Quarantine
	g.view.unreadable.quarantine.Begin(e)
	keep := map[quarantine.Subject]bool{}
	if e.Restored {
		g.quarantine.Restore()
	}
	for _, c := range e.Changes {
		if e.Reset && storeera.Era(c.Revision) < storeera.Era(e.At) {
			// The store lacks the evidence since it was restored; this gateway writes it again.
			keep[quarantine.Subject(strings.TrimPrefix(c.Key, prefix))] = true
			continue
		}
		if c.Removed {
			g.quarantine.Remove(quarantine.Subject(strings.TrimPrefix(c.Key, prefix)))
			continue
		}
		item, err := g.deps.Decoder.Decode(c.StoreItem)
		g.view.unreadable.quarantine.Record(c, err)
		if q, ok := item.(port.QuarantineItem); ok && err == nil {
			keep[q.Subject] = true
			if raised := g.quarantine.Apply(q.Subject, q.Evidence, c.Revision, now); raised && q.Evidence.Total() > 1 {
				// A single loss arrives here later than its notice, mostly after the caller has
				// sent the request again.
				g.withdrawSuspect(q.Subject)
			}
		}
	}
	if e.Reset {
		g.quarantine.Retain(keep)
		g.view.quarantineListed.Store(true)
	}
	signal(g.evidenceChanged)
}

// storeEvidenceLoop writes the evidence of this gateway to the store, and asks it for trials,
// until ctx ends.
func (g *Gateway) storeEvidenceLoop(ctx context.Context) {
	w := evidenceWriter{g: g}
	for {
		select {
		case <-ctx.Done():
			return
		case x := <-g.dueTrials:
			if u := g.quarantine.Trial(x); w.write(ctx, u) == nil {
				g.quarantine.GrantTrial(u, g.deps.Clock.Now())
				g.deps.Log.StateChange("trial of a subject", port.F("subject", string(x)), port.F("trials", u.Trials))
			}
		case <-g.evidenceChanged:
			g.storeEvidence(ctx, &w)
		}
	}
}

// storeEvidence writes until the store has all evidence of this gateway.
func (g *Gateway) storeEvidence(ctx context.Context, w *evidenceWriter) {
	for ctx.Err() == nil {
		us := g.quarantine.Updates(maxEvidenceWrites, g.deps.Clock.Now())
		if len(us) == 0 {
			return
		}
		pause := time.Duration(g.view.processes()) * evidenceInterval
		var conflict *port.ConflictError
		switch err := w.write(ctx, us...); {
		case err == nil:
			for _, u := range us {
				g.quarantine.RecordStored(u)
			}
		case !errors.As(err, &conflict) || len(conflict.Current) == 0:
			g.deps.Log.Failure("evidence is not stored", err, port.F("subjects", len(us)))
			g.quarantine.AnnounceAgain(us)
			signal(g.noticeDue)
			pause = max(pause, evidenceRetryDelay)
		}
		g.sleep(ctx, pause)
	}
}

// evidenceWriter writes evidence under a lease, which it uses for some time.
type evidenceWriter struct {
	g         *Gateway
	lease     port.LeaseID
	grantedAt time.Time
	// ended is closed once the lease has ended because the store was restored.
	ended <-chan struct{}
}

// write writes updates together. After a conflict it applies the evidence in the store.
func (w *evidenceWriter) write(ctx context.Context, us ...quarantine.Update) error {
	if err := w.renewLease(ctx); err != nil {
		return err
	}
	var expect []port.Precondition
	var writes []port.StoreWrite
	for _, u := range us {
		value, err := json.Marshal(u.Evidence)
		if err != nil {
			return errors.Wrap(err, "encoding evidence")
		}
		key := w.g.deps.Decoder.Prefixes().Quarantine + string(u.Subject)
		expect = append(expect, port.Precondition{Key: key, Revision: u.Expect})
		writes = append(writes, port.StoreWrite{Key: key, Value: value, Lease: w.lease})
	}
	err := w.g.deps.Store.Commit(ctx, expect, writes)
	if errors.Is(err, port.ErrNotFound) {
		w.lease = port.NoLease
	}
	var conflict *port.ConflictError
	if errors.As(err, &conflict) {
		var e follow.Event
		for _, it := range conflict.Current {
			e.Changes = append(e.Changes, port.StoreChange{StoreItem: it})
		}
		w.g.applyEvidence(e)
	}
	return err
}

func (w *evidenceWriter) renewLease(ctx context.Context) error {
	now := w.g.deps.Clock.Now()
	select {
	case <-w.ended:
		w.lease = port.NoLease
	default:
	}
	if w.lease != port.NoLease && now.Sub(w.grantedAt) < evidenceLeaseTime {
		return nil
	}
	ended := port.EraEnded(w.g.deps.Store)
	lease, err := w.g.deps.Store.Grant(ctx, evidenceTTL)
	if err != nil {
		return errors.Wrap(err, "granting a lease")
	}
	w.lease, w.grantedAt, w.ended = lease, now, ended
	return nil
}
