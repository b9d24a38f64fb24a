package porttest

import (
	"context"
	"sync"

	"github.com/masticwing/masticwing/internal/port"
)

// LateStore is a Store that can execute a commit late and lose its answer.
type LateStore struct {
	*Store
	mu sync.Mutex // guards the fields below
	// keep is set if the next commit is to be executed late, and kept executes it.
	keep bool
	kept func()
}

// NewLateStore returns an empty store that executes commits at once.
func NewLateStore() *LateStore { return &LateStore{Store: NewStore()} }

// KeepNext makes the next commit end with port.ErrUnknownOutcome. It is executed by ExecuteKept.
func (s *LateStore) KeepNext() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keep = true
}

// ExecuteKept executes the commit that was kept, if there is one.
func (s *LateStore) ExecuteKept() {
	s.mu.Lock()
	execute := s.kept
	s.kept = nil
	s.mu.Unlock()
	if execute != nil {
		execute()
	}
}

// Commit implements port.Store.
func (s *LateStore) Commit(ctx context.Context, expect []port.Precondition, writes []port.StoreWrite) error {
	s.mu.Lock()
	keep := s.keep
	if s.keep = false; keep {
		s.kept = func() { _ = s.Store.Commit(context.WithoutCancel(ctx), expect, writes) }
	}
	s.mu.Unlock()
	if keep {
		return port.ErrUnknownOutcome
	}
	return s.Store.Commit(ctx, expect, writes)
}
