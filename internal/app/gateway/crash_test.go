package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/netip"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/masticwing/masticwing/internal/app/follow"
	"github.com/masticwing/masticwing/internal/core/fanout"
	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/quarantine"
	"github.com/masticwing/masticwing/internal/core/routes"
	"github.com/masticwing/masticwing/internal/core/usage"
	"github.com/masticwing/masticwing/internal/core/verdict"
	"github.com/masticwing/masticwing/internal/port"
	"github.com/masticwing/masticwing/internal/port/porttest"
)

// errReset and errTimedOut are the ends of connections to a target that crashed and to one whose
// machine does not respond.
var (
	errReset    = &net.OpError{Op: "read", Err: os.NewSyscallError("read", syscall.ECONNRESET)}
	errTimedOut = &net.OpError{Op: "read", Err: os.NewSyscallError("read", syscall.ETIMEDOUT)}
)

// crashingTargets is a port.Forwarder whose targets crash when they begin to answer a request
// with one part in its prompt, or with one body. It counts these requests.
type crashingTargets struct {
	noConnections
	part    fleet.PromptPart
	body    string
	mu      sync.Mutex
	crashes int
}

func (ts *crashingTargets) Forward(ctx context.Context, _ fleet.Address, f port.Forward) (*port.ForwardResponse, error) {
	body := &bodyReader{ctx, []string{"id: 1\ndata: x\n\n"}, io.EOF, 0}
	if slices.Contains(f.Inbound.WorkEstimate.SharedParts, ts.part) || ts.body != "" && string(f.Inbound.Body) == ts.body {
		ts.mu.Lock()
		defer ts.mu.Unlock()
		ts.crashes++
		body = &bodyReader{ctx, nil, io.ErrUnexpectedEOF, 0}
	}
	return &port.ForwardResponse{Status: 200, Length: -1, Body: body}, nil
}

// useCrashingTargets registers targets that crash under a part.
func (gw *testGateway) useCrashingTargets(ts *crashingTargets, count int) {
	gw.deps.Targets = ts
	for i := range count {
		id := fmt.Sprint("t", i)
		gw.applyItem("targets/"+id, 1, port.TargetItem{Target: port.TargetRecord{
			Instance: fleet.Instance(id), Service: "s", Address: fleet.Address(id), Domain: "a", Slots: 4,
		}})
	}
}

func inboundWithParts(id string, parts ...fleet.PromptPart) *port.InboundRequest {
	in := newInbound()
	in.ID, in.WorkEstimate.SharedParts = fleet.RequestID(id), parts
	return in
}

var streamRoute = func() routes.Route {
	r := route
	r.Kind, r.Resumable = routes.Streaming, true
	return r
}()

// TestPartThatCrashesTargetsIsRefused guards against requests that crash one target after another
// because only the targets are blamed, and against refusing sound requests beside them.
func TestPartThatCrashesTargetsIsRefused(t *testing.T) {
	gw, targets := newTestGateway(t, streamRoute), &crashingTargets{part: "dead"}
	gw.useCrashingTargets(targets, 40)
	for i := range 20 {
		if c := gw.request(inboundWithParts(fmt.Sprint("sound", i), "first")); c.refused != nil {
			t.Errorf("sound request %d is refused: %v", i, c.refused)
		}
		gw.request(inboundWithParts(fmt.Sprint("deadly", i), "first", "dead"))
	}
	if targets.crashes > 3 {
		t.Errorf("%d targets crashed under the same part, want 3 at most", targets.crashes)
	}
}

// TestRepeatedRequestThatCrashesTargets guards against a request that callers send again and again
// under new ids, and that crashes a target each time, on each kind of route.
func TestRepeatedRequestThatCrashesTargets(t *testing.T) {
	for _, kind := range []routes.Kind{routes.Streaming, routes.Safe, routes.Unsafe} {
		r := streamRoute
		r.Kind = kind
		gw, targets := newTestGateway(t, r), &crashingTargets{body: "deadly"}
		gw.useCrashingTargets(targets, 40)
		send := func(id, body string) *callerRecorder {
			in := inboundWithParts(id, "first")
			in.Body = []byte(body)
			return gw.request(in)
		}
		var last *callerRecorder
		for i := range 20 {
			if c := send(fmt.Sprint("sound", i), fmt.Sprint("sound", i)); c.refused != nil {
				t.Errorf("%v: sound request %d is refused: %v", kind, i, c.refused)
			}
			last = send(fmt.Sprint("deadly", i), "deadly")
		}
		if targets.crashes > 3 {
			t.Errorf("%v: %d targets crashed under the same request, want 3 at most", kind, targets.crashes)
		}
		if e := last.refused; e == nil || e.Code != verdict.CodeQuarantined || e.Verdict != verdict.NotRun || e.RetryAfter <= 0 {
			t.Errorf("%v: the last request got %v", kind, e)
		}
	}
}

