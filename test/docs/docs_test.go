// Package docs tests that the pages in docs/, the examples and the templates of
// deploy/ agree with the binaries.
package docs

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/masticwing/masticwing/test/harness"
)

func TestMain(m *testing.M) { os.Exit(harness.Main(m)) }

// ctlCommands returns the masticwingctl command lines in the sh code blocks of a
// page.
func ctlCommands(t *testing.T, page string) []string {
	t.Helper()
	b, err := os.ReadFile(filepath.Join(harness.RepoRoot(), "docs", page))
	if err != nil {
		t.Fatal(err)
	}
	var out []string
	inBlock := false
	for line := range strings.Lines(string(b)) {
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "```") {
			inBlock = line == "```sh"
			continue
		}
		if inBlock && strings.HasPrefix(line, "masticwingctl ") {
			out = append(out, line)
		}
	}
	return out
}

// TestOperationsPage guards against commands in OPERATIONS.md that do not work as
// written.
func TestOperationsPage(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	h := harness.ForTest(t)
	d, err := harness.Deploy(ctx, h, harness.SmallSpec())
	if err != nil {
		t.Fatal(err)
	}
	dirs := writeDeclarations(ctx, t, d)
	t.Setenv("MASTICWING_PLATFORM", d.PlatformAddr)
	t.Setenv("MASTICWING_PEER", d.Entries[0].RPC)
	lines := ctlCommands(t, "OPERATIONS.md")
	if len(lines) < 10 {
		t.Fatalf("the page shows %d commands, expected at least 10", len(lines))
	}
	for _, line := range lines {
		args := strings.Fields(line)[1:]
		for i, a := range args {
			if dir := dirs[a]; dir != "" {
				args[i] = dir
			}
		}
		out, code, err := h.Ctl(ctx, args...)
		if err != nil || code != 0 {
			t.Fatalf("%s: exit code %d, %v\n%s", line, code, err, out)
		}
	}
}

// writeDeclarations writes the declaration directories that the page uses and
// returns their paths: config/ declares the current version, next/ the next one.
func writeDeclarations(ctx context.Context, t *testing.T, d *harness.Deployment) map[string]string {
	t.Helper()
	versions := map[string]string{}
	for i, name := range []string{"v1", "v2"} {
		v, err := d.Publish(ctx, i+1)
		if err != nil {
			t.Fatal(err)
		}
		versions[name] = v
	}
	dirs := map[string]string{}
	for name, version := range map[string]string{"config/": "v1", "next/": "v2"} {
		dirs[name] = t.TempDir()
		file := filepath.Join(dirs[name], "main.ini")
		if err := os.WriteFile(file, []byte(d.Spec.RenderDeclaration(versions, version)), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return dirs
}

// TestExamples guards against example files that the binaries reject.
func TestExamples(t *testing.T) {
	h := harness.ForTest(t)
	example := func(name string) string { return filepath.Join(harness.RepoRoot(), "examples", name) }
	for _, c := range [][]string{
		{"masticwing-entry", "check-config", "--config", example("masticwing-entry.ini")},
		{"masticwing-agent", "check-config", "--config", example("masticwing-agent.ini")},
		{"masticwingctl", "validate", example("declaration.ini")},
	} {
		p, err := h.Start(strings.Join(c[:2], " "), c[0], c[1:]...)
		if err != nil {
			t.Fatal(err)
		}
		<-p.Done()
		if p.ExitCode() != 0 {
			t.Errorf("%s: exit code %d\n%s", strings.Join(c, " "), p.ExitCode(), p.Output())
		}
	}
}
