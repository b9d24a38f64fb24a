package kvhttp

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/masticwing/masticwing/internal/core/fleet"
)

// TestOddVMDoesNotHideOthers guards against a list of VMs that can't be read because of one
// odd line.
func TestOddVMDoesNotHideOthers(t *testing.T) {
	for _, odd := range []string{`7`, `null`, `[]`, `{}`, `{"name":7}`, `{"name":"","state":"live"}`, `{"name":"x","domain":[],"state":"live"}`, `1e400`} {
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte(`[{"name":"a","domain":"d","state":"live"},` + odd + `,{"name":"b","domain":"d","state":"leaving"}]`))
		}))
		vms, err := New(fleet.Address(strings.TrimPrefix(srv.URL, "http://"))).VMs(context.Background())
		srv.Close()
		if err != nil || len(vms) != 2 || vms[0].VM != "a" || vms[1].VM != "b" {
			t.Errorf("with the line %s: %v, %v", odd, vms, err)
		}
	}
}
