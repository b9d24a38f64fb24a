package leased_test

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/masticwing/masticwing/internal/app/leased"
	"github.com/masticwing/masticwing/internal/port"
	"github.com/masticwing/masticwing/internal/port/porttest"
)

// slowStore is a store that may do a commit late and lose its answer.
type slowStore struct {
	*porttest.Store
	// outcome returns what happens to the next commit.
	outcome func() string
	late    []func()
}

func (s *slowStore) Commit(ctx context.Context, expect []port.Precondition, writes []port.StoreWrite) error {
	do := func() error { return s.Store.Commit(ctx, expect, writes) }
	switch s.outcome() {
	case "late":
		s.late = append(s.late, func() { _ = do() })
		return port.ErrUnknownOutcome
	case "answer lost":
		_ = do()
		return port.ErrUnknownOutcome
	case "refused":
		return port.ErrUnavailable
	default:
		return do()
	}
}

// TestLateWritesKeepNewestItem guards against a write of an earlier process, or an earlier write of the same one,
// that the store executes late and that replaces a newer item: in any order of such writes, the item is the last one
// of which Put has returned success, or a later one.
func TestLateWritesKeepNewestItem(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &slowStore{Store: porttest.NewStore()}
		s.outcome = func() string {
			return rapid.SampledFrom([]string{"done", "late", "answer lost", "refused"}).Draw(t, "outcome")
		}
		acknowledged := 0
		check := func() {
			v, _ := s.Get("k")
			var n int
			if _, err := fmt.Sscan(v, &n); acknowledged > 0 && (err != nil || n < acknowledged) {
				t.Fatalf("item is %q after item %d was written", v, acknowledged)
			}
		}
		for n := range rapid.IntRange(1, 12).Draw(t, "writes") {
			value := fmt.Sprint(n + 1)
			isCurrent := func(v []byte) bool { return string(v) == value }
			if err := leased.Put(context.Background(), s, port.StoreWrite{Key: "k", Value: []byte(value)}, isCurrent); err == nil {
				acknowledged = n + 1
			}
			check()
			for len(s.late) > 0 && rapid.Bool().Draw(t, "late write arrives") {
				i := rapid.IntRange(0, len(s.late)-1).Draw(t, "which")
				s.late[i]()
				s.late = append(s.late[:i], s.late[i+1:]...)
				check()
			}
		}
		for _, write := range s.late {
			write()
			check()
		}
	})
}

// TestPutEndsUnderChanges guards against a process that writes for ever while another one changes the item.
func TestPutEndsUnderChanges(t *testing.T) {
	s := &slowStore{Store: porttest.NewStore()}
	commits := 0
	s.outcome = func() string {
		commits++
		s.Put("k", "other")
		return "done"
	}
	err := leased.Put(context.Background(), s, port.StoreWrite{Key: "k", Value: []byte("own")}, nil)
	if !errors.Is(err, port.ErrConflict) || commits > 10 {
		t.Errorf("%v after %d commits", err, commits)
	}
}

// TestPutReportsErrors guards against an error of the store that is taken for a conflict and repeated, or lost.
func TestPutReportsErrors(t *testing.T) {
	for outcome, want := range map[string]error{"late": port.ErrUnknownOutcome, "refused": port.ErrUnavailable, "done": nil} {
		commits := 0
		s := &slowStore{Store: porttest.NewStore(), outcome: func() string { commits++; return outcome }}
		err := leased.Put(context.Background(), s, port.StoreWrite{Key: "k", Value: []byte("v")}, nil)
		if !errors.Is(err, want) || commits != 1 {
			t.Errorf("%s: %v after %d commits", outcome, err, commits)
		}
	}
}
