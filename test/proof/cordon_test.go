package proof

import (
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/masticwing/masticwing/internal/standin/relay"
	"github.com/masticwing/masticwing/test/harness"
)

// watchFor is how long a target that may get no new work is watched.
const watchFor = 2 * time.Second

// work returns how many requests the targets of a failure domain have got.
func (w *world) work(domain string) int64 {
	w.t.Helper()
	var n int64
	for _, a := range append(w.agents(domain, true), w.agents(domain, false)...) {
		c, err := harness.GetCounts(w.ctx, a.TargetAddr)
		w.must(err)
		n += c["generate"] + c["log"]
	}
	return n
}

// idle fails the test if the targets of a failure domain get new work.
func (w *world) idle(domain string) {
	w.t.Helper()
	before := w.work(domain)
	w.sleep(watchFor)
	if n := w.work(domain) - before; n > 0 {
		w.t.Errorf("targets of %s got %d new requests more than %v after the cordon", domain, n, cordonBound)
	}
}

// working waits until the targets of a failure domain get work.
func (w *world) working(bound time.Duration, domain string) {
	w.t.Helper()
	before := w.work(domain)
	w.must(harness.WaitFor(w.ctx, bound, "work in "+domain, func() error {
		if w.work(domain) == before {
			return errors.New("no new request")
		}
		return nil
	}))
}

// allAnswered fails the test unless each request that passes the filter has its
// whole answer.
func (w *world) allAnswered(filter func(record) bool) {
	w.t.Helper()
	w.report("requests without an answer", w.lost(0, w.now(), filter))
}

func every(record) bool { return true }

// TestCordonUnderLoad guards against new work in a cordoned failure domain, and
// against requests that are cut or lost when it leaves and returns.
func TestCordonUnderLoad(t *testing.T) {
	w := deploy(t, nil)
	w.startLoad()
	w.sleep(500 * time.Millisecond)
	for _, domain := range []string{"b", "a"} {
		w.working(waitBound, domain)
		w.must(w.Cordon(w.ctx, domain))
		w.note("cordoned " + domain)
		w.sleep(cordonBound)
		w.idle(domain)
		w.must(w.Uncordon(w.ctx, domain))
		w.note("returned " + domain)
		w.working(configBound, domain)
	}
	w.sleep(500 * time.Millisecond)
	w.finish()
	w.allAnswered(every)
}

// TestCordonWhileEntryIsCutOff guards against an entry that sends work to a
// cordoned failure domain because it cannot reach the platform: it has to learn
// of the cordon from its peers.
func TestCordonWhileEntryIsCutOff(t *testing.T) {
	w := deploy(t, func(s *harness.Spec) { s.RelayedLinks = []harness.Link{harness.LinkPlatform} })
	cut := w.Entries[1]
	w.startLoad()
	w.must(w.SetLinkFaults(w.ctx, harness.LinkPlatform, relay.Faults{Cut: true}, cut))
	w.note(cut.Name + " is cut off from the platform")
	w.sleep(time.Second)
	rev, err := w.revision(cut)
	w.must(err)
	w.must(w.Cordon(w.ctx, "a"))
	w.note("cordoned a")
	w.waitRevision(cordonBound, rev+1, cut)
	w.note(cut.Name + " knows of the cordon")
	w.sleep(cordonBound)
	w.idle("a")
	w.must(w.Uncordon(w.ctx, "a"))
	w.working(configBound, "a")
	w.finish()
	w.allAnswered(every)
}

// cutOffFor is how long a failure domain is cut off. It is longer than the time
// after which processes give up on a silent peer.
const cutOffFor = 4 * time.Second

// TestDomainCutOff guards against a failure domain that stops serving its own
// callers when it loses the platform and the other failure domains, against
// keyed calls that run there without a record, and against one that keeps an
// old revision after it is healed.
func TestDomainCutOff(t *testing.T) {
	w := deploy(t, func(s *harness.Spec) {
		s.RelayedLinks = []harness.Link{harness.LinkPlatform, harness.LinkOrigin, harness.LinkRPC}
	})
	v1, inB := w.versions["v1"], func(r record) bool { return r.entry == "b-e1" && r.generate() }
	v2 := w.publish("v2", 2)
	old, err := w.revision(w.Entries[1])
	w.must(err)
	w.startLoad()
	w.sleep(500 * time.Millisecond)
	w.must(w.CutDomain(w.ctx, "b", true))
	w.note("b is cut off")
	w.declare("v2")
	w.waitRevision(configBound, old+1, w.NodesInDomain("a")...)
	w.sleep(silentBound)
	from := w.now()
	w.sleep(cutOffFor)
	to := w.now()
	w.must(w.CutDomain(w.ctx, "b", false))
	w.note("b is healed")
	w.waitRevision(configBound, old+1, w.NodesInDomain("b")...)
	w.note("the newest revision is in force in b")
	w.must(w.WaitVersion(w.ctx, waitBound, v2))
	w.finish()
	w.report("requests at the cut off entry without an answer", w.lost(from, to, inB))
	w.onlyFrom(from, to, "b-e1", v1)
	w.keyedRefused(from, to, "b-e1")
	w.served(v1, v2)
}

// onlyFrom fails the test unless an entry has answered in a time, and all from
// one version.
func (w *world) onlyFrom(from, to time.Duration, entry, version string) {
	w.t.Helper()
	n := 0
	for _, r := range w.all() {
		if r.entry != entry || !r.generate() || r.began < from || r.began >= to || r.outcome != ran {
			continue
		}
		if n++; r.answer.Version != version {
			w.t.Errorf("%s, cut off, answered from version %s", entry, r.answer.Version)
		}
	}
	if w.t.Logf("%d answers at %s while it was cut off", n, entry); n == 0 {
		w.t.Errorf("%s answered nothing while it was cut off", entry)
	}
}

// keyedRefused fails the test unless an entry refused all new keyed calls as
// not run in a time.
func (w *world) keyedRefused(from, to time.Duration, entry string) {
	w.t.Helper()
	n := 0
	first := map[string]time.Duration{}
	for _, r := range w.all() {
		if _, again := first[r.req.Key]; !again {
			first[r.req.Key] = r.began
		}
		if r.req.Key == "" || r.entry != entry || r.began < from || r.end >= to || first[r.req.Key] < from {
			continue
		}
		if n++; r.outcome != notRun {
			w.t.Errorf("a keyed call at %s, cut off: %s", entry, r.failed())
		}
	}
	if w.t.Logf("%d keyed calls at %s while it was cut off", n, entry); n == 0 {
		w.t.Errorf("%s got no keyed call while it was cut off", entry)
	}
}
