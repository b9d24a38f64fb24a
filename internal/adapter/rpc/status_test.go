package rpc

import (
	"context"
	"testing"

	"github.com/masticwing/masticwing/internal/port"
)

// statusAgent sends a fixed list of statuses.
type statusAgent struct {
	alternatingAgent
	statuses []port.AgentStatus
}

func (s *statusAgent) WatchStatus(ctx context.Context, _ string, send func(port.AgentStatus) error) error {
	for _, st := range s.statuses {
		if err := send(st); err != nil {
			return err
		}
	}
	<-ctx.Done()
	return ctx.Err()
}

// TestStatusStream guards against a heartbeat, which carries only the load, that
// clears the other fields of the status or replaces a change of them, and against
// a meter that does not count the stream.
func TestStatusStream(t *testing.T) {
	st := port.AgentStatus{VM: "a-w1", Group: "g", Version: "v1", Ready: true, Load: port.Load{Limit: 8}}
	busy, cordoned := st, st
	busy.Load.InFlight = 5
	cordoned.Cordoned = true
	want := []port.AgentStatus{st, busy, cordoned, st}
	addr := startServer(t, Handlers{Agent: &statusAgent{statuses: want}})
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
