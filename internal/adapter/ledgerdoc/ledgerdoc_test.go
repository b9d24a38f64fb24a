package ledgerdoc

import (
	"encoding/binary"
	"maps"
	"testing"

	"github.com/pkg/errors"

	"github.com/masticwing/masticwing/internal/core/ledger"
)

// TestFullDocument guards against records that are lost in the encoding, and
// against a full document that exceeds the platform's limit of 1 MiB per value.
func TestFullDocument(t *testing.T) {
	records := ledger.Records{}
	for i := range ledger.MaxRecords {
		var k ledger.KeyHash
		binary.BigEndian.PutUint64(k[:], uint64(i))
		records[k] = ledger.Record{Attempt: ledger.NewAttempt(uint64(i), 1), State: ledger.State(1 + i%3)}
	}
	b, err := Codec{}.Encode(records)
	if err != nil || len(b) > 1<<20 {
		t.Fatalf("%d bytes, %v", len(b), err)
	}
	if got, err := (Codec{}).Decode(b); err != nil || !maps.Equal(got, records) {
		t.Fatalf("decoded %d records, %v", len(got), err)
	}
}

// FuzzDecode guards against a corrupted document that is decoded to fewer or
// other records, and against a panic.
func FuzzDecode(f *testing.F) {
	good, _ := Codec{}.Encode(ledger.Records{{1}: {Attempt: ledger.Attempt{2}, State: ledger.Done}})
	f.Add(good)
	f.Add(append(append([]byte{}, good...), good...))
	f.Add(good[:len(good)-1])
	f.Fuzz(func(t *testing.T, b []byte) {
		records, err := Codec{}.Decode(b)
		if err != nil && !errors.Is(err, ErrMalformed) {
			t.Fatal(err)
		}
		for _, r := range records {
			if r.State < ledger.Started || r.State > ledger.Aborted {
				t.Fatalf("state %d accepted", r.State)
			}
		}
	})
}
