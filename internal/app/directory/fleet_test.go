package directory

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"github.com/masticwing/masticwing/internal/adapter/inifile"
	"github.com/masticwing/masticwing/internal/adapter/kvhttp"
	"github.com/masticwing/masticwing/internal/adapter/rpc"
	"github.com/masticwing/masticwing/internal/adapter/sysclock"
	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/shard"
	"github.com/masticwing/masticwing/internal/port"
	"github.com/masticwing/masticwing/internal/standin/platform"
)

// world is a fleet of directories over the real rpc, with a stand-in platform
// and links between failure domains that can be cut.
type testFleet struct {
	t       *testing.T
	url     string
	kv      *kvhttp.Client
	nodes   []*node
	domains *shard.Map[fleet.Address, fleet.Domain]
	// cut is the domain that is separated from all others, and from the
	// platform; empty if none is.
	cutDomain atomic.Value
	rev       int64
	doc       inifile.Document
	wg        conc.WaitGroup
}

// start runs f until the end of the test.
func (w *testFleet) goUntilEnd(f func()) { w.wg.Go(f) }

// node is one process of the fleet.
type node struct {
	*Directory
	client *rpc.Client
	server *rpc.Server
	// history is the sequence of revisions that the process had in force.
	history []uint64
}

var errLinkCut = errors.New("link is cut")

// severed reports whether the link between two places is cut.
func (w *testFleet) isCut(a, b fleet.Domain) bool {
	c := w.cutDomain.Load().(fleet.Domain)
	return c != "" && a != b && (a == c || b == c)
}

// links is a MemberClient and KV whose calls hang while the link is cut, as
// packets that are dropped without a trace do.
type cuttableLinks struct {
	port.MemberClient
	port.KV
	w    *testFleet
	from fleet.Domain
}

func (l cuttableLinks) wait(ctx context.Context, to fleet.Domain) error {
	if !l.w.isCut(l.from, to) {
		return nil
	}
	select {
	case <-ctx.Done():
	case <-time.After(2 * time.Second):
	}
	return errLinkCut
}

func (l cuttableLinks) Exchange(ctx context.Context, a fleet.Address, m port.ExchangeMessage) (port.ExchangeMessage, error) {
	to, _ := l.w.domains.Get(a)
	if err := l.wait(ctx, to); err != nil {
		return port.ExchangeMessage{}, err
	}
	return l.MemberClient.Exchange(ctx, a, m)
}

func (l cuttableLinks) Declaration(ctx context.Context, a fleet.Address) (port.StoredDeclaration, error) {
	to, _ := l.w.domains.Get(a)
	if err := l.wait(ctx, to); err != nil {
		return port.StoredDeclaration{}, err
	}
	return l.MemberClient.Declaration(ctx, a)
}

func (l cuttableLinks) Watch(ctx context.Context, k string, after int64, d time.Duration) (port.KVEntry, error) {
	if err := l.wait(ctx, "platform"); err != nil {
		return port.KVEntry{}, err
	}
	e, err := l.KV.Watch(ctx, k, after, d)
	if l.w.isCut(l.from, "platform") {
		return port.KVEntry{}, errLinkCut
	}
	return e, err
}

func (l cuttableLinks) Get(ctx context.Context, k string) (port.KVEntry, error) {
	if err := l.wait(ctx, "platform"); err != nil {
		return port.KVEntry{}, err
	}
	return l.KV.Get(ctx, k)
}

// newWorld starts n processes in three failure domains; every third process of
// a domain is an entry.
func newTestFleet(t *testing.T, n int) *testFleet {
	t.Helper()
	p := httptest.NewServer(platform.New().Handler())
	t.Cleanup(p.Close)
	w := &testFleet{
		t: t, url: p.URL, kv: kvhttp.New(fleet.Address(strings.TrimPrefix(p.URL, "http://"))),
		domains: shard.New[fleet.Address, fleet.Domain](0), doc: inifile.Document{Config: "[domain a]\nregion=r1\n"},
	}
	w.cutDomain.Store(fleet.Domain(""))
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(func() {
		cancel()
		w.wg.Wait()
		w.checkRevisionsNeverFall()
	})
	var seeds []fleet.Address
	for i := range n {
		nd, lis := w.node(i, seeds)
		if len(seeds) < 3 {
			seeds = append(seeds, nd.cfg.Self.Address)
		}
		w.goUntilEnd(func() { _ = nd.server.Serve(ctx, lis) })
		w.goUntilEnd(func() { nd.Run(ctx) })
		w.goUntilEnd(func() { nd.recordHistory(ctx) })
	}
	return w
}

