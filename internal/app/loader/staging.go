package loader

import (
	"context"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc/pool"

	"github.com/masticwing/masticwing/internal/core/stagecheck"
	"github.com/masticwing/masticwing/internal/port"
)

var errReleased = errors.New("version was released")

// stagedVersion is a version whose chunks are in the engine's staging area, as far as this loader
// knows.
type stagedVersion struct {
	resolvedVersion
	checks *stagecheck.Chunks
}

// maxStagingCalls bounds the calls to the staging area in progress. With several, a pass over all
// chunks ends in time also at an engine that is slow to respond.
const maxStagingCalls = 4

// forChunks calls f for chunks, several at a time, and returns the first error.
func forChunks(ctx context.Context, indexes []int, f func(ctx context.Context, i int) error) error {
	p := pool.New().WithMaxGoroutines(maxStagingCalls).WithContext(ctx).WithCancelOnError().WithFirstError()
	for _, i := range indexes {
		p.Go(func(ctx context.Context) error { return f(ctx, i) })
	}
	return p.Wait()
}

// stage writes all chunks of a version to the engine's staging area, unless they are there, and
// verifies them.
func (l *Loader) stage(ctx context.Context, v resolvedVersion) (*stagedVersion, error) {
	s := l.staged
	if s == nil || s.id != v.id {
		s = &stagedVersion{v, stagecheck.New(len(v.man.Chunks))}
		if l.order != nil {
			// The engine may yet accept the order, and take other chunks than those that
			// were checked.
			l.order.checks.RecordRewrite(l.deps.Clock.SinceBoot())
		}
		// After a call without a response, the staging area is not known.
		l.staged = nil
		write := func(ctx context.Context, i int) error { return l.writeChunk(ctx, s, i) }
		if err := forChunks(ctx, s.checks.Unchecked(0), write); err != nil {
			return nil, err
		}
	}
	l.staged = nil
	if err := l.verifyStaged(ctx, s); err != nil {
		return nil, err
	}
	l.staged = s
	return s, nil
}

func (l *Loader) writeChunk(ctx context.Context, s *stagedVersion, i int) error {
	b, ok := l.chunks.Chunk(s.id, i)
	if !ok {
		return errReleased
	}
	err := l.deps.Engine.WriteChunk(ctx, s.Model, i, b)
	s.checks.RecordWrite(i, l.deps.Clock.SinceBoot())
	return err
}

// maxCheckPasses bounds the passes over the staged chunks before an order. The second pass is due
// if the machine stood still during the first one. At an engine that is too slow for a pass within
// stagecheck.MaxAgeAtOrder, further ones would end no sooner.
const maxCheckPasses = 2

// verifyStaged reads the staged chunks back right before the order, since chunks may turn bad in
// the staging area, and rewrites the bad ones. It reads those again whose check has become too old
// meanwhile.
func (l *Loader) verifyStaged(ctx context.Context, s *stagedVersion) error {
	for range maxCheckPasses {
		due := s.checks.Unchecked(l.deps.Clock.SinceBoot() - stagecheck.MaxAgeAtOrder)
		if len(due) == 0 {
			return nil
		}
		if err := forChunks(ctx, due, func(ctx context.Context, i int) error { return l.verifyChunk(ctx, s, i) }); err != nil {
			return err
		}
	}
	return nil
}

// verifyChunk reads a staged chunk back until it is intact, and rewrites it if it is not.
func (l *Loader) verifyChunk(ctx context.Context, s *stagedVersion, i int) error {
	const maxRewrites = 3
	for n := 0; ; n++ {
		intact, err := l.readBack(ctx, s, i)
		if err != nil || intact {
			return err
		}
		if n == maxRewrites {
			return errors.Errorf("staged chunk %d is still corrupted", i)
		}
		l.deps.Log.StateChange("staged chunk is corrupted", port.F("chunk", i), port.F("number", s.Number))
		if err := l.writeChunk(ctx, s, i); err != nil {
			return err
		}
	}
}

// readBack reads a staged chunk, records the result and returns whether it is intact.
func (l *Loader) readBack(ctx context.Context, s *stagedVersion, i int) (bool, error) {
	startedAt := l.deps.Clock.SinceBoot()
	b, err := l.deps.Engine.ReadChunk(ctx, s.Model, i)
	if err != nil {
		return false, err
	}
	intact := s.man.VerifyChunk(i, b) == nil
	s.checks.RecordRead(i, startedAt, intact)
	return intact, nil
}
