package docs

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/masticwing/masticwing/internal/adapter/httpapi"
	"github.com/masticwing/masticwing/internal/adapter/ledgerdoc"
	"github.com/masticwing/masticwing/internal/adapter/sysclock"
	"github.com/masticwing/masticwing/internal/app/ledger"
	core "github.com/masticwing/masticwing/internal/core/ledger"
	"github.com/masticwing/masticwing/internal/core/verdict"
	"github.com/masticwing/masticwing/internal/port"
	"github.com/masticwing/masticwing/internal/port/porttest"
	"github.com/masticwing/masticwing/test/harness"
)

// tableRows returns the rows of the first table of a page with the given header
// line.
func tableRows(t *testing.T, page, header string) [][]string {
	t.Helper()
	b, err := os.ReadFile(filepath.Join(harness.RepoRoot(), "docs", page))
	if err != nil {
		t.Fatal(err)
	}
	_, rest, ok := strings.Cut(string(b), "\n"+header+"\n")
	if !ok {
		t.Fatalf("%s has no table %s", page, header)
	}
	var rows [][]string
	for line := range strings.Lines(rest) {
		line = strings.TrimSpace(line)
		if !strings.HasPrefix(line, "|") {
			break
		}
		if strings.HasPrefix(line, "|---") {
			continue
		}
		cells := strings.Split(strings.Trim(line, "|"), "|")
		for i := range cells {
			cells[i] = strings.TrimSpace(cells[i])
		}
		rows = append(rows, cells)
	}
	return rows
}

// declaredCodes returns the error codes that internal/core/verdict declares.
func declaredCodes(t *testing.T) map[verdict.Code]bool {
	t.Helper()
	file := filepath.Join(harness.RepoRoot(), "internal", "core", "verdict", "verdict.go")
	f, err := parser.ParseFile(token.NewFileSet(), file, nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	codes := map[verdict.Code]bool{}
	ast.Inspect(f, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok || len(spec.Values) != 1 || !strings.HasPrefix(spec.Names[0].Name, "Code") {
			return true
		}
		if lit, ok := spec.Values[0].(*ast.BasicLit); ok {
			code, err := strconv.Unquote(lit.Value)
			if err != nil {
				t.Fatal(err)
			}
			codes[verdict.Code(code)] = true
		}
		return true
	})
	if len(codes) < 20 {
		t.Fatalf("found only %d codes in %s", len(codes), file)
	}
	return codes
}

// TestErrorTable guards against a page whose error codes, statuses or verdicts
// differ from those of the code.
func TestErrorTable(t *testing.T) {
	codes := declaredCodes(t)
	for _, row := range tableRows(t, "http.md", "| code | status | verdict | meaning |") {
		for name := range strings.SplitSeq(row[0], ", ") {
			code := verdict.Code(strings.Trim(name, "`"))
			if !codes[code] {
				t.Errorf("the page lists %s, which is not declared or listed twice", code)
			}
			delete(codes, code)
			// No caller receives a status for these two codes: the caller has
			// disconnected or was disconnected.
			noStatus := code == verdict.CodeSlowCaller || code == verdict.CodeCanceled
			if status := strconv.Itoa(httpapi.Status(code)); row[1] != status && !noStatus {
				t.Errorf("the page gives %s the status %s, the entry %s", code, row[1], status)
			}
		}
		for v := range strings.SplitSeq(row[2], ", ") {
			if v != "-" && v != "any" && verdict.Parse(v).String() != v {
				t.Errorf("the page gives %s the verdict %s", row[0], v)
			}
		}
	}
	for code := range codes {
		t.Errorf("the page does not list %s", code)
	}
}

// ledgerErrors returns all errors with which the ledger rejects a call.
func ledgerErrors(t *testing.T) []*verdict.Error {
	t.Helper()
	var out []*verdict.Error
	for d := core.Queued; d <= core.Full; d++ {
		if e := d.Err(); e != nil {
			out = append(out, e)
		}
	}
	now := time.Now()
	key := uuid.Must(uuid.NewV7()).String()
	for _, c := range []struct {
		key string
		now time.Time
	}{{"", now}, {"not a key", now}, {key, now.Add(-time.Hour)}, {key, now.Add(2 * time.Hour)}} {
		_, err := core.ParseKey("s", "c", c.key, c.now, time.Hour)
		if err == nil {
			t.Fatalf("the key %q is accepted at %v", c.key, c.now)
		}
		out = append(out, err)
	}
	out = append(out, core.ErrKeyReused())
	l := ledger.New(porttest.NewKV(time.Now), ledgerdoc.Codec{}, sysclock.Clock{}, sysclock.Rand{}, ledger.Options{})
	l.Kill()
	_, _, err := l.Begin(t.Context(), port.LedgerKey{Service: "s", Customer: "c", Key: key}, port.ContentDigest{})
	if err == nil {
		t.Fatal("a ledger that has stopped accepts a call")
	}
	return append(out, verdict.FromError(err))
}

// TestIdempotencyTable guards against a page whose code, verdict or status for a
// rejected idempotency key differs from the ledger's, or that does not advise a
// retry where the ledger does.
func TestIdempotencyTable(t *testing.T) {
	type rejection struct{ code, verdict, status string }
	advice := map[rejection]string{}
	for _, row := range tableRows(t, "http.md", "| code | verdict | status | meaning | send again |") {
		r := rejection{strings.Trim(row[0], "`"), row[1], row[2]}
		if advice[r] != "" {
			t.Errorf("the page lists %v twice", r)
		}
		advice[r] = row[4]
	}
	seen := map[rejection]bool{}
	for _, e := range ledgerErrors(t) {
		r := rejection{string(e.Code), e.Verdict.String(), strconv.Itoa(httpapi.Status(e.Code))}
		seen[r] = true
		if e.RetryAfter > 0 && !strings.HasPrefix(advice[r], "yes, after `Retry-After`") {
			t.Errorf("the ledger tells when to send again after %v, the page says %q", r, advice[r])
		}
		if advice[r] == "" {
			t.Errorf("the page does not list %v", r)
		}
	}
	for r := range advice {
		if !seen[r] {
			t.Errorf("the page lists %v, which the ledger does not give", r)
		}
	}
}
