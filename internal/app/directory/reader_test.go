package directory

import (
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/masticwing/masticwing/internal/adapter/inifile"
	"github.com/masticwing/masticwing/internal/adapter/sysclock"
	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/membership"
	"github.com/masticwing/masticwing/internal/port"
)

// singleKeyKV is a platform with one entry. A watch returns it only if its
// revision is higher than the one watched for.
type singleKeyKV struct {
	port.KV
	entry port.KVEntry
}

func (k *singleKeyKV) Get(context.Context, string) (port.KVEntry, error) { return k.entry, nil }

func (k *singleKeyKV) Watch(_ context.Context, _ string, after int64, _ time.Duration) (port.KVEntry, error) {
	if k.entry.Rev > after {
		return k.entry, nil
	}
	return port.KVEntry{}, port.ErrNotFound
}

// unresponsivePeer is a MemberClient that counts the exchanges by address and
// fails them.
type unresponsivePeer struct {
	port.MemberClient
	contacted map[fleet.Address]int
}

func (s unresponsivePeer) Exchange(_ context.Context, a fleet.Address, _ port.ExchangeMessage) (port.ExchangeMessage, error) {
	s.contacted[a]++
	return port.ExchangeMessage{}, errors.New("no answer")
}

func newTestDirectory(kv port.KV, mc port.MemberClient) *Directory {
	self := port.MemberRecord{ID: "e", Kind: fleet.KindEntry, Domain: "a", Address: "127.0.0.1:1"}
	return New(Config{Self: self}, Deps{
		KV: kv, Members: mc, Clock: sysclock.Clock{}, Rand: sysclock.Rand{}, Decode: inifile.Decode,
	})
}

func encodedDocument(t *testing.T, rev uint64) []byte {
	t.Helper()
	b, err := inifile.Document{Revision: rev, Config: "[domain a]\nregion=r\n"}.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// TestPlatformRevisionsRestart guards against a reader that waits forever for a
// higher revision after the platform restarted its revision counter.
func TestPlatformRevisionsRestart(t *testing.T) {
	kv := &singleKeyKV{entry: port.KVEntry{Value: encodedDocument(t, 4), Rev: 900}}
	w := watcher{d: newTestDirectory(kv, nil)}
	step := func() {
		if err := w.step(context.Background()); err != nil {
			t.Fatal(err)
		}
	}
	step()
	kv.entry = port.KVEntry{Value: encodedDocument(t, 5), Rev: 3}
	for range maxIdleWatches + 1 {
		step()
	}
	if got := w.d.rev.Revision(); got != 5 {
		t.Errorf("revision %d, want 5", got)
	}
}

// TestInvalidDocumentKeepsDeclaration guards against an invalid document that
// replaces the declaration in force.
func TestInvalidDocumentKeepsDeclaration(t *testing.T) {
	d := newTestDirectory(nil, nil)
	if _, err := d.accept(encodedDocument(t, 2), 0); err != nil {
		t.Fatal(err)
	}
	if _, err := d.accept([]byte(`{"revision":9,"config":"[zone x]"}`), 0); err == nil {
		t.Error("an invalid document was accepted")
	}
	if decl, _ := d.Declaration(); decl != nil {
		t.Errorf("revision %d is returned before the process is ready", decl.Revision)
	}
	close(d.start.ready)
	if decl, _ := d.Declaration(); decl == nil || decl.Revision != 2 {
		t.Errorf("declaration after an invalid document: %+v, want revision 2", decl)
	}
}

// TestVMListNeedsConfirmation guards against a VM list that removes a member
// without a failed contact, that is acted on after a single read, or that is
// ignored.
func TestVMListNeedsConfirmation(t *testing.T) {
	mc := unresponsivePeer{contacted: map[fleet.Address]int{}}
	d := newTestDirectory(nil, mc)
	now := time.Now()
	for _, r := range []port.MemberRecord{
		{ID: "w1", Kind: fleet.KindAgent, Domain: "a", Address: "w1"},
		{ID: "w2", Kind: fleet.KindAgent, Domain: "a", Address: "w2"},
		{ID: "w3", Kind: fleet.KindAgent, Domain: "b", Address: "w3"},
	} {
		d.table.Merge(toCore(r), 0, now)
	}
	list := []port.VMRecord{{VM: "w1", State: port.VMLive}, {VM: "w2", State: port.VMLeaving}}
	misses := map[string]int{}
	d.probeMissingVMs(context.Background(), list, misses)
	if len(mc.contacted) != 0 {
		t.Errorf("contacted after one list: %v", mc.contacted)
	}
	d.probeMissingVMs(context.Background(), list, misses)
	if len(mc.contacted) != 1 || mc.contacted["w2"] != 1 {
		t.Errorf("contacted %v, want w2 only", mc.contacted)
	}
	if s, _ := d.table.Get("w2", now); s.State != membership.Alive || len(d.Members(fleet.KindAgent)) != 3 {
		t.Errorf("the list alone changed the state to %v", s.State)
	}
}

// slowness is the time that each call of the slow fakes takes.
const slowness = 60 * time.Millisecond

// slowKV is a platform whose responses arrive late. The document is read at the start of a
// call.
type slowKV struct{ *singleKeyKV }

func (k slowKV) Watch(ctx context.Context, key string, after int64, wait time.Duration) (port.KVEntry, error) {
	e, err := k.singleKeyKV.Watch(ctx, key, after, wait)
	time.Sleep(wait + slowness)
	return e, err
}

// slowPeer is a MemberClient whose replies arrive late. They confirm revision 2 at the start
// of the call.
type slowPeer struct {
	port.MemberClient
	stored []byte
}

func (p slowPeer) Exchange(context.Context, fleet.Address, port.ExchangeMessage) (port.ExchangeMessage, error) {
	time.Sleep(slowness)
	return port.ExchangeMessage{From: "w", Revision: 2}, nil
}

func (p slowPeer) Declaration(context.Context, fleet.Address) (port.StoredDeclaration, error) {
	time.Sleep(slowness)
	return port.StoredDeclaration{Revision: 2, Stored: p.stored}, nil
}

// TestAgeIncludesCall guards against an age of the configuration that does not include the time
// that the call took which confirmed it, for example because the process stood still.
func TestAgeIncludesCall(t *testing.T) {
	ctx, stored := context.Background(), encodedDocument(t, 2)
	for name, confirm := range map[string]func(*Directory, *watcher){
		"change":      func(_ *Directory, w *watcher) { _ = w.step(ctx) },
		"no change":   func(_ *Directory, w *watcher) { w.rev, w.declRev = 7, 2; _ = w.step(ctx) },
		"exchange":    func(d *Directory, _ *watcher) { d.exchange(ctx, partner{"w", "w"}, headerOnly) },
		"declaration": func(d *Directory, _ *watcher) { d.fetch(ctx, fetchRequest{"w", 2}) },
	} {
		d := newTestDirectory(slowKV{&singleKeyKV{entry: port.KVEntry{Value: stored, Rev: 7}}}, slowPeer{stored: stored})
		d.cfg.WatchTimeout = time.Millisecond
		if name != "declaration" {
			if _, err := d.accept(stored, -1); err != nil {
				t.Fatal(err)
			}
		}
		confirm(d, &watcher{d: d})
		if _, age := d.rev.Snapshot(time.Now()); age < slowness {
			t.Errorf("%s: confirmed %v ago, want at least %v", name, age, slowness)
		}
	}
}