// evidenceNetwork is a port.LoadSender that passes notices of evidence to gateways by address.
type evidenceNetwork map[netip.AddrPort]*testGateway

func (n evidenceNetwork) SendSpeed(port.SpeedNotice, []netip.AddrPort) error  { return nil }
func (n evidenceNetwork) SendReport(port.LoadReport, []netip.AddrPort) error  { return nil }
func (n evidenceNetwork) SendNotice(port.LoadNotice, []netip.AddrPort) error  { return nil }
func (n evidenceNetwork) SendUsage(usage.Notice, []netip.AddrPort) error      { return nil }
func (n evidenceNetwork) SendClock(usage.ClockNotice, []netip.AddrPort) error { return nil }
func (n evidenceNetwork) Close() error                                        { return nil }
func (n evidenceNetwork) SendEvidence(e port.EvidenceNotice, to []netip.AddrPort) error {
	for _, a := range to {
		n[a].HandleEvidence(e)
	}
	return nil
}

// TestNoticesOfEvidenceReachAllGateways guards against gateways that each lose targets of their own
// under one request while the store is out of reach, also in other failure domains.
func TestNoticesOfEvidenceReachAllGateways(t *testing.T) {
	network, targets := evidenceNetwork{}, &crashingTargets{body: "deadly"}
	domains := map[fleet.Domain][]netip.AddrPort{}
	for i := range 9 {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7000)
		gw := newTestGateway(t, streamRoute)
		gw.useCrashingTargets(targets, 10)
		var s port.LoadSender = network
		gw.noticeSender.Store(&s)
		network[addr] = gw
		d := fleet.Domain(fmt.Sprint("d", i%3))
		domains[d] = append(domains[d], addr)
	}
	for d, addrs := range domains {
		for i, a := range addrs {
			members := maps.Clone(domains)
			members[d] = slices.Delete(slices.Clone(addrs), i, i+1)
			g := fanout.New(d, members)
			network[a].view.gatewayGroup.Store(&g)
		}
	}
	for _, gw := range network {
		in := newInbound()
		in.Body = []byte("deadly")
		gw.request(in)
		gw.announceEvidence()
	}
	if targets.crashes > 3 {
		t.Errorf("%d targets crashed at nine gateways, want 3 at most", targets.crashes)
	}
}

// TestAttemptsAtLostRequestAreWithdrawn guards against targets that are lost under attempts which
// other gateways had sent before the first loss was known, against blaming a target for the end of
// such an attempt, and against sending it again.
func TestAttemptsAtLostRequestAreWithdrawn(t *testing.T) {
	r := streamRoute
	gw := newTestGateway(t, r, scriptedReply{status: 200, delay: 10 * time.Second}, scriptedReply{status: 200, body: []string{"id: 1\ndata: x\n\n"}})
	gw.useEngines(r)
	in := newInbound()
	done := make(chan *callerRecorder)
	var wg conc.WaitGroup
	wg.Go(func() { done <- gw.request(in) })
	subject := quarantine.Content{Account: "t", Method: in.Method, Host: in.Host, URI: in.URI, Body: in.Body}.Subject()
	for registered := false; !registered; time.Sleep(time.Millisecond) {
		_, registered = gw.unanswered.attempts.Get(subject)
	}
	gw.HandleEvidence(port.EvidenceNotice{Evidence: []port.SubjectEvidence{{Subject: subject, Evidence: quarantine.Evidence{Losses: 1, Account: "t"}}}})
	c := <-done
	wg.Wait()
	if e := c.refused; e == nil || e.Code != verdict.CodeQuarantined || e.Verdict != verdict.MayHaveRun {
		t.Errorf("the caller got %v", c.refused)
	}
	if n := len(gw.forwarder.sent); n != 1 {
		t.Errorf("sent %d times, want once", n)
	}
	if c := gw.request(newInbound()); c.refused != nil {
		t.Errorf("after one loss the request is refused: %v", c.refused)
	}
}

// TestLostSuspectIsNotSentAgain guards against a second target that crashes under the same
// request.
func TestLostSuspectIsNotSentAgain(t *testing.T) {
	gw, targets := newTestGateway(t, streamRoute), &crashingTargets{part: "dead"}
	gw.useCrashingTargets(targets, 10)
	if c := gw.request(inboundWithParts("1", "dead")); c.refused == nil || c.refused.Verdict != verdict.MayHaveRun || targets.crashes != 1 {
		t.Errorf("%d targets crashed under one request; the caller got %v", targets.crashes, c.refused)
	}
}

// evidenceDecoder decodes evidence, and all other items as decodedItems does.
type evidenceDecoder struct{ decodedItems }

