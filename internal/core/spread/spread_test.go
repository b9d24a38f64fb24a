package spread

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/masticwing/masticwing/internal/core/fleet"
)

const version = fleet.Version("v1")

func noneAvoided(fleet.VM) bool { return false }

func drawMembers(t *rapid.T, maxRegions int) ([]Member, int) {
	regions := rapid.IntRange(1, maxRegions).Draw(t, "regions")
	n := rapid.IntRange(regions, 40).Draw(t, "members")
	var ms []Member
	for i := range n {
		ms = append(ms, Member{VM: fleet.VM(fmt.Sprintf("vm%d", i)), Region: fleet.Region(fmt.Sprint("r", i%regions))})
	}
	return ms, regions
}

func plans(ms []Member, chunks int) []*Plan {
	var out []*Plan
	for _, m := range ms {
		out = append(out, NewPlan(version, chunks, m, ms, "", noneAvoided))
	}
	return out
}

// TestOriginBudget guards against quotas whose sum exceeds the copies that the origin
// may send, against a chunk that no region or more than three regions fetch from the
// origin, and against a chunk with several owners in a region.
func TestOriginBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ms, regions := drawMembers(t, 6)
		chunks := rapid.IntRange(1, 300).Draw(t, "chunks")
		total := 0
		owners := make([]map[fleet.Region]fleet.VM, chunks)
		fetching := make([]map[fleet.Region]bool, chunks)
		for _, p := range plans(ms, chunks) {
			total += p.Quota(chunks)
			for c := range chunks {
				if owners[c] == nil {
					owners[c], fetching[c] = map[fleet.Region]fleet.VM{}, map[fleet.Region]bool{}
				}
				owner, ok := p.Owner(c)
				if prev, seen := owners[c][p.Self.Region]; seen && prev != owner {
					t.Fatalf("chunk %d has owners %s and %s in %s", c, prev, owner, p.Self.Region)
				}
				owners[c][p.Self.Region] = owner
				if ok && p.FetchesFromOrigin(c) {
					fetching[c][p.Self.Region] = true
				}
			}
		}
		if total > OriginCopies*chunks {
			t.Fatalf("quotas add up to %d chunks of %d", total, chunks)
		}
		for c := range chunks {
			if n := len(fetching[c]); n != min(regions, maxOriginRegions) {
				t.Fatalf("%d of %d regions fetch chunk %d from the origin", n, regions, c)
			}
		}
	})
}

// TestOriginInsideRegion guards against an origin in a region that sends a chunk over
// that region's link more than once, and against a region that fetches chunks from
// agents in the origin's region instead.
func TestOriginInsideRegion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ms, regions := drawMembers(t, 6)
		const originRegion, chunks = fleet.Region("r0"), 50
		fetching := make([]map[fleet.Region]bool, chunks)
		for _, m := range ms {
			p := NewPlan(version, chunks, m, ms, originRegion, noneAvoided)
			for c := range chunks {
				if fetching[c] == nil {
					fetching[c] = map[fleet.Region]bool{}
				}
				if p.FetchesFromOrigin(c) {
					fetching[c][m.Region] = true
				}
			}
			for _, n := range p.Neighbours {
				if m.Region != originRegion && n.Region == originRegion {
					t.Fatalf("%s in %s watches %s in the origin's region", m.VM, m.Region, n.VM)
				}
			}
		}
		for c, d := range fetching {
			if !d[originRegion] || len(d) != min(regions, 2) {
				t.Fatalf("chunk %d is fetched from the origin by %v of %d regions", c, d, regions)
			}
		}
	})
}

// TestQuotaCoversLostGateways guards against quotas with which the remaining gateways
// cannot complete a version after a quarter of the gateways is lost. Quotas are
// rounded down to whole chunks, hence the +1.
func TestQuotaCoversLostGateways(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ms, regions := drawMembers(t, 3)
		chunks := rapid.IntRange(200, 400).Draw(t, "chunks")
		for _, p := range plans(ms, chunks) {
			g := len(p.Gateways)
			if !p.Gateway || g < 4 || regions < 3 {
				continue
			}
			if alive := g - g/4; alive*(p.Quota(chunks)+1) < chunks {
				t.Fatalf("%d of %d gateways fetch %d chunks each, of %d", alive, g, p.Quota(chunks), chunks)
			}
		}
	})
}

