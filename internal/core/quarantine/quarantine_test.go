package quarantine

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/masticwing/masticwing/internal/core/fleet"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// withParts returns a request with parts of its prompt. Its whole differs from that of all others.
func withParts(parts ...fleet.PromptPart) Request {
	wholes++
	return Request{Account: "a", Parts: parts, Whole: Content{URI: fmt.Sprint(wholes)}.Subject()}
}

var wholes int

func refused(t *Table, now time.Time, parts ...fleet.PromptPart) bool {
	return t.Check(withParts(parts...), now).Refused
}

// TestConcurrentLossesCountOnce guards against refusing a part because a rack, a domain or many
// connections were lost at once while requests with the part were in progress.
func TestConcurrentLossesCountOnce(t *testing.T) {
	table := NewTable()
	for i := range 10 {
		table.RecordLoss(withParts("p"), at(i), at(100+i))
	}
	if refused(table, at(200), "p") {
		t.Error("refused after losses of requests that were sent before the first one was known")
	}
	table.RecordLoss(withParts("p"), at(201), at(300))
	if !refused(table, at(301), "p") {
		t.Error("not refused after the loss of a later request")
	}
}

// TestAnsweredPartIsNotBlamed guards against refusing a part of many sound requests that stands
// beside one at fault, and against a part that is refused although it is answered again.
func TestAnsweredPartIsNotBlamed(t *testing.T) {
	table := NewTable()
	table.RecordAnswered(withParts("first"), at(0))
	for i := range 10 {
		table.RecordLoss(withParts("first", "dead"), at(100*i+50), at(100*i+90))
	}
	if refused(table, at(2000), "first") || !refused(table, at(2000), "first", "dead") {
		t.Errorf("first refused: %v, dead refused: %v", refused(table, at(2000), "first"), refused(table, at(2000), "dead"))
	}
	if cleared := table.RecordAnswered(withParts("dead"), at(2001)); len(cleared) != 1 || refused(table, at(2002), "dead") {
		t.Errorf("cleared %v by an answer", cleared)
	}
}

// TestAnsweredPartMayTurnBad guards against a part that is never refused because it was answered
// before it began to crash targets.
func TestAnsweredPartMayTurnBad(t *testing.T) {
	table := NewTable()
	table.RecordAnswered(withParts("p"), at(0))
	n := 0
	for ; n < 10 && !refused(table, at(100*n), "p"); n++ {
		table.RecordLoss(withParts("p"), at(100*n+50), at(100*n+90))
	}
	if n != answeredRefusedLosses {
		t.Errorf("refused after %d losses, want %d", n, answeredRefusedLosses)
	}
}

// TestSingleLossesAreForgotten guards against refusing a part after rare losses.
func TestSingleLossesAreForgotten(t *testing.T) {
	table := NewTable()
	for i := range 10 {
		now := start.Add(time.Duration(i) * (suspectTime + time.Second))
		table.RecordLoss(withParts("p"), now.Add(-time.Second), now)
		if refused(table, now, "p") {
			t.Fatalf("refused after %d losses that are more than %v apart", i+1, suspectTime)
		}
	}
}

// TestTrials guards against a part that is refused for good, against several trials at a time,
// and against one before the last one has failed for long enough.
func TestTrials(t *testing.T) {
	table := NewTable()
	now := start
	for range refusedLosses {
		table.RecordLoss(withParts("p"), now.Add(time.Second), now.Add(2*time.Second))
		now = now.Add(2 * time.Second)
	}
	for i, delay := range []time.Duration{firstTrialDelay, 2 * firstTrialDelay, 4 * firstTrialDelay, maxTrialDelay, maxTrialDelay} {
		if d := table.Check(withParts("p"), now.Add(delay-time.Second)); !d.Refused || d.StartTrial {
			t.Fatalf("trial %d: %+v before %v", i, d, delay)
		}
		now = now.Add(delay)
		if d := table.Check(withParts("p"), now); !d.Refused || !d.StartTrial {
			t.Fatalf("trial %d: %+v after %v", i, d, delay)
		}
		if d := table.Check(withParts("p"), now); d.StartTrial {
			t.Fatalf("trial %d is asked for twice", i)
		}
		u := table.Trial("p")
		table.GrantTrial(u, now)
		if refused(table, now, "p") || !refused(table, now, "p") {
			t.Fatalf("trial %d: want one request let through", i)
		}
	}
	table.RecordAnswered(withParts("p"), now)
	if refused(table, now, "p") {
		t.Error("refused after a trial that was answered")
	}
}

