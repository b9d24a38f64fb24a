package gateway

import (
	"context"
	"slices"
	"testing"

	"github.com/masticwing/masticwing/internal/app/duty"
	"github.com/masticwing/masticwing/internal/app/follow"
	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/port"
)

// TestDutiesStartWhereTheSettingsNameThem guards against an election in deployments without duties, or with unknown
// ones only.
func TestDutiesStartWhereTheSettingsNameThem(t *testing.T) {
	for _, x := range []struct {
		s    duty.Settings
		want bool
	}{
		{duty.Settings{Names: []string{duty.UsageReports}}, false},
		{duty.Settings{API: "10.0.0.1:1", Names: []string{"other"}}, false},
		{duty.Settings{API: "10.0.0.1:1", Names: []string{"other", duty.ScalingOrders}, CallsPerSecond: 50}, true},
	} {
		gw := newTestGateway(t, route)
		gw.settings.Duties = x.s
		started := false
		gw.startDuties(func(string, func(context.Context)) { started = true })
		if started != x.want {
			t.Errorf("settings %v: started %v", x.s, started)
		}
	}
}

// TestDutyCandidatesFollowTheMembers guards against candidates that are not registered.
func TestDutyCandidatesFollowTheMembers(t *testing.T) {
	gw := newTestGateway(t, route)
	var e follow.Event
	for _, id := range []string{"g3", "g1", "g2"} {
		key := "members/" + id
		gw.decodedItems[key] = port.MemberItem{Member: port.StoredMember{ID: id, Kind: fleet.KindEntry.String(), Domain: "a"}}
		e.Changes = append(e.Changes, port.StoreChange{StoreItem: port.StoreItem{Key: key, Revision: 1}})
	}
	gw.view.applyMembers(e)
	if got := *gw.view.dutyCandidates.Load(); !slices.Equal(got, []string{"g1", "g2"}) {
		t.Errorf("candidates are %v", got)
	}
}
