package rpc

import (
	"context"
	"testing"

	"github.com/masticwing/masticwing/internal/port"
)

// statusAgent sends the states given.
type statusAgent struct {
	handler
	states []port.AgentStatus
}

func (s *statusAgent) WatchStatus(ctx context.Context, _ string, send func(port.AgentStatus) error) error {
	for _, st := range s.states {
		if err := send(st); err != nil {
			return err
		}
	}
	<-ctx.Done()
	return ctx.Err()
}

// TestStatusHeartbeats guards against a heartbeat, which carries only the load,
// that takes the rest of a status away or hides a change of it, and against a
// meter that does not count the stream.
func TestStatusHeartbeats(t *testing.T) {
	st := port.AgentStatus{VM: "a-w1", Group: "g", Version: "v1", Ready: true, Load: port.Load{Limit: 8}}
	busy, cordoned := st, st
	busy.Load.InFlight = 5
	cordoned.Cordoned = true
	want := []port.AgentStatus{st, busy, cordoned, st}
	addr := startServer(t, Handlers{Agent: &statusAgent{states: want}})
	c := NewClient()
	defer c.Close()
	s, err := c.WatchStatus(context.Background(), addr, "e", "a")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = s.Close() }()
	for i, w := range want {
		got, err := s.Next()
		if err != nil || got != w {
			t.Fatalf("state %d: %+v, %v; want %+v", i, got, err, w)
		}
	}
	if n := c.Meter.status.In.Load(); n < 40 {
		t.Errorf("the meter counted %d bytes of status", n)
	}
}
