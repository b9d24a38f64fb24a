package directory

import (
	"context"

	"github.com/pkg/errors"

	"github.com/masticwing/masticwing/internal/port"
)

// ErrNoDeclaration is returned to processes that ask for the declaration before
// this process knows one.
var ErrNoDeclaration = errors.New("no declaration is known")

// handler implements port.MemberHandler. It is a separate type because
// port.Directory has methods of the same names.
type handler struct{ *Directory }

// Handler returns the server side of the member protocol.
func (d *Directory) Handler() port.MemberHandler { return handler{d} }

// Exchange implements port.MemberHandler. A message without a sender is a query
// by an operator's tool. The reply to it carries only the record of this process
// and leaves the updates queued for members untouched.
func (d handler) Exchange(_ context.Context, m port.ExchangeMessage) (port.ExchangeMessage, error) {
	if m.From == "" {
		return d.selfMessage(), nil
	}
	out, res := d.gossip.Reply(d.toCoreMessage(m), d.deps.Clock.Now())
	d.handleMerge(res)
	d.observeRevision(m, "")
	return d.fromCoreMessage(out), nil
}

// Declaration implements port.MemberHandler.
func (d handler) Declaration(context.Context) (port.StoredDeclaration, error) {
	snap, age := d.rev.Snapshot(d.deps.Clock.Now())
	if snap.Declaration == nil {
		return port.StoredDeclaration{}, ErrNoDeclaration
	}
	return port.StoredDeclaration{Revision: snap.Declaration.Revision, Stored: snap.Stored, Age: age}, nil
}

// Members implements port.MemberHandler. It includes dead members, so that
// operators see which processes are unreachable and since when.
func (d handler) Members(context.Context) (port.ExchangeMessage, error) { return d.tableMessage(), nil }

func (d *Directory) tableMessage() port.ExchangeMessage {
	m := d.fromCoreMessage(d.gossip.NewMessage())
	m.Records = d.allRecords()
	return m
}

func (d *Directory) selfMessage() port.ExchangeMessage {
	now := d.deps.Clock.Now()
	m := d.fromCoreMessage(d.gossip.NewMessage())
	if rec, ok := d.table.Get(d.cfg.Self.ID, now); ok {
		m.Records = []port.MemberRecord{fromCore(rec)}
	}
	return m
}

func (d *Directory) allRecords() []port.MemberRecord {
	var out []port.MemberRecord
	for _, rec := range d.table.AllMembers(d.deps.Clock.Now()) {
		out = append(out, fromCore(rec))
	}
	return out
}