// TestEvidenceOfManyRequestsIsBounded guards against callers who make a process remember any
// number of parts.
func TestEvidenceOfManyRequestsIsBounded(t *testing.T) {
	table := NewTable()
	for i := range 20 * maxSubjects {
		r := withParts(fleet.PromptPart(fmt.Sprintf("%x", i)))
		r.Account = fleet.Customer(fmt.Sprint("a", i%20))
		table.RecordLoss(r, at(i), at(i))
		table.RecordAnswered(withParts(fleet.PromptPart(fmt.Sprintf("a%x", i))), at(i))
	}
	remembered := 0
	for _, a := range []*answeredSubjects{table.answeredParts, table.answeredRequests} {
		a.buckets.Range(func(_ uint32, g *generations) bool {
			remembered += len(g.newer) + len(g.older)
			return true
		})
	}
	if n := table.subjects.Len(); n > maxSubjects || remembered > 4*answeredBuckets*maxGenerationSubjects {
		t.Errorf("%d subjects with evidence and %d answered ones are kept", n, remembered)
	}
}

// TestAccountHasShareOfEvidence guards against an account whose requests, each of which differs, leave
// no room for evidence against those of others, and against room that is not returned.
func TestAccountHasShareOfEvidence(t *testing.T) {
	table := NewTable()
	for i := range 4 * maxSubjects {
		table.RecordLoss(withParts(), at(i), at(i))
	}
	if n := table.subjects.Len(); n > maxAccountSubjects {
		t.Fatalf("%d subjects of one account are kept, want %d at most", n, maxAccountSubjects)
	}
	other := withParts()
	other.Account = "b"
	table.RecordLoss(other, at(0), at(100))
	table.RecordLoss(other, at(200), at(300))
	if !table.Check(other, at(400)).Refused {
		t.Error("another account's request is not refused")
	}
	later := start.Add(2 * suspectTime)
	table.Updates(1, later)
	if n := table.subjects.Len(); n != 1 {
		t.Errorf("%d subjects are kept after their time, want the refused one", n)
	}
	again := withParts()
	if losses, _ := table.RecordLoss(again, later, later); len(losses) != 1 {
		t.Error("no room for the account after its evidence is forgotten")
	}
}

// TestRepeatedRequestIsRefused guards against a request that crashes each target it reaches and
// returns under new ids, and against refusing the other requests of its account.
func TestRepeatedRequestIsRefused(t *testing.T) {
	table, deadly := NewTable(), withParts("first")
	table.RecordAnswered(withParts("first"), at(0))
	n := 0
	for ; n < 10 && !table.Check(deadly, at(100*n)).Refused; n++ {
		table.RecordLoss(deadly, at(100*n+50), at(100*n+90))
	}
	if n != refusedLosses {
		t.Errorf("refused after %d losses, want %d", n, refusedLosses)
	}
	if refused(table, at(2000), "first") {
		t.Error("another request with the same first part is refused")
	}
	if parts, requests := table.Refused(); parts != 0 || requests != 1 {
		t.Errorf("%d parts and %d requests are refused", parts, requests)
	}
}

// TestAccountCannotRefuseForOthers guards against an account that has a part of another one's prompts
// refused by naming it in requests that crash targets, and against a part that is at fault in the
// requests of many accounts and costs targets for each of them.
func TestAccountCannotRefuseForOthers(t *testing.T) {
	table, ms := NewTable(), 0
	lose := func(account fleet.Customer) (lost bool) {
		r := withParts("p")
		r.Account = account
		ms += 100
		if table.Check(r, at(ms)).Refused {
			return false
		}
		table.RecordLoss(r, at(ms), at(ms+50))
		return true
	}
	for lose("attacker") {
	}
	victim := withParts("p")
	victim.Account = "victim"
	if table.Check(victim, at(ms)).Refused {
		t.Fatal("refused for an account that has lost no target")
	}
	lost := 0
	for i := range 10 {
		if lose(fleet.Customer(fmt.Sprint("c", i))) {
			lost++
		}
	}
	if lost != refusedLosses {
		t.Errorf("%d further targets are lost under ten accounts, want %d", lost, refusedLosses)
	}
}

