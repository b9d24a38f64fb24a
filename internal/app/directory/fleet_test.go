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

// testFleet is a fleet of directories that use the real RPC adapter, a stand-in
// platform, and links between failure domains that can be cut.
type testFleet struct {
	t       *testing.T
	url     string
	kv      *kvhttp.Client
	nodes   []*node
	domains *shard.Map[fleet.Address, fleet.Domain]
	// cutDomain holds the domain that is separated from all others and from the
	// platform; empty for none.
	cutDomain atomic.Value
	rev       int64
	doc       inifile.Document
	wg        conc.WaitGroup
}

// goUntilEnd runs f in a goroutine that the test's cleanup waits for.
func (tf *testFleet) goUntilEnd(f func()) { tf.wg.Go(f) }

// node is a process of the fleet.
type node struct {
	*Directory
	client *rpc.Client
	server *rpc.Server
	// history is the sequence of revisions in force at the process.
	history []uint64
}

var errLinkCut = errors.New("link is cut")

// isCut reports whether the link between two domains is cut.
func (tf *testFleet) isCut(a, b fleet.Domain) bool {
	c := tf.cutDomain.Load().(fleet.Domain)
	return c != "" && a != b && (a == c || b == c)
}

// cuttableLinks is a MemberClient and KV whose calls hang while the link is cut,
// like calls over a network that silently drops packets. The response to a call that
// began before the link was cut does not pass it either.
type cuttableLinks struct {
	port.MemberClient
	port.KV
	tf   *testFleet
	from fleet.Domain
}

func (l cuttableLinks) wait(ctx context.Context, to fleet.Domain) error {
	if !l.tf.isCut(l.from, to) {
		return nil
	}
	select {
	case <-ctx.Done():
	case <-time.After(2 * time.Second):
	}
	return errLinkCut
}

// overLink makes a call over the link to another domain.
func overLink[T any](ctx context.Context, l cuttableLinks, to fleet.Domain, call func() (T, error)) (T, error) {
	var none T
	if err := l.wait(ctx, to); err != nil {
		return none, err
	}
	out, err := call()
	if l.tf.isCut(l.from, to) {
		return none, errLinkCut
	}
	return out, err
}

func (l cuttableLinks) Exchange(ctx context.Context, a fleet.Address, m port.ExchangeMessage) (port.ExchangeMessage, error) {
	to, _ := l.tf.domains.Get(a)
	return overLink(ctx, l, to, func() (port.ExchangeMessage, error) { return l.MemberClient.Exchange(ctx, a, m) })
}

func (l cuttableLinks) Declaration(ctx context.Context, a fleet.Address) (port.StoredDeclaration, error) {
	to, _ := l.tf.domains.Get(a)
	return overLink(ctx, l, to, func() (port.StoredDeclaration, error) { return l.MemberClient.Declaration(ctx, a) })
}

func (l cuttableLinks) Watch(ctx context.Context, k string, after int64, d time.Duration) (port.KVEntry, error) {
	return overLink(ctx, l, "platform", func() (port.KVEntry, error) { return l.KV.Watch(ctx, k, after, d) })
}

func (l cuttableLinks) Get(ctx context.Context, k string) (port.KVEntry, error) {
	return overLink(ctx, l, "platform", func() (port.KVEntry, error) { return l.KV.Get(ctx, k) })
}

// newTestFleet starts n processes in three failure domains. Every third process
// of a domain is an entry.
func newTestFleet(t *testing.T, n int) *testFleet {
	t.Helper()
	p := httptest.NewServer(platform.New().Handler())
	t.Cleanup(p.Close)
	tf := &testFleet{
		t: t, url: p.URL, kv: kvhttp.New(fleet.Address(strings.TrimPrefix(p.URL, "http://"))),
		domains: shard.New[fleet.Address, fleet.Domain](0), doc: inifile.Document{Config: "[domain a]\nregion=r1\n"},
	}
	tf.cutDomain.Store(fleet.Domain(""))
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(func() {
		cancel()
		tf.wg.Wait()
		tf.checkRevisionsNeverFall()
	})
	var seeds []fleet.Address
	for i := range n {
		nd, lis := tf.node(i, seeds)
		if len(seeds) < 3 {
			seeds = append(seeds, nd.cfg.Self.Address)
		}
		tf.goUntilEnd(func() { _ = nd.server.Serve(ctx, lis) })
		tf.goUntilEnd(func() { nd.Run(ctx) })
		tf.goUntilEnd(func() { nd.recordHistory(ctx) })
	}
	return tf
}