// TestOneTakeover guards against several gateways that take over a chunk of a dead
// owner at the same time, and against a chunk that no gateway takes over.
func TestOneTakeover(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ms, _ := drawMembers(t, 1)
		const chunks = 64
		ps := plans(ms, chunks)
		if len(ps[0].Gateways) < 2 {
			t.Skip("one gateway")
		}
		c := rapid.IntRange(0, chunks-1).Draw(t, "chunk")
		owner, _ := ps[0].Owner(c)
		fetch := time.Duration(rapid.IntRange(0, 5000).Draw(t, "fetch_ms")) * time.Millisecond
		delay := max(MinTakeoverDelay, takeoverFetches*fetch)
		idleTime := time.Duration(0)
		// The other gateways have all of their own chunks and are therefore idle too.
		view := GatewayView{
			IdleTime:    func(fleet.VM) time.Duration { return idleTime },
			Unreachable: func(vm fleet.VM) bool { return vm == owner },
			FetchTime:   fetch,
		}
		count := func() (n int) {
			for _, p := range ps {
				if p.Self.VM != owner && p.MayTakeOver(c, view) {
					n++
				}
			}
			return n
		}
		for idleTime = 0; idleTime < delay; idleTime += delay / 4 {
			if n := count(); n != 0 {
				t.Fatalf("%d gateways take over after %v of %v", n, idleTime, delay)
			}
		}
		if n := count(); n != 1 {
			t.Fatalf("%d gateways take over", n)
		}
	})
}

// TestNeighboursConnect guards against an agent that is not connected to the others
// through neighbours, and against one that is watched by many more agents than
// others.
func TestNeighboursConnect(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ms, _ := drawMembers(t, 1)
		watchers := map[fleet.VM]int{}
		next := map[fleet.VM][]fleet.VM{}
		for _, p := range plans(ms, 1000) {
			for _, n := range p.Neighbours[:p.ringCount] {
				watchers[n.VM]++
				next[n.VM] = append(next[n.VM], p.Self.VM)
			}
		}
		reached := map[fleet.VM]bool{ms[0].VM: true}
		queue := []fleet.VM{ms[0].VM}
		for len(queue) > 0 {
			for _, vm := range next[queue[0]] {
				if !reached[vm] {
					reached[vm] = true
					queue = append(queue, vm)
				}
			}
			queue = queue[1:]
		}
		if len(reached) != len(ms) {
			t.Fatalf("%d of %d reached", len(reached), len(ms))
		}
		for vm, n := range watchers {
			if n > MaxNeighbours {
				t.Fatalf("%s is watched by %d", vm, n)
			}
		}
	})
}

// TestQuotaExtension guards against a version that can never be complete because
// corrupted chunks exhausted the quota, and against an extension while chunks still
// arrive.
func TestQuotaExtension(t *testing.T) {
	now := time.Unix(1000, 0)
	var q OriginQuota
	q.Set(10)
	q.Reserve(10)
	q.Extend(10, now, minExtensionDelay/2, minExtensionDelay)
	if q.CanFetch(now, 10) {
		t.Fatal("extended while chunks arrive")
	}
	q.Extend(10, now, 2*minExtensionDelay, minExtensionDelay)
	q.Extend(10, now, 2*minExtensionDelay, minExtensionDelay)
	if !q.CanFetch(now, 10) || q.CanFetch(now, 11) {
		t.Fatal("not extended by one chunk")
	}
	q.Reserve(10)
	q.Extend(10, now.Add(minExtensionDelay), 3*minExtensionDelay, minExtensionDelay)
	if q.CanFetch(now, 10) {
		t.Fatal("extended again at once after a corrupted chunk")
	}
	q.Extend(10, now.Add(minExtensionDelay+1), 3*minExtensionDelay, minExtensionDelay)
	if !q.CanFetch(now, 10) {
		t.Fatal("not extended again")
	}
}

// simulation distributes a version in rounds, without a model of links: each agent
// starts up to two fetches per round, which complete at the end of the round.
type simulation struct {
	plans           []*Plan
	tables          []*Table
	quotas          []*OriginQuota
	index           map[fleet.VM]int
	dead            map[int]bool
	now             time.Time
	originFetches   int
	externalFetches map[fleet.Region]int
	rnd             Rand
	// lastChunkAt is the time at which each agent received its last chunk. corrupt is
	// the number of further fetches from the origin that arrive corrupted. fetched
	// counts the correct fetches from the origin by agent, wasted the corrupted ones.
	lastChunkAt []time.Time
	corrupt     int
	fetched     []int
	wasted      int
	// noExtensions disables extensions of quotas.
	noExtensions bool
}

