package directory

import (
	"context"
	"testing"

	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/port"
)

// exchangeRecorder answers exchanges with the table digest of d plus
// digestOffset, and records the messages that it receives.
type exchangeRecorder struct {
	port.MemberClient
	d            *Directory
	digestOffset uint64
	sent         []port.ExchangeMessage
}

func (r *exchangeRecorder) Exchange(_ context.Context, _ fleet.Address, m port.ExchangeMessage) (port.ExchangeMessage, error) {
	r.sent = append(r.sent, m)
	return port.ExchangeMessage{From: "w", Digest: r.d.table.Digest() + r.digestOffset}, nil
}

// TestEqualTablesExchangeDigestsOnly guards against sending records between equal
// tables, and against not sending them when the tables differ.
func TestEqualTablesExchangeDigestsOnly(t *testing.T) {
	r := &exchangeRecorder{}
	r.d = newTestDirectory(nil, r)
	recordCounts := func() (records []int) {
		r.sent = nil
		r.d.exchange(context.Background(), partner{"w", "127.0.0.1:2"}, withComparison)
		for _, m := range r.sent {
			records = append(records, len(m.Records))
		}
		return records
	}
	if got := recordCounts(); len(got) != 1 || got[0] == 0 {
		t.Errorf("before the first comparison: messages with %v records, want one with some", got)
	}
	if got := recordCounts(); len(got) != 1 || got[0] != 0 {
		t.Errorf("equal tables: messages with %v records, want one with none", got)
	}
	r.digestOffset = 1
	if got := recordCounts(); len(got) != 2 || got[1] == 0 {
		t.Errorf("different tables: messages with %v records, want a second one with some", got)
	}
}

// TestNewRevisionKeepsMemberRecord guards against a new declaration that changes
// the member record of every process and floods the exchanges.
func TestNewRevisionKeepsMemberRecord(t *testing.T) {
	d := newTestDirectory(nil, nil)
	var versions []uint64
	for rev := uint64(1); rev <= 3; rev++ {
		if _, err := d.accept(encodedDocument(t, rev), 0); err != nil {
			t.Fatal(err)
		}
		versions = append(versions, d.table.Self().Version)
	}
	if versions[0] == 0 || versions[2] != versions[0] {
		t.Errorf("versions of the process's record: %v, want one change, at the first revision", versions)
	}
}

// TestMembersReflectTableChanges guards against a cached result of Members that
// is returned after the table changed.
func TestMembersReflectTableChanges(t *testing.T) {
	d := newTestDirectory(nil, nil)
	if n := len(d.Members(fleet.KindAgent)); n != 0 {
		t.Fatalf("%d agents, want 0", n)
	}
	rec := port.MemberRecord{ID: "w", Kind: fleet.KindAgent, Domain: "a", Address: "127.0.0.1:2", Incarnation: 1}
	if _, err := d.Handler().Exchange(context.Background(), port.ExchangeMessage{From: "w", Records: []port.MemberRecord{rec}}); err != nil {
		t.Fatal(err)
	}
	if n := len(d.Members(fleet.KindAgent)); n != 1 {
		t.Errorf("%d agents after an exchange, want 1", n)
	}
}