func (d evidenceDecoder) Decode(it port.StoreItem) (port.DecodedItem, error) {
	part, ok := strings.CutPrefix(it.Key, "quarantine/")
	if !ok {
		return d.decodedItems.Decode(it)
	}
	var e quarantine.Evidence
	err := json.Unmarshal(it.Value, &e)
	return port.QuarantineItem{Subject: quarantine.Subject(part), Evidence: e}, err
}

// TestGatewaysShareEvidence guards against each gateway crashing targets of its own, among them
// one that has just started, and against a refusal that says that the request may have run.
func TestGatewaysShareEvidence(t *testing.T) {
	store, targets := porttest.NewStore(), &crashingTargets{part: "dead"}
	newGateway := func() *testGateway {
		gw := newTestGateway(t, streamRoute)
		gw.deps.Store, gw.deps.Decoder = store, evidenceDecoder{gw.decodedItems}
		gw.useCrashingTargets(targets, 10)
		return gw
	}
	list := func(gw *testGateway) {
		items, at, err := store.List(context.Background(), "quarantine/")
		if err != nil {
			t.Fatal(err)
		}
		e := follow.Event{Reset: true, At: at}
		for _, it := range items {
			e.Changes = append(e.Changes, port.StoreChange{StoreItem: it})
		}
		gw.applyEvidence(e)
	}
	var last *callerRecorder
	for i := range 6 {
		gw := newGateway()
		list(gw)
		last = gw.request(inboundWithParts(fmt.Sprint(i), "dead"))
		gw.storeEvidence(context.Background(), &evidenceWriter{g: gw.Gateway})
	}
	if targets.crashes != 2 {
		t.Errorf("%d targets crashed at six gateways, want 2", targets.crashes)
	}
	if e := last.refused; e == nil || e.Code != verdict.CodeQuarantined || e.Verdict != verdict.NotRun || e.RetryAfter <= 0 {
		t.Errorf("the last request got %v", e)
	}
	store.ExpireLeases()
	gw := newGateway()
	list(gw)
	if gw.request(inboundWithParts("later", "dead")); targets.crashes != 3 {
		t.Error("a part is still refused after its evidence has expired")
	}
}

// TestNothingIsSentUntilEvidenceIsKnown guards against a gateway that starts and sends what the
// others refuse.
func TestNothingIsSentUntilEvidenceIsKnown(t *testing.T) {
	gw := newTestGateway(t, route)
	gw.view.quarantineListed.Store(false)
	if c := gw.request(inboundWithParts("1", "p")); c.refused == nil || c.refused.Verdict != verdict.NotRun {
		t.Errorf("refused: %v", c.refused)
	}
	if ready, _ := gw.Ready(); ready {
		t.Error("ready without the evidence")
	}
	if c := gw.request(newInbound()); c.refused == nil || c.refused.Verdict != verdict.NotRun {
		t.Errorf("a request without parts got %v", c.refused)
	}
}

// TestOperatorRefusesAndReleasesPart guards against an operator who can't stop a part that crashes
// targets, or release one that is refused.
func TestOperatorRefusesAndReleasesPart(t *testing.T) {
	store, ctx := porttest.NewStore(), context.Background()
	gw := newTestGateway(t, route)
	o := QuarantineOperator{store, evidenceDecoder{gw.decodedItems}}
	gw.deps.Decoder = o.Decoder
	for i, c := range []struct {
		change func(context.Context, quarantine.Subject) error
		served bool
	}{{o.Refuse, false}, {o.Release, true}, {o.Refuse, false}} {
		if err := c.change(ctx, "p"); err != nil {
			t.Fatal(err)
		}
		items, at, _ := store.List(ctx, "quarantine/")
		gw.applyEvidence(follow.Event{Changes: []port.StoreChange{{StoreItem: items[0]}}, At: at})
		if r := gw.request(inboundWithParts("1", "p")); (r.refused == nil) != c.served {
			t.Errorf("change %d: refused with %v", i, r.refused)
		}
	}
	if items, err := o.List(ctx); err != nil || len(items) != 1 || !items[0].Evidence.Held {
		t.Errorf("listed %+v, %v", items, err)
	}
}

// TestLateRefusalStaysReleased guards against a subject that is refused again without end: the store executes an
// operator's refusal, which was repeated, after the release.
func TestLateRefusalStaysReleased(t *testing.T) {
	store, ctx := porttest.NewLateStore(), context.Background()
	o := QuarantineOperator{store, evidenceDecoder{newTestGateway(t, route).decodedItems}}
	store.KeepNext()
	if err := o.Refuse(ctx, "p"); !errors.Is(err, port.ErrUnknownOutcome) {
		t.Fatalf("the first refusal ends with %v", err)
	}
	for _, change := range []func(context.Context, quarantine.Subject) error{o.Refuse, o.Release} {
		if err := change(ctx, "p"); err != nil {
			t.Fatal(err)
		}
	}
	store.ExecuteKept()
	if items, err := o.List(ctx); err != nil || len(items) != 1 || items[0].Evidence.Held {
		t.Errorf("after the release: %+v, %v", items, err)
	}
}