func newSimulation(ms []Member, chunks int, rnd Rand) *simulation {
	s := &simulation{
		plans: plans(ms, chunks), index: map[fleet.VM]int{}, dead: map[int]bool{},
		now: time.Unix(1000, 0), externalFetches: map[fleet.Region]int{}, rnd: rnd,
	}
	for i, p := range s.plans {
		s.index[p.Self.VM] = i
		s.tables = append(s.tables, NewTable(chunks))
		s.quotas = append(s.quotas, &OriginQuota{})
		s.quotas[i].Set(int64(p.Quota(chunks)))
		s.lastChunkAt, s.fetched = append(s.lastChunkAt, s.now), append(s.fetched, 0)
		for _, n := range p.Neighbours {
			s.tables[i].AddPeer(n.VM, p.Role(n), s.now)
		}
	}
	return s
}

// runRound lets every live agent fetch, updates the agents that watch it, and returns
// the number of chunks that were missing at live agents before.
func (s *simulation) runRound() (missing int) {
	s.now = s.now.Add(200 * time.Millisecond)
	for i, t := range s.tables {
		for _, n := range s.plans[i].Neighbours {
			if s.dead[s.index[n.VM]] {
				t.MarkDisconnected(n.VM)
				continue
			}
			t.MarkAlive(n.VM, s.now)
		}
	}
	var fetches []Fetch
	var fetchers []int
	for i, t := range s.tables {
		if s.dead[i] {
			continue
		}
		missing += t.total - t.HeldCount()
		if f, ok := s.pickExternal(i); ok {
			fetches, fetchers = append(fetches, f), append(fetchers, i)
		}
		if f, ok := t.PickLocal(s.now, Limits{Total: 2, PerPeer: 1}, false, s.rnd); ok {
			fetches, fetchers = append(fetches, f), append(fetchers, i)
		}
	}
	for k, f := range fetches {
		s.finishFetch(fetchers[k], f)
	}
	return missing
}

func (s *simulation) pickExternal(i int) (Fetch, bool) {
	p, t := s.plans[i], s.tables[i]
	view := GatewayView{
		IdleTime:    func(vm fleet.VM) time.Duration { return t.IdleTime(vm, s.now) },
		Unreachable: func(vm fleet.VM) bool { return t.IsUnreachable(vm, s.now) },
	}
	stalledFor := s.now.Sub(s.lastChunkAt[i])
	if p.Gateway && !s.noExtensions {
		s.quotas[i].Extend(1, s.now, stalledFor, p.ExtensionDelay(view.Unreachable))
	}
	may := func(c int) (bool, bool) {
		owner, _ := p.Owner(c)
		return p.Gateway && (owner == p.Self.VM || p.MayTakeOver(c, view)), p.FetchesFromOrigin(c) || stalledFor > 2*MinTakeoverDelay
	}
	f, ok, _ := t.PickExternal(s.now, ExternalPolicy{MayFetch: may, OriginReady: s.quotas[i].CanFetch(s.now, 1)}, s.rnd)
	if ok && f.Origin {
		s.quotas[i].Reserve(1)
	}
	return f, ok
}

func (s *simulation) finishFetch(i int, f Fetch) {
	t, p := s.tables[i], s.plans[i]
	defer t.EndFetch(f)
	from, ok := s.index[f.From]
	if !f.Origin && (!ok || s.dead[from]) {
		t.Avoid(f.From, s.now.Add(AvoidAfterStall))
		return
	}
	if f.Origin {
		s.originFetches++
		if s.corrupt > 0 {
			s.corrupt--
			s.wasted++
			return
		}
		s.fetched[i]++
	}
	s.lastChunkAt[i] = s.now
	if f.Origin || s.plans[from].Self.Region != p.Self.Region {
		s.externalFetches[p.Self.Region]++
	}
	t.MarkHeld(f.Chunk)
	for j, q := range s.plans {
		owner, _ := q.Owner(f.Chunk)
		s.tables[j].AddHolder(p.Self.VM, f.Chunk, owner == p.Self.VM, s.now)
	}
}

// TestAllChunksArrive guards against a chunk that no agent may fetch after gateways
// died, against an origin that sends more copies than OriginCopies, and against a
// region that fetches chunks from external sources much more than once each.
func TestAllChunksArrive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ms, regions := drawMembers(t, 5)
		chunks := rapid.IntRange(8*regions, 8*regions+16).Draw(t, "chunks")
		src := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		s := newSimulation(ms, chunks, src.IntN)
		deaths := rapid.IntRange(0, len(ms)/10).Draw(t, "deaths")
		deathRound := rapid.IntRange(0, 40).Draw(t, "death_round")
		for r := range 2000 {
			if r == deathRound {
				for i := range deaths {
					s.dead[(i*7)%len(ms)] = true
				}
			}
			if s.runRound() == 0 {
				break
			}
		}
		if missing := s.runRound(); missing != 0 {
			t.Fatalf("%d chunks are missing at live agents", missing)
		}
		if s.originFetches > OriginCopies*chunks {
			t.Fatalf("the origin sent %d of %d chunks", s.originFetches, chunks)
		}
		for r, n := range s.externalFetches {
			if float64(n) > 1.2*float64(chunks)+1 {
				t.Fatalf("region %s fetched %d of %d chunks from external sources", r, n, chunks)
			}
		}
	})
}

