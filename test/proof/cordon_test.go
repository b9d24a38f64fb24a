package proof

import (
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/masticwing/masticwing/internal/standin/relay"
	"github.com/masticwing/masticwing/test/harness"
)

// watchFor is how long a target that may get no new work is watched.
const observationTime = 2 * time.Second

// work returns how many requests the targets of a failure domain have got.
func (dt *deploymentTest) requestCount(domain string) int64 {
	dt.t.Helper()
	var n int64
	for _, a := range append(dt.agents(domain, true), dt.agents(domain, false)...) {
		c, err := harness.GetCounts(dt.ctx, a.TargetAddr)
		dt.must(err)
		n += c["generate"] + c["log"]
	}
	return n
}

// idle fails the test if the targets of a failure domain get new work.
func (dt *deploymentTest) checkNoNewRequests(domain string) {
	dt.t.Helper()
	before := dt.requestCount(domain)
	dt.sleep(observationTime)
	if n := dt.requestCount(domain) - before; n > 0 {
		dt.t.Errorf("targets of %s got %d new requests more than %v after the cordon", domain, n, cordonBound)
	}
}

// working waits until the targets of a failure domain get work.
func (dt *deploymentTest) waitForRequests(bound time.Duration, domain string) {
	dt.t.Helper()
	before := dt.requestCount(domain)
	dt.must(harness.WaitFor(dt.ctx, bound, "work in "+domain, func() error {
		if dt.requestCount(domain) == before {
			return errors.New("no new request")
		}
		return nil
	}))
}

// allAnswered fails the test unless each request that passes the filter has its
// whole answer.
func (dt *deploymentTest) checkAllAnswered(filter func(requestRecord) bool) {
	dt.t.Helper()
	dt.reportViolations("requests without an answer", dt.unanswered(0, dt.elapsed(), filter))
}

func anyRecord(requestRecord) bool { return true }

// TestCordonUnderLoad guards against new work in a cordoned failure domain, and
// against requests that are cut or lost when it leaves and returns.
func TestCordonUnderLoad(t *testing.T) {
	dt := deploy(t, nil)
	dt.startLoad()
	dt.sleep(500 * time.Millisecond)
	for _, domain := range []string{"b", "a"} {
		dt.waitForRequests(waitBound, domain)
		dt.must(dt.Cordon(dt.ctx, domain))
		dt.logStep("cordoned " + domain)
		dt.sleep(cordonBound)
		dt.checkNoNewRequests(domain)
		dt.must(dt.Uncordon(dt.ctx, domain))
		dt.logStep("returned " + domain)
		dt.waitForRequests(configBound, domain)
	}
	dt.sleep(500 * time.Millisecond)
	dt.finish()
	dt.checkAllAnswered(anyRecord)
}

// TestCordonWhileEntryIsCutOff guards against an entry that sends work to a
// cordoned failure domain because it cannot reach the platform: it has to learn
// of the cordon from its peers.
func TestCordonWhileEntryIsCutOff(t *testing.T) {
	dt := deploy(t, func(s *harness.Spec) { s.RelayedLinks = []harness.Link{harness.LinkPlatform} })
	cut := dt.Entries[1]
	dt.startLoad()
	dt.must(dt.SetLinkFaults(dt.ctx, harness.LinkPlatform, relay.Faults{Cut: true}, cut))
	dt.logStep(cut.Name + " is cut off from the platform")
	dt.sleep(time.Second)
	rev, err := dt.revision(cut)
	dt.must(err)
	dt.must(dt.Cordon(dt.ctx, "a"))
	dt.logStep("cordoned a")
	dt.waitForRevision(cordonBound, rev+1, cut)
	dt.logStep(cut.Name + " knows of the cordon")
	dt.sleep(cordonBound)
	dt.checkNoNewRequests("a")
	dt.must(dt.Uncordon(dt.ctx, "a"))
	dt.waitForRequests(configBound, "a")
	dt.finish()
	dt.checkAllAnswered(anyRecord)
}

// cutOffFor is how long a failure domain is cut off. It is longer than the time
// after which processes give up on a silent peer.
const partitionTime = 4 * time.Second

// TestDomainCutOff guards against a failure domain that stops serving its own
// callers when it loses the platform and the other failure domains, against
// keyed calls that run there without a record, and against one that keeps an
// old revision after it is healed.
func TestDomainCutOff(t *testing.T) {
	dt := deploy(t, func(s *harness.Spec) {
		s.RelayedLinks = []harness.Link{harness.LinkPlatform, harness.LinkOrigin, harness.LinkRPC}
	})
	v1, inB := dt.versions["v1"], func(r requestRecord) bool { return r.entry == "b-e1" && r.isGenerate() }
	v2 := dt.publish("v2", 2)
	old, err := dt.revision(dt.Entries[1])
	dt.must(err)
	dt.startLoad()
	dt.sleep(500 * time.Millisecond)
	dt.must(dt.CutDomain(dt.ctx, "b", true))
	dt.logStep("b is cut off")
	dt.declareVersion("v2")
	dt.waitForRevision(configBound, old+1, dt.NodesInDomain("a")...)
	dt.sleep(silentBound)
	from := dt.elapsed()
	dt.sleep(partitionTime)
	to := dt.elapsed()
	dt.must(dt.CutDomain(dt.ctx, "b", false))
	dt.logStep("b is healed")
	dt.waitForRevision(configBound, old+1, dt.NodesInDomain("b")...)
	dt.logStep("the newest revision is in force in b")
	dt.must(dt.WaitVersion(dt.ctx, waitBound, v2))
	dt.finish()
	dt.reportViolations("requests at the cut off entry without an answer", dt.unanswered(from, to, inB))
	dt.checkServedVersion(from, to, "b-e1", v1)
	dt.checkKeyedCallsRefused(from, to, "b-e1")
	dt.checkVersionsServed(v1, v2)
}

// onlyFrom fails the test unless an entry has answered in a time, and all from
// one version.
func (dt *deploymentTest) checkServedVersion(from, to time.Duration, entry, version string) {
	dt.t.Helper()
	n := 0
	for _, r := range dt.allRecords() {
		if r.entry != entry || !r.isGenerate() || r.startedAt < from || r.startedAt >= to || r.outcome != ran {
			continue
		}
		if n++; r.answer.Version != version {
			dt.t.Errorf("%s, cut off, answered from version %s", entry, r.answer.Version)
		}
	}
	if dt.t.Logf("%d answers at %s while it was cut off", n, entry); n == 0 {
		dt.t.Errorf("%s answered nothing while it was cut off", entry)
	}
}

// keyedRefused fails the test unless an entry refused all new keyed calls as
// not run in a time.
func (dt *deploymentTest) checkKeyedCallsRefused(from, to time.Duration, entry string) {
	dt.t.Helper()
	n := 0
	first := map[string]time.Duration{}
	for _, r := range dt.allRecords() {
		if _, again := first[r.req.Key]; !again {
			first[r.req.Key] = r.startedAt
		}
		if r.req.Key == "" || r.entry != entry || r.startedAt < from || r.endedAt >= to || first[r.req.Key] < from {
			continue
		}
		if n++; r.outcome != notRun {
			dt.t.Errorf("a keyed call at %s, cut off: %s", entry, r.describe())
		}
	}
	if dt.t.Logf("%d keyed calls at %s while it was cut off", n, entry); n == 0 {
		dt.t.Errorf("%s got no keyed call while it was cut off", entry)
	}
}
