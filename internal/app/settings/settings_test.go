package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/masticwing/masticwing/internal/adapter/inisettings"
	"github.com/masticwing/masticwing/internal/core/fleet"
)

type sampleConfig struct {
	id    string
	addr  fleet.Address
	drain time.Duration
	size  int64
	low   int
	high  int
}

func newSampleSet(c *sampleConfig) *Set {
	s := New("sample")
	s.Name("node", "id", func(v string) { c.id = v }, Required, "The name.")
	s.Address("node", "listen", &c.addr, "127.0.0.1:1", "The address.")
	s.Duration("limits", "drain", &c.drain, time.Second, 0, time.Minute, "Drain time.")
	s.Bytes("limits", "size", &c.size, 1<<20, 1, 1<<30, "Memory.")
	s.Int("limits", "low", &c.low, 1, 0, 10, "Low watermark.")
	s.Int("limits", "high", &c.high, 2, 0, 10, "High watermark.")
	s.AddCheck(func() []Fault {
		if c.low <= c.high {
			return nil
		}
		return []Fault{{Section: "limits", Key: "low", Value: "", Allowed: "at most [limits] high"}}
	})
	return s
}

func load(t *testing.T, text string) (sampleConfig, []Fault) {
	t.Helper()
	p := filepath.Join(t.TempDir(), "s.ini")
	if err := os.WriteFile(p, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	var c sampleConfig
	return c, newSampleSet(&c).Load(p, inisettings.Read)
}

// TestLoadReportsAllFaults guards against reporting only the first fault, which
// would force an operator to restart a process once per fault.
func TestLoadReportsAllFaults(t *testing.T) {
	_, faults := load(t, "[node]\nlisten = nowhere\n[limits]\ndrain = 2h\nsize = 5XB\nlow = 11\nspeed = 1\n[extra]\na = 1\n")
	var all []string
	for _, f := range faults {
		all = append(all, f.Error())
	}
	text := strings.Join(all, "\n")
	for _, want := range []string{"[node] id", "[node] listen", "[limits] drain", "[limits] size", "[limits] low", "[limits] speed", "[extra]"} {
		if !strings.Contains(text, want) {
			t.Errorf("no fault for %s in:\n%s", want, text)
		}
	}
}

// TestInconsistentValues guards against accepting values that are valid each but
// contradict each other.
func TestInconsistentValues(t *testing.T) {
	if _, faults := load(t, "[node]\nid = a\n[limits]\nlow = 5\nhigh = 3\n"); len(faults) != 1 {
		t.Fatalf("faults = %v, want one", faults)
	}
}

// TestExampleLoads guards against a generated example that Load rejects.
func TestExampleLoads(t *testing.T) {
	var c sampleConfig
	text := strings.Replace(newSampleSet(&c).Example(), "id =", "id = a", 1)
	if _, faults := load(t, text); len(faults) != 0 {
		t.Fatalf("faults = %v", faults)
	}
	uncommented := strings.NewReplacer(";listen", "listen", ";drain", "drain", ";size", "size").Replace(text)
	if _, faults := load(t, uncommented); len(faults) != 0 {
		t.Fatalf("faults = %v", faults)
	}
}
