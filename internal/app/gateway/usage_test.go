package gateway

import (
	"context"
	"io"
	"net/netip"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/masticwing/masticwing/internal/app/duty"
	"github.com/masticwing/masticwing/internal/core/feed"
	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/routes"
	"github.com/masticwing/masticwing/internal/core/usage"
	"github.com/masticwing/masticwing/internal/core/verdict"
	"github.com/masticwing/masticwing/internal/port"
	"github.com/masticwing/masticwing/internal/port/porttest"
)

// usageRecorder is a port.LoadSender that keeps the last notice of usage.
type usageRecorder struct {
	evidenceNetwork
	notice usage.Notice
}

func (u *usageRecorder) SendUsage(n usage.Notice, _ []netip.AddrPort) error {
	u.notice = n
	return nil
}

// useDuties gives the gateway duties, and returns a function that returns what it states of its usage.
func (gw *testGateway) useDuties(names ...string) (stated func() usage.Notice) {
	gw.settings.Duties = duty.Settings{API: "10.0.0.1:1", Names: names, UsageWindow: 5 * time.Second, UsageDue: 10 * time.Second}
	gw.settings.ID = "g0"
	gw.exchange = gw.newExchange()
	u := &usageRecorder{}
	var s port.LoadSender = u
	gw.noticeSender.Store(&s)
	gw.view.usageRecipients.Store(&usage.Recipients{Own: []feed.Member{{ID: "g1", Address: "10.0.0.2:1"}}})
	return func() usage.Notice {
		ended, cancel := context.WithCancel(context.Background())
		cancel()
		gw.exchange.Run(ended) // states everything once more at its end
		return u.notice
	}
}

// TestWhatCountsAsUsage guards against attempts that a target began and that are not counted, and against counting
// those that it did not begin.
func TestWhatCountsAsUsage(t *testing.T) {
	stream, anonymous, plain := streamRoute, streamRoute, route
	anonymous.Anonymous = true
	once := plain
	once.Kind = routes.Unsafe
	events := func(body ...string) scriptedReply { return scriptedReply{status: 200, body: body} }
	broken := scriptedReply{status: 200, body: []string{"id: 1\ndata: x\n\n"}, bodyErr: io.ErrUnexpectedEOF}
	refused := scriptedReply{err: verdict.Wrap(&port.RefusedError{Reason: port.RefusalBusy}, verdict.NotRun, verdict.CodeTargetFull, "full")}
	unknown := scriptedReply{err: verdict.New(verdict.MayHaveRun, verdict.CodeTargetLost, "lost")}
	for name, c := range map[string]struct {
		route   routes.Route
		replies []scriptedReply
		want    int64
	}{
		"stream":                    {stream, []scriptedReply{events("id: 1\nda", "ta: x\n\n", "id: 2\ndata: y\n\n")}, 1},
		"stream refused once":       {stream, []scriptedReply{refused, events("id: 1\ndata: x\n\n")}, 1},
		"stream lost before event":  {stream, []scriptedReply{unknown, events("id: 1\ndata: x\n\n")}, 1},
		"stream continued":          {stream, []scriptedReply{broken, events("id: 2\ndata: y\n\n")}, 2},
		"stream answered as plain":  {stream, []scriptedReply{{status: 404}}, 0},
		"stream without an account": {anonymous, []scriptedReply{events("id: 1\ndata: x\n\n")}, 0},
		"plain":                     {plain, []scriptedReply{{status: 200}}, 1},
		"plain refused once":        {plain, []scriptedReply{refused, {status: 200}}, 1},
		"plain lost once":           {plain, []scriptedReply{unknown, {status: 200}}, 2},
		"plain failed once":         {plain, []scriptedReply{{status: 500}, {status: 200}}, 2},
		"plain lost, not repeated":  {once, []scriptedReply{unknown}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			gw := newTestGateway(t, c.route, c.replies...)
			stated := gw.useDuties(duty.UsageReports)
			gw.request(newInbound())
			got := int64(0)
			for _, x := range stated().Counts {
				got += x.Requests
				if x.Account != "t" {
					t.Errorf("counted for account %q", x.Account)
				}
			}
			if got != c.want {
				t.Errorf("%d attempts are counted, want %d", got, c.want)
			}
		})
	}
}