// TestSilentTargetIsNoEvidence guards against refusing a part because machines did not respond for
// a while, and against overlooking the ways in which a connection to a crashed target ends.
func TestSilentTargetIsNoEvidence(t *testing.T) {
	lost := func(cause error) scriptedReply {
		return scriptedReply{err: verdict.Wrap(cause, verdict.MayHaveRun, verdict.CodeTargetLost, "connection to the target lost")}
	}
	for name, c := range map[string]struct {
		reply scriptedReply
		want  int
	}{
		"reset before the response":  {lost(errReset), 1},
		"closed before the response": {lost(io.ErrUnexpectedEOF), 1},
		"silent before the response": {lost(errTimedOut), 0},
		"reset in the response":      {scriptedReply{status: 200, bodyErr: errReset}, 1},
		"closed in the response":     {scriptedReply{status: 200, bodyErr: io.ErrUnexpectedEOF}, 1},
		"silent in the response":     {scriptedReply{status: 200, bodyErr: errTimedOut}, 0},
		"reset after an event":       {scriptedReply{status: 200, body: []string{"id: 1\ndata: x\n\n"}, bodyErr: errReset}, 0},
		"failure of the target":      {scriptedReply{status: 500, body: []string{"x"}}, 0},
		"no events":                  {scriptedReply{status: 200, body: []string{"HTTP/1.1 200 OK\n\n"}}, 0},
	} {
		r := streamRoute
		r.MaxAttempts = 1
		gw := newTestGateway(t, r, c.reply)
		gw.request(inboundWithParts("1", "p"))
		// The evidence is against the part and the whole request.
		if us := gw.quarantine.Updates(10, time.Now()); len(us) != 2*c.want {
			t.Errorf("%s: evidence %+v, want %d subjects", name, us, 2*c.want)
		}
	}
}

// TestTrialIsNotWasted guards against a part that stays refused because its trial was used up by a
// request that found no free place or that its target refused.
func TestTrialIsNotWasted(t *testing.T) {
	refusal := verdict.Wrap(&port.RefusedError{}, verdict.NotRun, verdict.CodeTargetFull, "target is full")
	answer := scriptedReply{status: 200, body: []string{"id: 1\ndata: x\n\n"}}
	gw := newTestGateway(t, streamRoute, scriptedReply{err: refusal}, scriptedReply{err: refusal}, answer, answer)
	gw.quarantine.Apply("p", quarantine.Evidence{Losses: 2}, 1, time.Now())
	gw.quarantine.GrantTrial(gw.quarantine.Trial("p"), time.Now())
	if c := gw.request(inboundWithParts("1", "p")); c.refused == nil || c.refused.Code == verdict.CodeQuarantined {
		t.Fatalf("the first request got %v", c.refused)
	}
	time.Sleep(150 * time.Millisecond) // until the pause of the targets is over
	for i := range 2 {
		if c := gw.request(inboundWithParts("2", "p")); c.refused != nil {
			t.Errorf("request %d after the trial was not used is refused: %v", i, c.refused)
		}
	}
}

// TestAnswerClearsStoredEvidence guards against a first loss that stays in the store although the
// part was answered since: the next loss at another gateway would refuse it.
func TestAnswerClearsStoredEvidence(t *testing.T) {
	store := porttest.NewStore()
	gw := newTestGateway(t, streamRoute, scriptedReply{status: 200, bodyErr: errReset}, scriptedReply{status: 200, body: []string{"id: 1\ndata: x\n\n"}})
	gw.deps.Store, gw.deps.Decoder = store, evidenceDecoder{gw.decodedItems}
	for _, want := range []string{`{"losses":1,"account":"t"}`, `{"losses":0}`} {
		gw.request(inboundWithParts("1", "p"))
		select {
		case <-gw.evidenceChanged:
			gw.storeEvidence(context.Background(), &evidenceWriter{g: gw.Gateway})
		default:
		}
		items, at, _ := store.List(context.Background(), "quarantine/")
		if len(items) != 2 || string(items[0].Value) != want || string(items[1].Value) != want {
			t.Fatalf("stored %+v, want %s for the part and the request", items, want)
		}
		gw.applyEvidence(follow.Event{Changes: []port.StoreChange{{StoreItem: items[0]}, {StoreItem: items[1]}}, At: at})
		<-gw.evidenceChanged
	}
}
