package agent

import (
	"context"
	"time"

	"github.com/masticwing/masticwing/internal/port"
)

const (
	// heartbeatEvery is the time between two messages of a status stream
	// without a change of state; they carry the load.
	heartbeatEvery = time.Second
	// progressEvery is the least time between two changes of the member record
	// that only show progress.
	progressEvery = 2 * time.Second
)

// Load implements port.AgentHandler.
func (a *Agent) Load() port.Load {
	l := a.adm.Load(a.target, a.d.Clock.Now())
	return port.Load{InFlight: l.InFlight, Limit: l.Limit, BytesHeld: l.Bytes}
}

// Status returns the state of the agent and its target.
func (a *Agent) Status() port.AgentStatus {
	v := a.view()
	st := port.AgentStatus{
		VM:       a.id.VM,
		Domain:   a.id.Domain,
		BootID:   a.id.BootID,
		Group:    v.assign.Group,
		Service:  v.assign.Service,
		Version:  v.serving.Version,
		Load:     a.Load(),
		Cordoned: v.assign.Cordoned,
		Leaving:  v.leaving,
		Ready:    v.ready,
		Progress: v.progress,
	}
	if v.declaration != nil {
		st.Revision = v.declaration.Revision
	}
	return st
}

// stateOf returns the part of a status whose change is announced at once. A
// revision that changes nothing for this target waits for the next heartbeat.
func stateOf(st port.AgentStatus) port.AgentStatus {
	st.Load, st.Revision = port.Load{}, 0
	st.Progress = port.Progress{Target: st.Progress.Target, State: st.Progress.State, Reason: st.Progress.Reason}
	return st
}

// notify wakes every watcher of the status. They find out by themselves
// whether the state changed.
func (a *Agent) notify() {
	a.watchers.Range(func(_ uint64, c chan struct{}) bool {
		signal(c)
		return true
	})
}

func (a *Agent) watch() (<-chan struct{}, func()) {
	id := a.watches.Add(1)
	c := make(chan struct{}, 1)
	a.watchers.Put(id, c)
	return c, func() { a.watchers.Delete(id) }
}

// follow calls send with the status: at first, on each change of state, and
// after every interval in which nothing was sent.
func (a *Agent) follow(ctx context.Context, every time.Duration, send func(port.AgentStatus) error) error {
	changed, stop := a.watch()
	defer stop()
	last := a.Status()
	if err := send(last); err != nil {
		return err
	}
	beat := a.d.Clock.After(every)
	for {
		due := false
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		case <-beat:
			due = true
		}
		st := a.Status()
		if !due && stateOf(st) == stateOf(last) {
			continue
		}
		if err := send(st); err != nil {
			return err
		}
		last, beat = st, a.d.Clock.After(every)
	}
}

// WatchStatus implements port.AgentHandler.
func (a *Agent) WatchStatus(ctx context.Context, _ string, send func(port.AgentStatus) error) error {
	return a.follow(ctx, heartbeatEvery, send)
}

// publish keeps the member record of this agent up to date. Load alone does
// not change the record, since entries learn it from status streams. A
// revision alone does not either, since every record of the fleet would change
// with each declaration.
func (a *Agent) publish(ctx context.Context) {
	var last port.AgentStatus
	_ = a.follow(ctx, progressEvery, func(st port.AgentStatus) error {
		st.Load = port.Load{Limit: st.Load.Limit}
		without := st
		without.Revision = 0
		if without == last {
			return nil
		}
		last = without
		a.d.Directory.UpdateSelf(func(r *port.MemberRecord) {
			r.Status = &st
			if st.Leaving {
				r.State = port.MemberLeaving
			}
		})
		return nil
	})
}