// TestOriginBoundUnderFaults guards against an origin that sends more than
// OriginCopies plus the wasted chunks: those that arrived corrupted, and those sent to
// agents that died later. It also guards against a version that is never complete
// because its quotas were wasted, which is why the origin may exceed OriginCopies.
func TestOriginBoundUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ms, regions := drawMembers(t, 5)
		chunks := rapid.IntRange(8*regions, 8*regions+16).Draw(t, "chunks")
		src := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		s := newSimulation(ms, chunks, src.IntN)
		s.corrupt = rapid.IntRange(0, 2*chunks).Draw(t, "corrupted")
		deaths := rapid.IntRange(0, len(ms)/3).Draw(t, "deaths")
		deathRound := rapid.IntRange(0, 60).Draw(t, "death_round")
		dead := map[fleet.Region]int{}
		const rounds = 40_000
		missing := 1
		for r := 0; r < rounds && missing > 0; r++ {
			for i := 0; r == deathRound && i < deaths; i++ {
				k := (i * 7) % len(ms)
				if region := ms[k].Region; (dead[region]+1)*2 <= len(ms)/regions {
					s.dead[k] = true
					dead[region]++
				}
			}
			missing = s.runRound()
		}
		lost := 0
		for i := range s.dead {
			lost += s.fetched[i]
		}
		if missing > 0 {
			t.Fatalf("%d chunks are missing; the origin sent %d of %d, %d wasted, %d lost", missing, s.originFetches, chunks, s.wasted, lost)
		}
		if s.originFetches > OriginCopies*chunks+s.wasted+lost {
			t.Fatalf("the origin sent %d of %d chunks, %d wasted, %d lost", s.originFetches, chunks, s.wasted, lost)
		}
	})
}

// TestDistrustedHolder guards against a chunk that is never fetched from an external
// source because the only peer of the region that has it corrupts everything, and
// against one that is fetched from there after a single corrupted chunk.
func TestDistrustedHolder(t *testing.T) {
	now := time.Unix(1000, 0)
	tb := NewTable(1)
	tb.AddPeer("bad", Neighbour, now)
	tb.AddHolder("bad", 0, true, now)
	o := ExternalPolicy{MayFetch: func(int) (bool, bool) { return true, true }, OriginReady: true}
	for i, want := range []bool{false, false, true} {
		f, ok, _ := tb.PickExternal(now, o, func(int) int { return 0 })
		if n, _ := tb.MissingInRegion(now); ok != want || (n == 1) != want {
			t.Fatalf("after %d corrupted chunks: fetched from an external source %v, %d missing", i, ok, n)
		}
		if ok {
			tb.EndFetch(f)
		}
		tb.MarkCorrupted("bad", now)
	}
	tb.MarkVerified("bad")
	if _, ok, _ := tb.PickExternal(now, o, func(int) int { return 0 }); ok {
		t.Fatal("fetched from an external source although the peer sends correct chunks again")
	}
}

// TestExtensionsAreNecessary shows why quotas are extended: without extensions,
// corrupted chunks from the origin leave a version incomplete for ever.
func TestExtensionsAreNecessary(t *testing.T) {
	var ms []Member
	for i := range 6 {
		ms = append(ms, Member{VM: fleet.VM(fmt.Sprint("vm", i)), Region: fleet.Region(fmt.Sprint("r", i%2))})
	}
	const chunks = 20
	for _, noExtensions := range []bool{true, false} {
		s := newSimulation(ms, chunks, rand.New(rand.NewPCG(1, 1)).IntN)
		s.corrupt, s.noExtensions = 3*chunks, noExtensions
		missing := 1
		for r := 0; r < 40_000 && missing > 0; r++ {
			missing = s.runRound()
		}
		t.Logf("without extensions %v: %d missing, origin sent %d of %d", noExtensions, missing, s.originFetches, chunks)
		if noExtensions != (missing > 0) || noExtensions && s.originFetches > OriginCopies*chunks {
			t.Fatalf("without extensions %v: %d missing, origin sent %d of %d", noExtensions, missing, s.originFetches, chunks)
		}
	}
}
