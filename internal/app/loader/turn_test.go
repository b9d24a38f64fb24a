package loader

import (
	"fmt"
	"testing"
	"time"

	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/port"
)

// TestStoreTurnsOfLoaders guards against two loaders of a domain that read the configuration from the store
// at the same time, and against turns that loaders of other domains or gateways take.
func TestStoreTurnsOfLoaders(t *testing.T) {
	members := map[string]port.StoredMember{}
	for _, d := range []string{"a", "b"} {
		for i := range 3 {
			id := fmt.Sprintf("%s%d", d, i)
			members[id] = port.StoredMember{ID: id, Kind: fleet.KindAgent.String(), Domain: fleet.Domain(d)}
		}
		members["0"+d] = port.StoredMember{ID: "0" + d, Kind: fleet.KindEntry.String(), Domain: fleet.Domain(d)}
	}
	for i := range 3 {
		v := &view{members: members}
		v.settings.ID, v.settings.Domain = fmt.Sprintf("b%d", i), "b"
		if got, want := v.storeTurn(), time.Duration(i)*storeTurnInterval; got != want {
			t.Errorf("loader %d of the domain: %v, want %v", i, got, want)
		}
	}
}
