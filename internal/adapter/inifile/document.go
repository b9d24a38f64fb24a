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
	// MaxDocumentBytes is the platform's limit of a value.
	MaxDocumentBytes = 1 << 20
	// MaxHistory is the number of changes that a document remembers. An
	// operator whose answer was lost finds the write id there unless 32 others
	// have changed the document since.
	MaxHistory = 32
	// Key is the platform's key of the document.
	Key = "config/current"
)

// ErrTooLarge means that a document exceeds the platform's limit of a value.
var ErrTooLarge = errors.New("document exceeds 1 MB")

// ChangeRecord is one accepted change.
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
	// CordonedDomains and CordonedVMs are set by command and kept by apply.
	CordonedDomains []string `json:"cordoned_domains"`
	CordonedVMs     []string `json:"cordoned_vms"`
}

// Next returns a copy of d as the change c leaves it. The revision rises by
// one and c is the newest of the history.
func (d Document) Next(c ChangeRecord) Document {
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

// Wrote returns the change with the write id, if the document contains it.
func (d Document) Wrote(writeID string) (ChangeRecord, bool) {
	for _, c := range d.History {
		if c.WriteID == writeID {
			return c, true
		}
	}
	return ChangeRecord{}, false
}

// gzipMagic starts the stored form. A document without it is read as plain
// JSON.
var gzipMagic = []byte{0x1f, 0x8b}

// Encode returns the stored form, JSON compressed with gzip. Every process
// gets it once per change and passes it on about once, as it is.
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

// inflate returns the JSON of a stored form, of at most MaxDocumentBytes and
// one.
func inflate(b []byte) ([]byte, error) {
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

// DecodeDocument reads the stored form without its configuration.
func DecodeDocument(b []byte) (Document, error) {
	var d Document
	b, err := inflate(b)
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

// Declaration parses the configuration of d and adds the cordons.
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

// Decode reads the stored form with its configuration.
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

// Cordon returns list with or without name, sorted.
func Cordon(list []string, name string, on bool) []string {
	set := map[string]bool{}
	for _, x := range list {
		set[x] = true
	}
	if set[name] = true; !on {
		delete(set, name)
	}
	return slices.Sorted(maps.Keys(set))
}
