package inifile

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/masticwing/masticwing/internal/core/declare"
	"github.com/masticwing/masticwing/internal/core/fleet"
)

const (
	// MaxDocumentBytes is the largest value that the platform stores.
	MaxDocumentBytes = 1 << 20
	// MaxHistory is the number of changes kept in a document. An operator who
	// got no response to a write looks up its write id there, which works until
	// 32 further changes have been made.
	MaxHistory = 32
	// DocumentKey is the key under which the platform stores the document.
	DocumentKey = "config/current"
)

// ErrTooLarge means that a document exceeds MaxDocumentBytes.
var ErrTooLarge = errors.New("document exceeds 1 MB")

// ChangeRecord describes one accepted change of the document.
type ChangeRecord struct {
	Revision uint64    `json:"revision"`
	WriteID  string    `json:"write_id"`
	Operator string    `json:"operator"`
	Time     time.Time `json:"time"`
	Summary  string    `json:"summary"`
}

// Document is the stored form of a declaration.
type Document struct {
	Revision uint64         `json:"revision"`
	WriteID  string         `json:"write_id"`
	Config   string         `json:"config"`
	History  []ChangeRecord `json:"history"`
	// CordonedDomains and CordonedVMs are changed by the cordon commands; applying
	// a new configuration keeps them.
	CordonedDomains []string `json:"cordoned_domains"`
	CordonedVMs     []string `json:"cordoned_vms"`
}

// WithChange returns a copy of d with the next revision, and with c as the newest
// entry of its history.
func (d Document) WithChange(c ChangeRecord) Document {
	c.Revision = d.Revision + 1
	n := d
	n.Revision, n.WriteID = c.Revision, c.WriteID
	n.History = append(slices.Clone(d.History), c)
	if extra := len(n.History) - MaxHistory; extra > 0 {
		n.History = n.History[extra:]
	}
	n.CordonedDomains, n.CordonedVMs = slices.Clone(d.CordonedDomains), slices.Clone(d.CordonedVMs)
	return n
}

// FindChange returns the change with the given write id, if it is in the history.
func (d Document) FindChange(writeID string) (ChangeRecord, bool) {
	for _, c := range d.History {
		if c.WriteID == writeID {
			return c, true
		}
	}
	return ChangeRecord{}, false
}

// gzipMagic is the prefix of a compressed document. A document without it is
// read as plain JSON.
var gzipMagic = []byte{0x1f, 0x8b}

// Encode returns the stored form, JSON compressed with gzip. Compression also
// saves traffic between processes: each process receives this form once per
// change and forwards it unchanged about once.
func (d Document) Encode() ([]byte, error) {
	b, err := json.Marshal(d)
	if err != nil {
		return nil, errors.Wrap(err, "encoding document")
	}
	if len(b) > MaxDocumentBytes {
		return nil, errors.Wrapf(ErrTooLarge, "%d bytes", len(b))
	}
	var out bytes.Buffer
	w := gzip.NewWriter(&out)
	if _, err := w.Write(b); err != nil {
		return nil, errors.Wrap(err, "compressing document")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "compressing document")
	}
	return out.Bytes(), nil
}

// decompress returns the JSON of a stored document. It stops after
// MaxDocumentBytes+1 bytes, so that the caller detects a document that is too large.
func decompress(b []byte) ([]byte, error) {
	if !bytes.HasPrefix(b, gzipMagic) {
		return b, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(b))
	if err != nil {
		return nil, errors.Wrap(err, "decompressing document")
	}
	out, err := io.ReadAll(io.LimitReader(r, MaxDocumentBytes+1))
	return out, errors.Wrap(err, "decompressing document")
}

// DecodeDocument decodes a stored document, but does not parse its configuration.
func DecodeDocument(b []byte) (Document, error) {
	var d Document
	b, err := decompress(b)
	if err != nil {
		return d, err
	}
	if len(b) > MaxDocumentBytes {
		return d, errors.Wrapf(ErrTooLarge, "%d bytes", len(b))
	}
	if err := json.Unmarshal(b, &d); err != nil {
		return Document{}, errors.Wrap(err, "decoding document")
	}
	if d.Revision == 0 {
		return Document{}, errors.New("document has no revision")
	}
	if len(d.History) > MaxHistory {
		return Document{}, errors.Errorf("document has a history of %d changes, more than %d", len(d.History), MaxHistory)
	}
	return d, nil
}

// Declaration parses the configuration of d and adds the cordons of d.
func (d Document) Declaration() (*declare.Declaration, []declare.Fault) {
	decl, faults := Parse([]File{{Text: d.Config}})
	if len(faults) > 0 {
		return nil, faults
	}
	decl.Revision, decl.WriteID = d.Revision, d.WriteID
	for _, x := range d.CordonedDomains {
		decl.Cordons.Domains[fleet.Domain(x)] = true
	}
	for _, x := range d.CordonedVMs {
		decl.Cordons.VMs[fleet.VM(x)] = true
	}
	return decl, nil
}

// Decode decodes a stored document and parses its configuration.
func Decode(b []byte) (*declare.Declaration, error) {
	d, err := DecodeDocument(b)
	if err != nil {
		return nil, err
	}
	decl, faults := d.Declaration()
	if len(faults) > 0 {
		return nil, errors.Errorf("document of revision %d has %d faults, the first: %s", d.Revision, len(faults), faults[0])
	}
	return decl, nil
}

// SetCordon returns the sorted names with name added or removed.
func SetCordon(names []string, name string, cordoned bool) []string {
	set := map[string]bool{}
	for _, x := range names {
		set[x] = true
	}
	if set[name] = true; !cordoned {
		delete(set, name)
	}
	return slices.Sorted(maps.Keys(set))
}
