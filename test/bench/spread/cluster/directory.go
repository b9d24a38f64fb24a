package cluster

import (
	"sync"
	"time"

	"github.com/masticwing/masticwing/internal/core/declare"
	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/port"
)

// noticeAfter is the time until the directory drops a lost machine.
const noticeAfter = 5 * time.Second

// directory stands in for the membership of a deployment.
type directory struct {
	decl *declare.Declaration

	mu      sync.Mutex
	members map[string]port.MemberRecord
	subs    map[chan struct{}]bool
}

func newDirectory(t port.WantedVersion) *directory {
	all := declare.Selector{{Key: declare.LabelVM, Op: declare.Exists}}
	named := declare.Selector{{Key: declare.LabelName, Op: declare.Exists}}
	return &directory{
		decl: &declare.Declaration{
			Groups: map[fleet.Group]declare.Group{"all": {VMs: all}},
			Models: map[fleet.Model]declare.Model{t.Model: {Versions: map[string]fleet.Version{"v": t.Version}}},
			Rules:  []declare.Rule{{Groups: named, Models: named, Version: "v"}},
		},
		members: map[string]port.MemberRecord{},
		subs:    map[chan struct{}]bool{},
	}
}

func (d *directory) put(r port.MemberRecord) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.members[r.ID] = r
	d.changed()
}

func (d *directory) removeLater(a *Agent) {
	time.AfterFunc(noticeAfter, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		if d.members[string(a.VM)].Address == a.Address {
			delete(d.members, string(a.VM))
			d.changed()
		}
	})
}

func (d *directory) changed() {
	for c := range d.subs {
		select {
		case c <- struct{}{}:
		default:
		}
	}
}

func (d *directory) view(alone bool) port.Directory { return view{d, alone} }

// view implements port.Directory.
type view struct {
	d     *directory
	alone bool
}

// Declaration implements port.Directory.
func (v view) Declaration() (*declare.Declaration, time.Duration) { return v.d.decl, 0 }

// Members implements port.Directory.
func (v view) Members(fleet.Kind) []port.MemberRecord {
	if v.alone {
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
