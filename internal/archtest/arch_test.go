// Package archtest checks that imports between the layers follow the ports and
// adapters architecture.
package archtest

import (
	"os/exec"
	"strings"
	"testing"
)

const module = "github.com/masticwing/masticwing/"

// forbiddenInCore lists the standard library packages that internal/core must
// not import, since it makes decisions only: network, encodings, I/O, logs,
// processes.
var forbiddenInCore = []string{"net", "encoding", "log", "os", "io", "bufio", "syscall", "database", "html", "text/template"}

// allowedInCore lists the third-party packages that internal/core may import.
var allowedInCore = map[string]bool{"github.com/pkg/errors": true, "golang.org/x/sys/cpu": true}

type pkg struct {
	path    string
	imports []string
}

func listPackages(t *testing.T) []pkg {
	t.Helper()
	out, err := exec.Command("go", "list", "-f", `{{.ImportPath}} {{join .Imports " "}}`, module+"...").Output()
	if err != nil {
		t.Fatalf("go list: %v", err)
	}
	var ps []pkg
	for line := range strings.Lines(string(out)) {
		f := strings.Fields(line)
		ps = append(ps, pkg{f[0], f[1:]})
	}
	return ps
}

func isUnder(path, dir string) bool {
	return path == module+dir || strings.HasPrefix(path, module+dir+"/")
}

// TestImportDirection guards against core packages that depend on an adapter and
// against product code that depends on a stand-in.
func TestImportDirection(t *testing.T) {
	for _, p := range listPackages(t) {
		for _, imp := range p.imports {
			if reason := violation(p.path, imp); reason != "" {
				t.Errorf("%s imports %s: %s", p.path, imp, reason)
			}
		}
	}
}

// platformCommands are the only commands that may import the adapters for the
// users' platform.
var platformCommands = map[string]bool{"cmd/masticwing-gateway": true, "cmd/masticwing-loader": true}

func violation(p, imp string) string {
	own := strings.HasPrefix(imp, module)
	if isUnder(imp, "platform/platformtest") {
		if isUnder(p, "test") || isUnder(p, "platform/platformtest") {
			return ""
		}
		return "only tests import the stand-in of the users' platform"
	}
	if isUnder(imp, "platform") && !isUnder(p, "platform") && !platformCommands[strings.TrimPrefix(p, module)] {
		return "only the commands for the users' platform import its translation"
	}
	switch {
	case isUnder(p, "platform"):
		if own && !isUnder(imp, "platform") && !isUnder(imp, "internal/core") && !isUnder(imp, "internal/port") && !isUnder(imp, "internal/adapter") {
			return "the translation imports core, ports and adapters only"
		}
	case isUnder(p, "internal/core"):
		return coreViolation(imp, own)
	case isUnder(p, "internal/port"):
		if own && !isUnder(imp, "internal/core") && !isUnder(imp, "internal/port") {
			return "ports import core only"
		}
	case isUnder(p, "internal/adapter"):
		if own && !isUnder(imp, "internal/core") && !isUnder(imp, "internal/port") && !isUnder(imp, "internal/adapter") {
			return "adapters import core, ports and adapters only"
		}
	case isUnder(p, "internal/standin"):
		if own && !isUnder(imp, "internal/standin") && !isUnder(imp, "internal/core/manifest") && !isUnder(imp, "internal/core/fleet") {
			return "stand-ins share only names and manifests with the product"
		}
	case isUnder(p, "internal/app"):
		return appViolation(p, imp)
	case isUnder(p, "internal/wiring"):
		if isUnder(imp, "internal/standin") || isUnder(imp, "test") {
			return "product code does not import stand-ins or tests"
		}
	case isUnder(p, "cmd"):
		return commandViolation(p, imp)
	}
	return ""
}

func appViolation(p, imp string) string {
	switch {
	case isUnder(imp, "internal/standin") || isUnder(imp, "test"):
		return "product code does not import stand-ins or tests"
	case isUnder(imp, "internal/adapter") || isUnder(imp, "internal/wiring"):
		return "the application knows ports; the wiring and the commands choose adapters"
	}
	return ""
}

func coreViolation(imp string, own bool) string {
	if own {
		if isUnder(imp, "internal/core") {
			return ""
		}
		return "core imports core only"
	}
	for _, f := range forbiddenInCore {
		if imp == f || strings.HasPrefix(imp, f+"/") {
			return "core holds decisions only"
		}
	}
	if strings.Contains(imp, ".") && !allowedInCore[imp] {
		return "core does not import this library"
	}
	return ""
}

func commandViolation(p, imp string) string {
	standin := strings.HasPrefix(p, module+"cmd/standin-")
	if !standin && isUnder(imp, "internal/standin") {
		return "product binaries do not import stand-ins"
	}
	return ""
}

// TestForbiddenImportsAreReported guards against import rules that accept every
// import.
func TestForbiddenImportsAreReported(t *testing.T) {
	forbidden := [][2]string{
		{"internal/core/routing", "net/http"},
		{"internal/core/routing", "encoding/json"},
		{"internal/core/routing", module + "internal/port"},
		{"internal/core/routing", "storj.io/drpc"},
		{"internal/port", module + "internal/adapter/rpc"},
		{"internal/adapter/rpc", module + "internal/app/entry"},
		{"internal/app/agent", module + "internal/standin/engine"},
		{"cmd/masticwing-agent", module + "internal/standin/engine"},
		{"internal/standin/engine", module + "internal/app/agent"},
		{"internal/app/gateway", module + "platform"},
		{"internal/app/gateway", module + "internal/adapter/rpc"},
		{"internal/app/agent", module + "internal/adapter/rpc"},
		{"internal/app/daemon", module + "internal/wiring"},
		{"internal/wiring", module + "internal/standin/engine"},
		{"internal/app/ledger", module + "internal/adapter/ledgerdoc"},
		{"internal/core/placement", module + "platform"},
		{"cmd/masticwing-entry", module + "platform"},
		{"cmd/masticwing-gateway", module + "platform/platformtest"},
		{"platform", module + "platform/platformtest"},
		{"platform", module + "internal/app/gateway"},
	}
	for _, w := range forbidden {
		if violation(module+w[0], w[1]) == "" {
			t.Errorf("%s may import %s", w[0], w[1])
		}
	}
}
