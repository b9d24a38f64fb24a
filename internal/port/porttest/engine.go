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

// Answer is a fake of port.Answer with its pieces given beforehand.
type Answer struct {
	AnswerHead port.AnswerHead
	Pieces     [][]byte
	// End is returned after the pieces; nil means io.EOF.
	End error
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
	if a.End == nil {
		return nil, io.EOF
	}
	return nil, a.End
}

// Close implements port.Answer.
func (a *Answer) Close() error { return nil }

// Engine is a fake of port.Engine. An answer has one piece, the text of the
// version that produced it. Its lock guards all fields.
type Engine struct {
	mu     sync.Mutex
	status port.EngineStatus
	orders []int64
	texts  map[fleet.Version]string
	// Respond, if set, replaces the answer. It is set before the engine is used.
	Respond func(r port.EngineRequest) (port.Answer, error)
}

var _ port.Engine = (*Engine)(nil)

// NewEngine returns an engine without weights.
func NewEngine() *Engine {
	return &Engine{status: port.EngineStatus{EngineIdentity: fleet.EngineIdentity{BootID: "boot-1"}}, texts: map[fleet.Version]string{}}
}

// Restart gives the engine another boot identity and drops its weights.
func (e *Engine) Restart(boot string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.status = port.EngineStatus{EngineIdentity: fleet.EngineIdentity{BootID: boot}, ChecksIdentity: e.status.ChecksIdentity}
}

// Cold makes the engine lose its caches and keep its weights.
func (e *Engine) Cold() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.status.LoadCount++
}

// CheckIdentity makes the engine refuse requests that expect another identity.
func (e *Engine) CheckIdentity() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.status.ChecksIdentity = true
}

// Orders returns the fencing numbers of all orders.
func (e *Engine) Orders() []int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.orders)
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
	e.orders = append(e.orders, o.Fence)
	e.status.Fence = max(e.status.Fence, o.Fence)
	e.status.LoadCount++
	e.status.Loaded = append(e.status.Loaded, o.Version)
	e.texts[o.Version] = string(b)
	return nil
}

// Unload implements port.Engine.
func (e *Engine) Unload(_ context.Context, o port.UnloadOrder) error {
	if err := o.Check(); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders = append(e.orders, o.Fence)
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
		Pieces:     [][]byte{[]byte(e.texts[r.Version])},
	}, nil
}
