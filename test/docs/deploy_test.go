package docs

import (
	"os"
	"path/filepath"
	"regexp"
	"testing"

	"github.com/masticwing/masticwing/test/harness"
)

// templateValues are examples of the values that the platform substitutes in the
// templates of deploy/.
var templateValues = map[string]string{
	"NodeName": "vm-1", "Ip": "10.1.0.40", "Zone": "a", "InternalPorts.0": "7700", "Listen.Front": "10.1.0.40:8005",
	"Listen.Ready": "10.1.0.40:8002", "Platform.Address": "10.200.1.7:8007", "Bounds.GraceS": "8", "Bounds.RevokeMs": "5000", "Bounds.ConfigApplyMs": "2000", "Bounds.DrainMs": "2000",
	"Bounds.version_ms": "8000", "Limits.MemoryMb": "284",
	"Limits.MaxFds": "4100", "Limits.LinkMbps": "7.6", "Bounds.RetryRatio": "0.2",
	"Bounds.RetrySlack": "104", "Bounds.RetryWindowS": "10", "app": "10.1.0.43:8001", "Service": "pool",
	"CloudApi.Address": "10.200.0.137:8223", "CloudApi.Duties": "usage_report,autoscale", "CloudApi.DutyPerS": "50.0",
	"Bounds.ReportWindowS": "5", "Bounds.UsageLateS": "10", "Bounds.LeaseMs": "3000", "Bounds.ThawMs": "300",
}

var (
	zonesSection = regexp.MustCompile(`\{\{#Zones\}\}.*\{\{/Zones\}\}`)
	// dutiesSection is rendered only where the deployment has singleton duties.
	dutiesSection = regexp.MustCompile(`(?s)\{\{#CloudApi\.Address\}\}(.*)\{\{/CloudApi\.Address\}\}`)
	placeholder   = regexp.MustCompile(`\{\{([^}]+)\}\}`)
)

// TestDeployTemplates guards against a template that results in invalid settings
// or uses a field that is missing in templateValues.
func TestDeployTemplates(t *testing.T) {
	h := harness.ForTest(t)
	for _, c := range []struct {
		template, binary string
		duties           string
	}{
		{"gateway.ini", "masticwing-gateway", ""},
		{"gateway.ini", "masticwing-gateway", "$1"},
		{"loader.ini", "masticwing-loader", ""},
	} {
		b, err := os.ReadFile(filepath.Join(harness.RepoRoot(), "deploy", c.template))
		if err != nil {
			t.Fatal(err)
		}
		text := zonesSection.ReplaceAllString(string(b), "a=ra,b=rb")
		text = dutiesSection.ReplaceAllString(text, c.duties)
		text = placeholder.ReplaceAllStringFunc(text, func(p string) string {
			v, ok := templateValues[p[2:len(p)-2]]
			if !ok {
				t.Errorf("%s: unknown field %s", c.template, p)
			}
			return v
		})
		file := filepath.Join(t.TempDir(), c.template)
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		p, err := h.Start(c.binary+" check-config", c.binary, "check-config", "--config", file)
		if err != nil {
			t.Fatal(err)
		}
		<-p.Done()
		if p.ExitCode() != 0 {
			t.Errorf("%s: exit code %d\n%s", c.template, p.ExitCode(), p.Output())
		}
	}
}
