package quarantine

import (
	"hash/fnv"
	"time"

	"github.com/masticwing/masticwing/internal/core/shard"
)

const (
	// answeredBuckets is the number of groups of answered subjects, each under its own lock.
	answeredBuckets = 32
	// maxGenerationSubjects bounds a generation of a group. All groups together hold at most
	// 8,192 subjects, of 64 bytes at most.
	maxGenerationSubjects = 128
	// generationTime is the time after which a generation is replaced. Subjects are remembered
	// for one to two generations.
	generationTime = time.Minute
)

// answeredSubjects remembers the subjects that were recently answered, in bounded memory.
type answeredSubjects struct {
	buckets *shard.Map[uint32, *generations]
}

// generations holds the subjects of a bucket. Once the newer generation is full or old, it replaces
// the older one.
type generations struct {
	newer, older map[Subject]bool
	since        time.Time
}

func newAnsweredSubjects() *answeredSubjects {
	return &answeredSubjects{buckets: shard.New[uint32, *generations](answeredBuckets)}
}

func bucketOf(x Subject) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(x))
	return h.Sum32() % answeredBuckets
}

func (a *answeredSubjects) add(x Subject, now time.Time) {
	a.updateBucket(x, now, func(g *generations) {
		if len(g.newer) >= maxGenerationSubjects {
			g.advance(now)
		}
		g.newer[x] = true
	})
}

func (a *answeredSubjects) contains(x Subject, now time.Time) (found bool) {
	a.updateBucket(x, now, func(g *generations) { found = g.newer[x] || g.older[x] })
	return found
}

// updateBucket calls f with the bucket of a subject, without generations that are too old.
func (a *answeredSubjects) updateBucket(x Subject, now time.Time, f func(*generations)) {
	a.buckets.Update(bucketOf(x), func(g *generations, ok bool) (*generations, bool) {
		if !ok {
			g = &generations{newer: map[Subject]bool{}, since: now}
		}
		for range 2 {
			if now.Sub(g.since) >= generationTime {
				g.advance(g.since.Add(generationTime))
			}
		}
		if now.Sub(g.since) >= generationTime {
			g.since = now
		}
		f(g)
		return g, true
	})
}

func (g *generations) advance(since time.Time) {
	g.newer, g.older, g.since = map[Subject]bool{}, g.newer, since
}
