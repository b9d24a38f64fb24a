package porttest

import (
	"context"
	"io"
	"slices"
	"sync"

	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/verdict"
	"github.com/masticwing/masticwing/internal/port"
)

// Answer is a fake of port.Answer that returns fixed pieces.
type Answer struct {
	AnswerHead port.AnswerHead
	Pieces     [][]byte
	// EndError is the error after the last piece; nil stands for io.EOF.
	EndError error
}

var _ port.Answer = (*Answer)(nil)

// Head implements port.Answer.
func (a *Answer) Head() port.AnswerHead { return a.AnswerHead }

// Next implements port.Answer.
func (a *Answer) Next() ([]byte, error) {
	if len(a.Pieces) > 0 {
		b := a.Pieces[0]
		a.Pieces = a.Pieces[1:]
		return b, nil
	}
	if a.EndError == nil {
		return nil, io.EOF
	}
	return nil, a.EndError
}

// Close implements port.Answer.
func (a *Answer) Close() error { return nil }

// Engine is a fake of port.Engine. An answer consists of one piece, the bytes of the
// weights of the requested version. mu guards all unexported fields.
type Engine struct {
	mu          sync.Mutex
	status      port.EngineStatus
	orderFences []int64
	weightsText map[fleet.Version]string
	// Respond, if set, handles requests instead. It must be set before the engine is
	// used.
	Respond func(r port.EngineRequest) (port.Answer, error)
}

var _ port.Engine = (*Engine)(nil)

// NewEngine returns an engine without weights.
func NewEngine() *Engine {
	return &Engine{status: port.EngineStatus{EngineIdentity: fleet.EngineIdentity{BootID: "boot-1"}}, weightsText: map[fleet.Version]string{}}
}

// Restart gives the engine a new boot id and removes its weights.
func (e *Engine) Restart(boot string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.status = port.EngineStatus{EngineIdentity: fleet.EngineIdentity{BootID: boot}, ChecksIdentity: e.status.ChecksIdentity}
}

// LoseCaches changes the engine's identity as after a loss of its caches. The weights
// stay loaded.
func (e *Engine) LoseCaches() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.status.LoadCount++
}

// RefuseOtherIdentity makes the engine refuse requests that expect another identity.
func (e *Engine) RefuseOtherIdentity() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.status.ChecksIdentity = true
}

// OrderFences returns the fencing numbers of all orders so far.
func (e *Engine) OrderFences() []int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.orderFences)
}

// Status implements port.Engine.
func (e *Engine) Status(context.Context) (port.EngineStatus, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	st := e.status
	st.Loaded = slices.Clone(st.Loaded)
	return st, nil
}

// Load implements port.Engine.
func (e *Engine) Load(_ context.Context, o port.LoadOrder) error {
	b, err := io.ReadAll(o.Weights)
	if err != nil {
		return err
	}
	if err := o.Check(); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orderFences = append(e.orderFences, o.Fence)
	e.status.Fence = max(e.status.Fence, o.Fence)
	e.status.LoadCount++
	e.status.Loaded = append(e.status.Loaded, o.Version)
	e.weightsText[o.Version] = string(b)
	return nil
}

// Unload implements port.Engine.
func (e *Engine) Unload(_ context.Context, o port.UnloadOrder) error {
	if err := o.Check(); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orderFences = append(e.orderFences, o.Fence)
	e.status.Fence = max(e.status.Fence, o.Fence)
	e.status.Loaded = slices.DeleteFunc(e.status.Loaded, func(x fleet.Version) bool { return x == o.Version })
	return nil
}

// Generate implements port.Engine.
func (e *Engine) Generate(_ context.Context, r port.EngineRequest) (port.Answer, error) {
	if e.Respond != nil {
		return e.Respond(r)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.status.ChecksIdentity && r.Expect != (fleet.EngineIdentity{}) && r.Expect != e.status.EngineIdentity {
		changed := &port.EngineChangedError{Now: e.status.EngineIdentity}
		return nil, verdict.Wrap(changed, verdict.NotRun, verdict.CodeTargetWarming, "engine refused")
	}
	if !slices.Contains(e.status.Loaded, r.Version) {
		return nil, verdict.New(verdict.NotRun, verdict.CodeVersionNotServing, "version is not loaded")
	}
	return &Answer{
		AnswerHead: port.AnswerHead{ID: r.ID, Version: r.Version, Status: 200},
		Pieces:     [][]byte{[]byte(e.weightsText[r.Version])},
	}, nil
}