func (w *testFleet) node(i int, seeds []fleet.Address) (*node, net.Listener) {
	w.t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		w.t.Fatal(err)
	}
	dom := fleet.Domain([]string{"a", "b", "c"}[i%3])
	self := port.MemberRecord{
		ID: fmt.Sprintf("%s-%02d", dom, i), Kind: fleet.KindAgent, Domain: dom, Region: "r",
		Address: fleet.Address(lis.Addr().String()), Labels: map[string]string{"pool": "model"},
	}
	if i/3%3 == 0 {
		self.Kind = fleet.KindEntry
	}
	w.domains.Put(self.Address, dom)
	nd := &node{client: rpc.NewClient()}
	w.t.Cleanup(nd.client.Close)
	l := cuttableLinks{nd.client, w.kv, w, dom}
	nd.Directory = New(Config{Self: self, Seeds: seeds}, Deps{
		KV: l, VMs: w.kv, Members: l, Clock: sysclock.Clock{}, Rand: sysclock.Rand{}, Decode: inifile.Decode,
	})
	if nd.server, err = rpc.NewServer(rpc.Handlers{Member: nd.Handler(), Meter: nd.client.Meter}); err != nil {
		w.t.Fatal(err)
	}
	w.nodes = append(w.nodes, nd)
	return nd, lis
}

// record keeps the revisions that the process had in force, as a user of the
// Directory sees them.
func (n *node) recordHistory(ctx context.Context) {
	ch, stop := n.Subscribe()
	defer stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ch:
		}
		if d, _ := n.Directory.Declaration(); d != nil {
			n.history = append(n.history, d.Revision)
		}
	}
}

// neverBack fails the test if a process returned to an older revision. It runs
// after the processes have ended.
func (w *testFleet) checkRevisionsNeverFall() {
	for _, n := range w.nodes {
		for i := 1; i < len(n.history); i++ {
			if n.history[i] < n.history[i-1] {
				w.t.Errorf("%s went back: %v", n.cfg.Self.ID, n.history)
			}
		}
	}
}

// faults sets the faults of the platform.
func (w *testFleet) setFaults(f platform.Faults) {
	w.t.Helper()
	b, _ := json.Marshal(f)
	resp, err := http.Post(w.url+"/faults", "application/json", bytes.NewReader(b))
	if err != nil {
		w.t.Fatal(err)
	}
	_ = resp.Body.Close()
}

// change writes the next revision to the platform.
func (w *testFleet) writeRevision() uint64 {
	w.t.Helper()
	w.doc = w.doc.Next(inifile.ChangeRecord{WriteID: fmt.Sprint("w", w.doc.Revision)})
	b, err := w.doc.Encode()
	if err != nil {
		w.t.Fatal(err)
	}
	rev, err := w.kv.CompareAndSwap(context.Background(), inifile.Key, w.rev, b, port.NoLease)
	if errors.Is(err, port.ErrUnknownOutcome) {
		e, gerr := w.kv.Get(context.Background(), inifile.Key)
		if gerr != nil || !bytes.Equal(e.Value, b) {
			w.t.Fatalf("change was lost: %v, %v", err, gerr)
		}
		rev, err = e.Rev, nil
	}
	if err != nil {
		w.t.Fatal(err)
	}
	w.rev = rev
	return w.doc.Revision
}

// restoreOlder writes the document before the newest one, as a platform that
// was restored from a backup holds it.
func (w *testFleet) restorePreviousRevision() {
	w.t.Helper()
	old := w.doc
	old.Revision--
	b, err := old.Encode()
	if err != nil {
		w.t.Fatal(err)
	}
	if w.rev, err = w.kv.CompareAndSwap(context.Background(), inifile.Key, w.rev, b, port.NoLease); err != nil {
		w.t.Fatal(err)
	}
}

// await waits until ok holds for all nodes that pick selects.
func (w *testFleet) waitFor(what string, limit time.Duration, selected func(*node) bool, ok func(*node) bool) time.Duration {
	w.t.Helper()
	began := time.Now()
	for {
		missing := []string{}
		for _, n := range w.nodes {
			if selected(n) && !ok(n) {
				missing = append(missing, n.cfg.Self.ID)
			}
		}
		took := time.Since(began)
		if len(missing) == 0 {
			w.t.Logf("%s: %v", what, took.Round(10*time.Millisecond))
			return took
		}
		if took > limit {
			w.t.Fatalf("%s: not within %v at %v", what, limit, missing)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// awaitFirst waits until any process has the revision.
func (w *testFleet) waitForFirst(rev uint64) {
	w.t.Helper()
	for end := time.Now().Add(7 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if slices.ContainsFunc(w.nodes, hasRevision(rev)) {
			return
		}
	}
	w.t.Fatalf("no process has revision %d", rev)
}

func all(*node) bool { return true }

func inDomain(d fleet.Domain) func(*node) bool {
	return func(n *node) bool { return n.cfg.Self.Domain == d }
}

func outsideDomain(d fleet.Domain) func(*node) bool {
	return func(n *node) bool { return n.cfg.Self.Domain != d }
}

func hasRevision(rev uint64) func(*node) bool {
	return func(n *node) bool { return n.rev.Revision() == rev }
}

// sees reports whether the node lists count members.
func seesMembers(count int) func(*node) bool {
	return func(n *node) bool {
		return len(n.Directory.Members(fleet.KindEntry))+len(n.Directory.Members(fleet.KindAgent)) == count
	}
}