// TestContentIdentifiesRequest guards against two requests of one subject, one of which may be sound,
// and against a subject that differs between two attempts.
func TestContentIdentifiesRequest(t *testing.T) {
	base := Content{Account: "a", Method: "POST", Host: "h", URI: "/x?y", Model: "m", Prompt: []fleet.PromptPart{"1", "2"}, Body: []byte("body")}
	seen := map[Subject]int{base.Subject(): 0}
	for i, change := range []func(*Content){
		func(c *Content) { c.Account = "b" }, func(c *Content) { c.Method = "PUT" }, func(c *Content) { c.Host = "g" },
		func(c *Content) { c.URI = "/x" }, func(c *Content) { c.Model = "n" }, func(c *Content) { c.Prompt = []fleet.PromptPart{"12"} },
		func(c *Content) { c.Prompt = []fleet.PromptPart{"2", "1"} }, func(c *Content) { c.Body = []byte("bod") },
		func(c *Content) { c.Method, c.Host = "POSTh", "" }, func(c *Content) { c.Body = nil },
	} {
		c := base
		change(&c)
		if j, ok := seen[c.Subject()]; ok {
			t.Errorf("changes %d and %d have the same subject", i+1, j)
		}
		seen[c.Subject()] = i + 1
	}
	if !base.Subject().Valid() || !base.Subject().IsRequest() || Subject("5c1e07a2").IsRequest() || Subject("r-5c1e").Valid() || Subject("").Valid() {
		t.Error("kinds of subjects are confused")
	}
	if base.Subject() != (Content{"a", "POST", "h", "/x?y", "m", []fleet.PromptPart{"1", "2"}, []byte("body")}).Subject() {
		t.Error("two attempts have different subjects")
	}
}

// BenchmarkSubject measures the digest of a request of the usual size.
func BenchmarkSubject(b *testing.B) {
	c := Content{Account: "account", Method: "POST", Host: "host.example", URI: "/path/to", Model: "model", Prompt: []fleet.PromptPart{"5c1e07a2", "91bd3f06"}, Body: make([]byte, 2000)}
	for b.Loop() {
		c.Subject()
	}
}

// sharedStore passes updates between the tables of several processes as a store does.
type sharedStore struct {
	revision int64
	items    map[Subject]Update // Expect holds the revision of the item
}

// save stores what a table has to say, unless another one was faster.
func (s *sharedStore) save(t *Table, now time.Time) {
	for _, u := range t.Updates(16, now) {
		if s.items[u.Subject].Expect == u.Expect {
			s.revision++
			s.items[u.Subject] = Update{u.Subject, u.Evidence, s.revision}
			t.RecordStored(u)
		}
	}
}

func (s *sharedStore) load(t *Table, now time.Time) {
	for p, it := range s.items {
		t.Apply(p, it.Evidence, it.Expect, now)
	}
}

// TestOneProbeAtATime guards against many attempts at a request after the first loss, each of which
// may cost a target, and against a sound caller whose next attempt is refused.
func TestOneProbeAtATime(t *testing.T) {
	table, r := NewTable(), withParts()
	table.RecordLoss(r, at(0), at(100))
	d := table.Check(r, at(200))
	if d.Refused || !d.Probe {
		t.Fatalf("the next attempt gets %+v", d)
	}
	if d := table.Check(r, at(210)); !d.Refused || d.RetryAfter <= 0 {
		t.Errorf("an attempt beside the probe gets %+v", d)
	}
	probing := r
	probing.Probing = true
	if d := table.Check(probing, at(210)); d.Refused {
		t.Error("the probe itself is refused when it is sent again")
	}
	table.EndProbe(r.Whole)
	if d := table.Check(r, at(220)); d.Refused || !d.Probe {
		t.Errorf("after a probe without a result: %+v", d)
	}
	if d := table.Check(r, at(230).Add(probeTime)); d.Refused {
		t.Errorf("after a probe of which nothing was heard: %+v", d)
	}
	other := NewTable()
	other.Hear(r.Whole, Evidence{Losses: 1, Account: "a"}, at(100))
	other.HearProbe(r.Whole, ProbeBegun, at(200))
	if !other.Check(r, at(210)).Refused {
		t.Error("not refused beside the probe of another process")
	}
	other.HearProbe(r.Whole, ProbeEnded, at(220))
	if other.Check(r, at(230)).Refused {
		t.Error("refused after the probe of another process")
	}
	table.RecordAnswered(r, at(300))
	if d := table.Check(r, at(310)); d.Refused || d.Probe {
		t.Errorf("after an answer: %+v", d)
	}
}

