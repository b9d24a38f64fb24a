package rpc

import (
	"reflect"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/masticwing/masticwing/internal/adapter/rpc/pb"
	"github.com/masticwing/masticwing/internal/port"
)

// TestExchangeRoundTrip guards against an exchange message that loses a field in
// conversion, above all the status fields that are omitted on the wire and the
// fields that compare two member tables.
func TestExchangeRoundTrip(t *testing.T) {
	m := port.ExchangeMessage{
		From: "a", Digest: 1, Compare: true, Group: 2, Digests: []uint32{3, 0, 1 << 31}, Leaves: []uint32{0, 31}, Want: []string{"w"},
		Records: []port.MemberRecord{
			{ID: "w", Domain: "a", Address: "127.0.0.1:1", Status: &port.AgentStatus{VM: "w", Domain: "a", Ready: true}},
			{ID: "w", Domain: "a", Address: "127.0.0.1:1", Status: &port.AgentStatus{VM: "x", Domain: "b"}},
			{ID: "e", Domain: "a", Address: "127.0.0.1:2"},
			{ID: "w", Incarnation: 4, Version: 5, State: port.MemberDead},
		},
	}
	b, err := proto.Marshal(exchangeToPB(m))
	if err != nil {
		t.Fatal(err)
	}
	var in pb.ExchangeMessage
	if err := proto.Unmarshal(b, &in); err != nil {
		t.Fatal(err)
	}
	if got := exchangeFromPB(&in); !reflect.DeepEqual(got, m) {
		t.Errorf("got %+v, want %+v", got, m)
	}
}