func (tf *testFleet) node(i int, seeds []fleet.Address) (*node, net.Listener) {
	tf.t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tf.t.Fatal(err)
	}
	dom := fleet.Domain([]string{"a", "b", "c"}[i%3])
	self := port.MemberRecord{
		ID: fmt.Sprintf("%s-%02d", dom, i), Kind: fleet.KindAgent, Domain: dom, Region: "r",
		Address: fleet.Address(lis.Addr().String()), Labels: map[string]string{"pool": "model"},
	}
	if i/3%3 == 0 {
		self.Kind = fleet.KindEntry
	}
	tf.domains.Put(self.Address, dom)
	nd := &node{client: rpc.NewClient()}
	tf.t.Cleanup(nd.client.Close)
	l := cuttableLinks{nd.client, tf.kv, tf, dom}
	nd.Directory = New(Config{Self: self, Seeds: seeds}, Deps{
		KV: l, VMs: tf.kv, Members: l, Clock: sysclock.Clock{}, Rand: sysclock.Rand{}, Decode: inifile.Decode,
	})
	if nd.server, err = rpc.NewServer(rpc.Handlers{Member: nd.Handler(), Meter: nd.client.Meter}); err != nil {
		tf.t.Fatal(err)
	}
	tf.nodes = append(tf.nodes, nd)
	return nd, lis
}

// recordHistory records the revisions in force as a subscriber of the Directory
// sees them.
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

// checkRevisionsNeverFall fails the test if a process returned to an older
// revision. It must run after the processes have ended.
func (tf *testFleet) checkRevisionsNeverFall() {
	for _, n := range tf.nodes {
		for i := 1; i < len(n.history); i++ {
			if n.history[i] < n.history[i-1] {
				tf.t.Errorf("%s reverted to an older revision: %v", n.cfg.Self.ID, n.history)
			}
		}
	}
}

// setFaults sets the faults that the platform injects.
func (tf *testFleet) setFaults(f platform.Faults) {
	tf.t.Helper()
	b, _ := json.Marshal(f)
	resp, err := http.Post(tf.url+"/faults", "application/json", bytes.NewReader(b))
	if err != nil {
		tf.t.Fatal(err)
	}
	_ = resp.Body.Close()
}

// writeRevision writes the next revision to the platform and returns it.
func (tf *testFleet) writeRevision() uint64 {
	tf.t.Helper()
	tf.doc = tf.doc.WithChange(inifile.ChangeRecord{WriteID: fmt.Sprint("w", tf.doc.Revision)})
	b, err := tf.doc.Encode()
	if err != nil {
		tf.t.Fatal(err)
	}
	rev, err := tf.kv.CompareAndSwap(context.Background(), inifile.DocumentKey, tf.rev, b, port.NoLease)
	if errors.Is(err, port.ErrUnknownOutcome) {
		e, gerr := tf.kv.Get(context.Background(), inifile.DocumentKey)
		if gerr != nil || !bytes.Equal(e.Value, b) {
			tf.t.Fatalf("write was lost: %v, %v", err, gerr)
		}
		rev, err = e.Rev, nil
	}
	if err != nil {
		tf.t.Fatal(err)
	}
	tf.rev = rev
	return tf.doc.Revision
}

// restorePreviousRevision overwrites the newest document with the one before, as
// if the platform had been restored from a backup.
func (tf *testFleet) restorePreviousRevision() {
	tf.t.Helper()
	old := tf.doc
	old.Revision--
	b, err := old.Encode()
	if err != nil {
		tf.t.Fatal(err)
	}
	if tf.rev, err = tf.kv.CompareAndSwap(context.Background(), inifile.DocumentKey, tf.rev, b, port.NoLease); err != nil {
		tf.t.Fatal(err)
	}
}

// waitFor waits until ok holds for all selected nodes and returns the time taken.
// It fails the test after limit.
func (tf *testFleet) waitFor(what string, limit time.Duration, selected func(*node) bool, ok func(*node) bool) time.Duration {
	tf.t.Helper()
	began := time.Now()
	for {
		missing := []string{}
		for _, n := range tf.nodes {
			if selected(n) && !ok(n) {
				missing = append(missing, n.cfg.Self.ID)
			}
		}
		took := time.Since(began)
		if len(missing) == 0 {
			tf.t.Logf("%s: %v", what, took.Round(10*time.Millisecond))
			return took
		}
		if took > limit {
			tf.t.Fatalf("%s: not within %v at nodes %v", what, limit, missing)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// waitForFirst waits until at least one process has the revision.
func (tf *testFleet) waitForFirst(rev uint64) {
	tf.t.Helper()
	for end := time.Now().Add(7 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if slices.ContainsFunc(tf.nodes, hasRevision(rev)) {
			return
		}
	}
	tf.t.Fatalf("no process has revision %d", rev)
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

// seesMembers matches nodes that list count members.
func seesMembers(count int) func(*node) bool {
	return func(n *node) bool {
		return len(n.Directory.Members(fleet.KindEntry))+len(n.Directory.Members(fleet.KindAgent)) == count
	}
}