// TestNoticesGoAheadOfStore guards against processes that send a request at fault until the store
// has told them of it, against all of them writing what one has found, and against evidence that
// stays after an answer has cleared it before it was stored.
func TestNoticesGoAheadOfStore(t *testing.T) {
	finder, other, deadly := NewTable(), NewTable(), withParts()
	tell := func(ms int) (told int) {
		for _, u := range finder.Unannounced(16) {
			other.Hear(u.Subject, u.Evidence, at(ms+5))
			told++
		}
		return told
	}
	finder.RecordLoss(deadly, at(0), at(100))
	tell(100)
	finder.RecordLoss(deadly, at(150), at(200))
	tell(200)
	if tell(210) != 0 {
		t.Error("the same evidence is told twice")
	}
	if !other.Check(deadly, at(220)).Refused {
		t.Error("not refused after the notice")
	}
	if us := other.Updates(16, at(230)); len(us) != 0 {
		t.Errorf("a process writes what it was told: %+v", us)
	}
	// The store tells of the first loss after the notice of the second one.
	other.Apply(deadly.Whole, Evidence{Losses: 1, Account: "a"}, 1, at(300))
	if !other.Check(deadly, at(310)).Refused {
		t.Error("not refused after an older record")
	}
	other.Apply(deadly.Whole, Evidence{Losses: 2, Account: "a"}, 2, at(320))
	finder.RecordAnswered(deadly, at(400))
	tell(400)
	if other.Check(deadly, at(410)).Refused {
		t.Error("refused after an answer")
	}
	// A process that told of a loss and then hears of an answer has nothing to write again and again.
	finder.RecordLoss(deadly, at(500), at(600))
	tell(600)
	finder.Hear(deadly.Whole, Evidence{}, at(610))
	for _, u := range finder.Updates(16, at(620)) {
		finder.RecordStored(u)
	}
	if us := finder.Updates(16, at(630)); len(us) != 0 {
		t.Errorf("writes %+v again", us)
	}
}

// TestProcessesShareEvidence guards against each process losing targets of its own under a part
// that others have found, against sound requests that are refused for long beside it, and against
// a process that starts and knows nothing. Records reach the other processes after up to 0.4 s;
// requests with the part at fault arrive five times a second, sound ones with the same first
// part twenty times.
func TestProcessesShareEvidence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		processes := rapid.IntRange(1, 40).Draw(t, "processes")
		store := &sharedStore{items: map[Subject]Update{}}
		tables := make([]*Table, processes)
		for i := range tables {
			tables[i] = NewTable()
		}
		lost, soundRefused := 0, 0
		for ms := 0; ms < 20_000; ms += 50 {
			table := tables[rapid.IntRange(0, processes-1).Draw(t, "process")]
			if sound := withParts("first"); table.Check(sound, at(ms)).Refused {
				soundRefused++
			} else {
				table.RecordAnswered(sound, at(ms+20))
			}
			if ms%200 == 0 {
				table = tables[rapid.IntRange(0, processes-1).Draw(t, "process")]
				if dead := withParts("first", "dead"); !table.Check(dead, at(ms)).Refused {
					lost++
					table.RecordLoss(dead, at(ms), at(ms+30))
				}
			}
			store.save(table, at(ms+40))
			if ms%400 == 0 {
				for _, x := range tables {
					store.save(x, at(ms+40))
					store.load(x, at(ms+40))
				}
			}
			if ms == 10_000 {
				tables[0] = NewTable()
				store.load(tables[0], at(ms+45))
			}
		}
		if lost > 9 || soundRefused > 20 {
			t.Fatalf("%d targets lost, %d of 400 sound requests refused", lost, soundRefused)
		}
	})
}

// TestHeldPartStaysRefused guards against a part that an operator refuses and that an answer, or
// the evidence of this process, releases.
func TestHeldPartStaysRefused(t *testing.T) {
	table, p := NewTable(), withParts("p")
	table.RecordLoss(p, at(0), at(10))
	table.Apply("p", Evidence{Held: true}, 1, at(20))
	table.RecordAnswered(p, at(30))
	table.RecordLoss(p, at(40), at(50))
	if d := table.Check(p, start.Add(time.Hour)); !d.Refused || d.StartTrial || len(table.Updates(10, at(60))) > 0 {
		t.Errorf("%+v, updates %+v", d, table.Updates(10, at(60)))
	}
	table.Apply("p", Evidence{}, 2, at(70))
	if refused(table, at(80), "p") {
		t.Error("refused after the operator has released the part")
	}
}

// TestEvidenceIsWrittenAgainAfterRestore guards against evidence that is lost with a restore of the store, or
// replaced by that of the older copy.
func TestEvidenceIsWrittenAgainAfterRestore(t *testing.T) {
	const x = Subject("part/7")
	table, now := NewTable(), time.Unix(1000, 0)
	var more, less Evidence
	more.Losses, less.Losses = 3, 1
	table.Apply(x, more, 9, now)
	if us := table.Updates(8, now); len(us) != 0 {
		t.Fatalf("stored evidence is written: %v", us)
	}
	table.Restore()
	table.Retain(nil)
	if us := table.Updates(8, now); len(us) != 1 || us[0].Evidence != more || us[0].Expect != 0 {
		t.Errorf("missing evidence: %v", us)
	}
	table.Apply(x, less, 20, now)
	if us := table.Updates(8, now); len(us) != 1 || us[0].Evidence != more || us[0].Expect != 20 {
		t.Errorf("older evidence in the copy: %v", us)
	}
}
