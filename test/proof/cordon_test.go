package proof

import (
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/masticwing/masticwing/internal/standin/relay"
	"github.com/masticwing/masticwing/test/harness"
)

// observationTime is how long checkNoNewRequests observes targets.
const observationTime = 2 * time.Second

// requestCount returns the number of requests that the targets of a failure domain have
// received.
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

// checkNoNewRequests fails the test if the targets of a failure domain receive requests
// within observationTime.
func (dt *deploymentTest) checkNoNewRequests(domain string) {
	dt.t.Helper()
	before := dt.requestCount(domain)
	dt.sleep(observationTime)
	if n := dt.requestCount(domain) - before; n > 0 {
		dt.t.Errorf("targets of %s got %d new requests more than %v after the cordon", domain, n, cordonBound)
	}
}

// waitForRequests waits until the targets of a failure domain receive a request.
func (dt *deploymentTest) waitForRequests(bound time.Duration, domain string) {
	dt.t.Helper()
	before := dt.requestCount(domain)
	dt.must(harness.WaitFor(dt.ctx, bound, "a request in domain "+domain, func() error {
		if dt.requestCount(domain) == before {
			return errors.New("no new request")
		}
		return nil
	}))
}

// checkNoFailures fails the test unless each request that passes the filter got its complete
// response.
func (dt *deploymentTest) checkNoFailures(filter func(requestRecord) bool) {
	dt.t.Helper()
	dt.reportViolations("failed requests", dt.failedRequests(0, dt.elapsed(), filter))
}

func anyRecord(requestRecord) bool { return true }

// TestCordonUnderLoad guards against new requests in a cordoned failure domain, and against
// requests that fail when the domain is cordoned or uncordoned.
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
		dt.logStep("uncordoned " + domain)
		dt.waitForRequests(configBound, domain)
	}
	dt.sleep(500 * time.Millisecond)
	dt.finish()
	dt.checkNoFailures(anyRecord)
}

// TestCordonWhileEntryIsCutOff guards against an entry that sends requests to a cordoned
// failure domain because it cannot reach the platform. The entry has to learn of the cordon
// from its peers.
func TestCordonWhileEntryIsCutOff(t *testing.T) {
	dt := deploy(t, func(s *harness.Spec) { s.RelayedLinks = []harness.Link{harness.LinkPlatform} })
	cutOff := dt.Entries[1]
	dt.startLoad()
	dt.must(dt.SetLinkFaults(dt.ctx, harness.LinkPlatform, relay.Faults{Cut: true}, cutOff))
	dt.logStep(cutOff.Name + " is cut off from the platform")
	dt.sleep(time.Second)
	rev, err := dt.revision(cutOff)
	dt.must(err)
	dt.must(dt.Cordon(dt.ctx, "a"))
	dt.logStep("cordoned a")
	dt.waitForRevision(cordonBound, rev+1, cutOff)
	dt.logStep(cutOff.Name + " has the cordon")
	dt.sleep(cordonBound)
	dt.checkNoNewRequests("a")
	dt.must(dt.Uncordon(dt.ctx, "a"))
	dt.waitForRequests(configBound, "a")
	dt.finish()
	dt.checkNoFailures(anyRecord)
}

// partitionTime is how long TestDomainCutOff observes a partition. It is longer than the
// time after which processes give up a silent connection.
const partitionTime = 4 * time.Second

// TestDomainCutOff cuts a failure domain off from the platform, the origin and the other
// domains. It guards against a domain that then stops serving its own callers, that runs
// keyed calls without a record, or that keeps an old revision after the partition ends.
func TestDomainCutOff(t *testing.T) {
	dt := deploy(t, func(s *harness.Spec) {
		s.RelayedLinks = []harness.Link{harness.LinkPlatform, harness.LinkOrigin, harness.LinkRPC}
	})
	v1, inB := dt.versions["v1"], func(r requestRecord) bool { return r.entry == "b-e1" && r.isGenerate() }
	v2 := dt.publish("v2", 2)
	oldRevision, err := dt.revision(dt.Entries[1])
	dt.must(err)
	dt.startLoad()
	dt.sleep(500 * time.Millisecond)
	dt.must(dt.CutDomain(dt.ctx, "b", true))
	dt.logStep("domain b is cut off")
	dt.declareVersion("v2")
	dt.waitForRevision(configBound, oldRevision+1, dt.NodesInDomain("a")...)
	dt.sleep(silentBound)
	from := dt.elapsed()
	dt.sleep(partitionTime)
	to := dt.elapsed()
	dt.must(dt.CutDomain(dt.ctx, "b", false))
	dt.logStep("domain b is connected again")
	dt.waitForRevision(configBound, oldRevision+1, dt.NodesInDomain("b")...)
	dt.logStep("the latest revision is in force in domain b")
	dt.must(dt.WaitVersion(dt.ctx, waitBound, v2))
	dt.finish()
	dt.reportViolations("failed requests at the entry that was cut off", dt.failedRequests(from, to, inB))
	dt.checkServedVersion(from, to, "b-e1", v1)
	dt.checkKeyedCallsRefused(from, to, "b-e1")
	dt.checkVersionsServed(v1, v2)
}

// checkServedVersion fails the test unless an entry answered generate requests that began
// between from and to, all of them from the given version.
func (dt *deploymentTest) checkServedVersion(from, to time.Duration, entry, version string) {
	dt.t.Helper()
	n := 0
	for _, r := range dt.allRecords() {
		if r.entry != entry || !r.isGenerate() || r.startedAt < from || r.startedAt >= to || r.outcome != ran {
			continue
		}
		if n++; r.response.Version != version {
			dt.t.Errorf("%s answered from version %s while it was cut off", entry, r.response.Version)
		}
	}
	if dt.t.Logf("%d responses from %s while it was cut off", n, entry); n == 0 {
		dt.t.Errorf("%s answered nothing while it was cut off", entry)
	}
}

// checkKeyedCallsRefused fails the test unless an entry got new keyed calls between from and
// to and refused all of them as not run. Retries of calls from before are not counted.
func (dt *deploymentTest) checkKeyedCallsRefused(from, to time.Duration, entry string) {
	dt.t.Helper()
	n := 0
	firstSent := map[string]time.Duration{}
	for _, r := range dt.allRecords() {
		if _, seen := firstSent[r.req.Key]; !seen {
			firstSent[r.req.Key] = r.startedAt
		}
		if r.req.Key == "" || r.entry != entry || r.startedAt < from || r.endedAt >= to || firstSent[r.req.Key] < from {
			continue
		}
		if n++; r.outcome != notRun {
			dt.t.Errorf("a keyed call at %s while it was cut off: %s", entry, r.describe())
		}
	}
	if dt.t.Logf("%d keyed calls at %s while it was cut off", n, entry); n == 0 {
		dt.t.Errorf("%s got no keyed call while it was cut off", entry)
	}
}
