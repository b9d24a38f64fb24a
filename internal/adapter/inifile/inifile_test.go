package inifile

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/masticwing/masticwing/internal/core/declare"
)

var digest = strings.Repeat("0123456789abcdef", 4)

var example = `
[customer resort-north]
share = 3               ; weight
max_bytes = 8MiB
[domain a]
region = r1
labels = coast=east
[vm a-w1]
labels = pool=canary
[model summarizer]
labels = family=survey
version.2026-12 = ` + digest + `
[group summaries]
vms = pool=model,coast in (east, west),!old
labels = tier=main
cold_first_token = 2s
fencing = checked
[serve summaries-main]
groups = tier=main
models = family=survey
version = 2026-12
[service status]
vms = pool=status
call.read = repeatable
call.log = once
`

// TestParse guards against values that are assigned to the wrong field.
func TestParse(t *testing.T) {
	d, faults := Parse([]File{{"all.ini", example}})
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	a := d.Assign(declare.Machine{VM: "a-w2", Domain: "a", Labels: declare.Labels{"pool": "model"}})
	if a.Group != "summaries" || string(a.Version) != digest || a.Fencing != declare.FencingChecked {
		t.Errorf("assignment = %+v", a)
	}
	if !d.Services["status"].Calls["log"].AtMostOnce || d.Services["status"].Calls["read"].AtMostOnce {
		t.Errorf("calls = %+v", d.Services["status"].Calls)
	}
	if d.Customers["resort-north"].Share != 3 {
		t.Errorf("customer = %+v", d.Customers["resort-north"])
	}
}

// TestParseReportsAllFaults guards against faults that are reported only after
// earlier ones have been corrected, and against faults without file, section or key.
func TestParseReportsAllFaults(t *testing.T) {
	_, faults := Parse([]File{
		{"a.ini", "stray = 1\n[customer x]\nshare = many\nshares = 1\n[zone b]\n"},
		{"b.ini", "[customer x]\n[group g]\nvms = a in b\nmax_bytes = 1\nmax_bytes = 2\n[domain a]\nout = maybe\n"},
	})
	var got []string
	for _, f := range faults {
		got = append(got, f.File+"|"+f.Section+"|"+f.Key)
	}
	want := []string{
		"a.ini||stray", "a.ini|customer x|share", "a.ini|customer x|shares", "a.ini|zone b|",
		"b.ini|customer x|", "b.ini|group g|vms", "b.ini|group g|max_bytes", "b.ini|domain a|out",
	}
	if !slices.Equal(got, want) {
		t.Errorf("faults:\n%s\nwant:\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
}

// TestCrossSectionFaults guards against accepting inconsistent sections, such as
// a rule without a matching model or version, and against faults that name no file.
func TestCrossSectionFaults(t *testing.T) {
	for text, key := range map[string]string{
		strings.Replace(example, "version = 2026-12", "version = 2027", 1):               "version",
		strings.Replace(example, "models = family=survey", "models = family=other", 1):   "models",
		strings.Replace(example, digest, "abc", 1):                                       "version.2026-12",
		strings.Replace(example, "cold_first_token = 2s", "cold_requests = 9", 1):        "cold_requests",
		example + "[serve second]\ngroups=tier\nmodels=family=survey\nversion=2026-12\n": "",
	} {
		_, faults := Parse([]File{{"f.ini", text}})
		if len(faults) != 1 || faults[0].Key != key || faults[0].File != "f.ini" {
			t.Errorf("faults = %v, want one of key %q", faults, key)
		}
	}
}

// TestDocument guards against a history that grows without limit, a recent write
// id that is not found, and a document that exceeds the platform's limit.
func TestDocument(t *testing.T) {
	d := Document{Config: example, CordonedDomains: []string{"a"}}
	for i := range MaxHistory + 5 {
		d = d.WithChange(ChangeRecord{WriteID: fmt.Sprint("w", i)})
	}
	b, err := d.Encode()
	if err != nil {
		t.Fatal(err)
	}
	got, err := DecodeDocument(b)
	if err != nil || len(got.History) != MaxHistory || got.Revision != MaxHistory+5 {
		t.Fatalf("decoded = %+v, %v", got, err)
	}
	if _, ok := got.FindChange("w36"); !ok {
		t.Error("newest write not found")
	}
	if _, ok := got.FindChange("w4"); ok {
		t.Error("oldest write still present")
	}
	decl, err := Decode(b)
	if err != nil || !decl.Cordoned("a", "x") || decl.Revision != got.Revision {
		t.Errorf("declaration = %+v, %v", decl, err)
	}
	d.Config = strings.Repeat("x", MaxDocumentBytes)
	if _, err := d.Encode(); !errors.Is(err, ErrTooLarge) {
		t.Errorf("encoding of a large document: %v", err)
	}
}

// FuzzParse guards against a panic or hang of the parser, and against a joined text
// that parses differently from its files.
func FuzzParse(f *testing.F) {
	f.Add(example)
	f.Add("[group x]\nvms = \"\"\"a\n")
	f.Add("[vm a]\nlabels = a=b, a=c\n")
	f.Fuzz(func(t *testing.T, text string) {
		t0 := time.Now()
		d, faults := Parse([]File{{"f", text}})
		if dt := time.Since(t0); dt > time.Second {
			t.Fatalf("parsing %d bytes took %v", len(text), dt)
		}
		if (d == nil) != (len(faults) > 0) {
			t.Fatalf("declaration %v with faults %v", d, faults)
		}
		if d == nil {
			return
		}
		again, faults := Parse([]File{{"", Join([]File{{"f", text}})}})
		if len(faults) > 0 || len(again.Groups) != len(d.Groups) {
			t.Fatalf("joined text has faults %v", faults)
		}
	})
}

// FuzzDecode guards against a panic on a corrupted stored document.
func FuzzDecode(f *testing.F) {
	b, _ := Document{Config: example}.WithChange(ChangeRecord{WriteID: "w"}).Encode()
	f.Add(b)
	f.Add([]byte(`{"revision":1,"config":"[vm"}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		d, err := Decode(b)
		if err == nil && d.Revision == 0 {
			t.Fatal("accepted a document without a revision")
		}
	})
}

// TestDocumentCompression guards against documents that are stored uncompressed, against
// accepting truncated ones and ones that exceed the limit when decompressed, and
// against rejecting plain JSON.
func TestDocumentCompression(t *testing.T) {
	d := Document{Revision: 1, Config: strings.Repeat("[domain a]\nregion = r\n", 100)}
	b, err := d.Encode()
	if err != nil || len(b) > len(d.Config)/4 {
		t.Fatalf("%d bytes for a configuration of %d: %v", len(b), len(d.Config), err)
	}
	if _, err := DecodeDocument(b[:len(b)-4]); err == nil {
		t.Error("a truncated document was accepted")
	}
	plain, _ := decompress(b)
	if got, err := DecodeDocument(plain); err != nil || got.Config != d.Config {
		t.Errorf("plain JSON: %v", err)
	}
	var bomb bytes.Buffer
	w := gzip.NewWriter(&bomb)
	_, _ = w.Write(make([]byte, 4*MaxDocumentBytes))
	_ = w.Close()
	if _, err := DecodeDocument(bomb.Bytes()); !errors.Is(err, ErrTooLarge) {
		t.Errorf("document of 4 MB compressed to %d bytes: %v, want ErrTooLarge", bomb.Len(), err)
	}
}
