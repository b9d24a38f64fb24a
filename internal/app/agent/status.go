package agent

import (
	"context"
	"time"

	"github.com/masticwing/masticwing/internal/port"
)

const (
	// heartbeatInterval is the time between two messages on a status stream while
	// the state does not change. They carry the load.
	heartbeatInterval = time.Second
	// progressInterval is the minimum time between two updates of the member
	// record that change only the progress.
	progressInterval = 2 * time.Second
)

// Load implements port.AgentHandler.
func (a *Agent) Load() port.Load {
	l := a.admissions.Load(a.targetKey, a.deps.Clock.Now())
	return port.Load{InFlight: l.InFlight, Limit: l.Limit, BytesHeld: l.Bytes}
}

// Status returns the state of the agent and its target.
func (a *Agent) Status() port.AgentStatus {
	v := a.snapshot()
	st := port.AgentStatus{
		VM:       a.id.VM,
		Domain:   a.id.Domain,
		BootID:   a.id.BootID,
		Group:    v.assignment.Group,
		Service:  v.assignment.Service,
		Version:  v.serving.Version,
		Load:     a.Load(),
		Cordoned: v.assignment.Cordoned,
		Leaving:  v.leaving,
		Ready:    v.ready,
		Progress: v.progress,
	}
	if v.declaration != nil {
		st.Revision = v.declaration.Revision
	}
	return st
}

// announcedState returns the part of a status whose changes are sent without
// delay. A new revision that changes nothing for this target waits for the next
// heartbeat.
func announcedState(st port.AgentStatus) port.AgentStatus {
	st.Load, st.Revision = port.Load{}, 0
	st.Progress = port.Progress{Target: st.Progress.Target, State: st.Progress.State, Reason: st.Progress.Reason}
	return st
}

// notifyWatchers wakes all watchers of the status. Each checks itself whether
// the state has changed.
func (a *Agent) notifyWatchers() {
	a.statusWatchers.Range(func(_ uint64, c chan struct{}) bool {
		signal(c)
		return true
	})
}

func (a *Agent) subscribeStatus() (<-chan struct{}, func()) {
	id := a.lastWatcherID.Add(1)
	c := make(chan struct{}, 1)
	a.statusWatchers.Put(id, c)
	return c, func() { a.statusWatchers.Delete(id) }
}

// followStatus calls send with the current status, then on each change of state
// and after each interval in which nothing was sent.
func (a *Agent) followStatus(ctx context.Context, interval time.Duration, send func(port.AgentStatus) error) error {
	changed, stop := a.subscribeStatus()
	defer stop()
	last := a.Status()
	if err := send(last); err != nil {
		return err
	}
	heartbeat := a.deps.Clock.After(interval)
	for {
		heartbeatDue := false
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		case <-heartbeat:
			heartbeatDue = true
		}
		st := a.Status()
		if !heartbeatDue && announcedState(st) == announcedState(last) {
			continue
		}
		if err := send(st); err != nil {
			return err
		}
		last, heartbeat = st, a.deps.Clock.After(interval)
	}
}

// WatchStatus implements port.AgentHandler.
func (a *Agent) WatchStatus(ctx context.Context, _ string, send func(port.AgentStatus) error) error {
	return a.followStatus(ctx, heartbeatInterval, send)
}

// publishStatus keeps the member record of this agent up to date. A change of
// the load alone does not change the record, since entries receive the load on
// status streams. Neither does a new revision alone, since each declaration
// would change every record of the fleet.
func (a *Agent) publishStatus(ctx context.Context) {
	var last port.AgentStatus
	_ = a.followStatus(ctx, progressInterval, func(st port.AgentStatus) error {
		st.Load = port.Load{Limit: st.Load.Limit}
		compared := st
		compared.Revision = 0
		if compared == last {
			return nil
		}
		last = compared
		a.deps.Directory.UpdateSelf(func(r *port.MemberRecord) {
			r.Status = &st
			if st.Leaving {
				r.State = port.MemberLeaving
			}
		})
		return nil
	})
}
