package cluster

import (
	"sync"
	"time"

	"github.com/masticwing/masticwing/internal/core/declare"
	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/port"
)

// removalDelay is the time after which the directory drops a lost machine.
const removalDelay = 5 * time.Second

// directory replaces the membership protocol: all machines share it.
type directory struct {
	decl *declare.Declaration

	mu      sync.Mutex
	members map[string]port.MemberRecord
	subs    map[chan struct{}]bool
}

func newDirectory(t port.WantedVersion) *directory {
	anyVM := declare.Selector{{Key: declare.LabelVM, Op: declare.Exists}}
	anyName := declare.Selector{{Key: declare.LabelName, Op: declare.Exists}}
	return &directory{
		decl: &declare.Declaration{
			Groups: map[fleet.Group]declare.Group{"all": {VMs: anyVM}},
			Models: map[fleet.Model]declare.Model{t.Model: {Versions: map[string]fleet.Version{"v": t.Version}}},
			Rules:  []declare.Rule{{Groups: anyName, Models: anyName, Version: "v"}},
		},
		members: map[string]port.MemberRecord{},
		subs:    map[chan struct{}]bool{},
	}
}

func (d *directory) put(r port.MemberRecord) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.members[r.ID] = r
	d.notify()
}

func (d *directory) removeLater(a *Agent) {
	time.AfterFunc(removalDelay, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		if d.members[string(a.VM)].Address == a.Address {
			delete(d.members, string(a.VM))
			d.notify()
		}
	})
}

// notify wakes the subscribers. Callers hold d.mu.
func (d *directory) notify() {
	for c := range d.subs {
		select {
		case c <- struct{}{}:
		default:
		}
	}
}

func (d *directory) view(withoutPeers bool) port.Directory { return view{d, withoutPeers} }

// view is the directory as one machine sees it.
type view struct {
	d            *directory
	withoutPeers bool
}

// Declaration implements port.Directory.
func (v view) Declaration() (*declare.Declaration, time.Duration) { return v.d.decl, 0 }

// Members implements port.Directory.
func (v view) Members(fleet.Kind) []port.MemberRecord {
	if v.withoutPeers {
		return nil
	}
	v.d.mu.Lock()
	defer v.d.mu.Unlock()
	out := make([]port.MemberRecord, 0, len(v.d.members))
	for _, r := range v.d.members {
		out = append(out, r)
	}
	return out
}

// Subscribe implements port.Directory.
func (v view) Subscribe() (<-chan struct{}, func()) {
	c := make(chan struct{}, 1)
	v.d.mu.Lock()
	defer v.d.mu.Unlock()
	v.d.subs[c] = true
	return c, func() {
		v.d.mu.Lock()
		defer v.d.mu.Unlock()
		delete(v.d.subs, c)
	}
}

// UpdateSelf implements port.Directory.
func (view) UpdateSelf(func(*port.MemberRecord)) {}

type noMetrics struct{}

func (noMetrics) Count(string, int64, ...port.Attr)           {}
func (noMetrics) Seconds(string, time.Duration, ...port.Attr) {}
func (noMetrics) Gauge(string, float64, ...port.Attr)         {}
