// Package ledgerdoc encodes the documents of the ledger.
package ledgerdoc

import (
	"bytes"
	"slices"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/masticwing/masticwing/internal/adapter/ledgerdoc/pb"
	"github.com/masticwing/masticwing/internal/core/ledger"
)

// ErrMalformed means that a document cannot be understood. No call may run on
// the strength of such a document.
var ErrMalformed = errors.New("malformed ledger document")

// Encode returns the bytes of a document, in the order of its keys.
func Encode(rec ledger.Records) ([]byte, error) {
	doc := &pb.Document{Records: make([]*pb.Record, 0, len(rec))}
	for k, r := range rec {
		doc.Records = append(doc.Records, &pb.Record{Key: k[:], Attempt: r.Attempt[:], State: pb.State(r.State)})
	}
	slices.SortFunc(doc.Records, func(a, b *pb.Record) int { return bytes.Compare(a.Key, b.Key) })
	b, err := proto.Marshal(doc)
	return b, errors.Wrap(err, "encoding a ledger document")
}

// Decode returns the records of a document.
func Decode(b []byte) (ledger.Records, error) {
	var doc pb.Document
	if err := proto.Unmarshal(b, &doc); err != nil {
		return nil, errors.Wrap(ErrMalformed, err.Error())
	}
	rec := make(ledger.Records, len(doc.Records))
	for _, r := range doc.Records {
		st := ledger.State(r.State)
		if len(r.Key) != len(ledger.KeyHash{}) || len(r.Attempt) != len(ledger.Attempt{}) ||
			st < ledger.Started || st > ledger.Aborted {
			return nil, errors.Wrapf(ErrMalformed, "record %x %x %v", r.Key, r.Attempt, r.State)
		}
		k := ledger.KeyHash(r.Key)
		if _, twice := rec[k]; twice {
			return nil, errors.Wrapf(ErrMalformed, "two records of key %x", r.Key)
		}
		rec[k] = ledger.Record{Attempt: ledger.Attempt(r.Attempt), State: st}
	}
	return rec, nil
}