// TestDemand guards against figures of offered work that lack refused requests or count attempts.
func TestDemand(t *testing.T) {
	gw := newTestGateway(t, route, scriptedReply{status: 500}, scriptedReply{status: 200})
	stated := gw.useDuties(duty.ScalingOrders)
	in := newInbound()
	in.WorkEstimate = port.WorkEstimate{PromptTokens: 100, MaxTokens: 30, ExpectedTokens: 20}
	gw.request(in)
	gw.targets.Remove("a")
	gw.targets.Remove("b")
	in = newInbound()
	in.WorkEstimate = port.WorkEstimate{PromptTokens: 50, MaxTokens: 5}
	gw.request(in)
	want := usage.ServiceDemand{Service: "s", Demand: usage.Demand{Requests: 2, Refused: 1, PromptTokens: 150, OutputTokens: 25}}
	if d := stated().Demand; len(d) != 1 || d[0] != want {
		t.Errorf("demand %+v, want %+v", d, want)
	}
	if gw.usageWork() != nil {
		t.Error("usage is reported although only scaling is a duty")
	}
}

// TestWithoutDuties guards against a deployment without duties that counts, or that fails at the notices of one that
// has them.
func TestWithoutDuties(t *testing.T) {
	gw := newTestGateway(t, route)
	gw.request(newInbound())
	gw.HandleUsage(usage.Notice{Source: usage.Source{Gateway: "g1"}})
	gw.HandleClock(usage.ClockNotice{Median: 1, Clocks: 5})
	if gw.exchange != nil || gw.usageWork() != nil {
		t.Error("usage is counted")
	}
	gw.useDuties(duty.UsageReports)
	if w := gw.usageWork(); w == nil || w.Name() != duty.UsageReports {
		t.Errorf("duty %v", w)
	}
}

// usageNetwork is a port.LoadNetwork whose sender passes the addresses of notices of usage on.
type usageNetwork struct {
	idleNetwork
	evidenceNetwork
	sent chan []netip.AddrPort
}

func (u usageNetwork) NewSender(netip.Addr) (port.LoadSender, error) { return u, nil }
func (u usageNetwork) SendUsage(_ usage.Notice, to []netip.AddrPort) error {
	u.sent <- to
	return nil
}

// TestRunStatesUsage guards against a gateway that counts and does not state it to the candidates of its domain.
func TestRunStatesUsage(t *testing.T) {
	gw, store, network := newTestGateway(t, route), porttest.NewStore(), usageNetwork{sent: make(chan []netip.AddrPort, 100)}
	store.Put("members/g1", "{}")
	gw.decodedItems["members/g1"] = port.MemberItem{Member: port.StoredMember{ID: "g1", Kind: fleet.KindEntry.String(), Domain: "a", Address: "10.0.0.2:1"}}
	deps, s := gw.deps, gw.settings
	deps.Store, deps.Loads = store, network
	deps.NewFeedServer = func(port.FeedHandler) (port.Server, error) { return idleServer{}, nil }
	s.ID, s.Internal = "g0", "127.0.0.1:0"
	s.Duties = duty.Settings{API: "10.0.0.1:1", Names: []string{duty.UsageReports}, UsageWindow: 5 * time.Second, UsageDue: 10 * time.Second}
	g := New(s, deps)
	ctx, stop := context.WithCancel(t.Context())
	var wg conc.WaitGroup
	defer wg.Wait()
	defer stop()
	wg.Go(func() { g.Run(ctx) })
	select {
	case to := <-network.sent:
		if len(to) != 1 || to[0].String() != "10.0.0.2:1" {
			t.Errorf("usage is stated to %v", to)
		}
	case <-time.After(10 * time.Second):
		t.Error("usage is not stated within 10 s")
	}
}
