// Package ledgerdoc encodes and decodes the documents in which the ledger stores its
// records.
package ledgerdoc

import (
	"bytes"
	"slices"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/masticwing/masticwing/internal/adapter/ledgerdoc/pb"
	"github.com/masticwing/masticwing/internal/core/ledger"
	"github.com/masticwing/masticwing/internal/port"
)

// ErrMalformed means that a document cannot be decoded.
var ErrMalformed = errors.New("malformed ledger document")

// Codec implements port.LedgerCodec.
type Codec struct{}

var _ port.LedgerCodec = Codec{}

// Encode implements port.LedgerCodec. It sorts the records by key.
func (Codec) Encode(records ledger.Records) ([]byte, error) {
	doc := &pb.Document{Records: make([]*pb.Record, 0, len(records))}
	for k, r := range records {
		doc.Records = append(doc.Records, &pb.Record{Key: k[:], Attempt: r.Attempt[:], State: pb.State(r.State)})
	}
	slices.SortFunc(doc.Records, func(a, b *pb.Record) int { return bytes.Compare(a.Key, b.Key) })
	b, err := proto.Marshal(doc)
	return b, errors.Wrap(err, "encoding a ledger document")
}

// Decode implements port.LedgerCodec.
func (Codec) Decode(b []byte) (ledger.Records, error) {
	var doc pb.Document
	if err := proto.Unmarshal(b, &doc); err != nil {
		return nil, errors.Wrap(ErrMalformed, err.Error())
	}
	records := make(ledger.Records, len(doc.Records))
	for _, r := range doc.Records {
		state := ledger.State(r.State)
		if len(r.Key) != len(ledger.KeyHash{}) || len(r.Attempt) != len(ledger.Attempt{}) ||
			state < ledger.Started || state > ledger.Aborted {
			return nil, errors.Wrapf(ErrMalformed, "record %x %x %v", r.Key, r.Attempt, r.State)
		}
		k := ledger.KeyHash(r.Key)
		if _, exists := records[k]; exists {
			return nil, errors.Wrapf(ErrMalformed, "two records of key %x", r.Key)
		}
		records[k] = ledger.Record{Attempt: ledger.Attempt(r.Attempt), State: state}
	}
	return records, nil
}
