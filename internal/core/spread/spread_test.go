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

func nobody(fleet.VM) bool { return false }

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
		out = append(out, NewPlan(version, chunks, m, ms, "", nobody))
	}
	return out
}

// TestOriginBudget guards against quotas whose sum exceeds the origin's budget,
// and against a chunk that no region or more than three regions may draw, or
// that has no single owner in a region.
func TestOriginBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ms, regions := drawMembers(t, 6)
		chunks := rapid.IntRange(1, 300).Draw(t, "chunks")
		total := 0
		owners := make([]map[fleet.Region]fleet.VM, chunks)
		drawing := make([]map[fleet.Region]bool, chunks)
		for _, p := range plans(ms, chunks) {
			total += p.Quota(chunks)
			for c := range chunks {
				if owners[c] == nil {
					owners[c], drawing[c] = map[fleet.Region]fleet.VM{}, map[fleet.Region]bool{}
				}
				owner, ok := p.Owner(c)
				if prev, seen := owners[c][p.Self.Region]; seen && prev != owner {
					t.Fatalf("chunk %d has owners %s and %s in %s", c, prev, owner, p.Self.Region)
				}
				owners[c][p.Self.Region] = owner
				if ok && p.Draws(c) {
					drawing[c][p.Self.Region] = true
				}
			}
		}
		if total > OriginCopies*chunks {
			t.Fatalf("quotas add up to %d chunks of %d", total, chunks)
		}
		for c := range chunks {
			if n := len(drawing[c]); n != min(regions, maxDrawing) {
				t.Fatalf("%d of %d regions draw chunk %d", n, regions, c)
			}
		}
	})
}

// TestOriginInsideRegion guards against an origin that stands in a region and
// sends a chunk over that region's link more than once, and against a region
// that fetches from the origin's region through its agents instead.
func TestOriginInsideRegion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ms, regions := drawMembers(t, 6)
		const home, chunks = fleet.Region("r0"), 50
		drawing := make([]map[fleet.Region]bool, chunks)
		for _, m := range ms {
			p := NewPlan(version, chunks, m, ms, home, nobody)
			for c := range chunks {
				if drawing[c] == nil {
					drawing[c] = map[fleet.Region]bool{}
				}
				if p.Draws(c) {
					drawing[c][m.Region] = true
				}
			}
			for _, n := range p.Neighbours {
				if m.Region != home && n.Region == home {
					t.Fatalf("%s in %s watches %s in the origin's region", m.VM, m.Region, n.VM)
				}
			}
		}
		for c, d := range drawing {
			if !d[home] || len(d) != min(regions, 2) {
				t.Fatalf("chunk %d is drawn by %v of %d regions", c, d, regions)
			}
		}
	})
}

// TestQuotaCoversLostGateways guards against quotas that the survivors of lost
// gateways cannot finish a version with when a quarter is lost. Quotas are
// rounded down to whole chunks.
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
				t.Fatalf("%d of %d gateways draw %d chunks each, of %d", alive, g, p.Quota(chunks), chunks)
			}
		}
	})
}

// TestOneTakeover guards against several gateways that take over a chunk of a
// dead owner at once, and against none that does.
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
		patience := max(OriginStep, patienceFactor*fetch)
		quiet := time.Duration(0)
		// The other gateways have all of their own chunks and are idle as well.
		sight := Sight{
			Idle:  func(fleet.VM) time.Duration { return quiet },
			Lost:  func(vm fleet.VM) bool { return vm == owner },
			Fetch: fetch,
		}
		count := func() (n int) {
			for _, p := range ps {
				if p.Self.VM != owner && p.MayTakeOver(c, sight) {
					n++
				}
			}
			return n
		}
		for quiet = 0; quiet < patience; quiet += patience / 4 {
			if n := count(); n != 0 {
				t.Fatalf("%d gateways take over after %v of %v", n, quiet, patience)
			}
		}
		if n := count(); n != 1 {
			t.Fatalf("%d gateways take over", n)
		}
	})
}

// TestNeighboursConnect guards against a ring in which some agent cannot be
// reached, or is watched by many more agents than others.
func TestNeighboursConnect(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ms, _ := drawMembers(t, 1)
		watchers := map[fleet.VM]int{}
		next := map[fleet.VM][]fleet.VM{}
		for _, p := range plans(ms, 1000) {
			for _, n := range p.Neighbours[:p.ring] {
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

// TestAllowanceExtends guards against a version that can never be complete
// because corrupted chunks used the allowance, and against an extension while
// the spread still moves.
func TestAllowanceExtends(t *testing.T) {
	now := time.Unix(1000, 0)
	var a Allowance
	a.Set(10)
	a.Spend(10)
	a.Extend(10, now, standstill/2, standstill)
	if a.Ready(now, 10) {
		t.Fatal("extended while chunks arrive")
	}
	a.Extend(10, now, 2*standstill, standstill)
	a.Extend(10, now, 2*standstill, standstill)
	if !a.Ready(now, 10) || a.Ready(now, 11) {
		t.Fatal("not extended by one chunk")
	}
	a.Spend(10)
	a.Extend(10, now.Add(standstill), 3*standstill, standstill)
	if a.Ready(now, 10) {
		t.Fatal("extended again at once after a corrupted chunk")
	}
	a.Extend(10, now.Add(standstill+1), 3*standstill, standstill)
	if !a.Ready(now, 10) {
		t.Fatal("not extended again")
	}
}

// simulation spreads a version in rounds without links: each agent starts up
// to two fetches a round, which end in the next.
type simulation struct {
	plans   []*Plan
	tables  []*Table
	allow   []*Allowance
	at      map[fleet.VM]int
	dead    map[int]bool
	now     time.Time
	origin  int
	outside map[fleet.Region]int
	rnd     Rand
	// gain is when each agent got its last chunk; bad is the number of draws
	// that still arrive corrupted. drawn counts the correct ones by agent, and
	// wasted those that were corrupted.
	gain   []time.Time
	bad    int
	drawn  []int
	wasted int
	// fixed turns extensions off.
	fixed bool
}

func newSimulation(ms []Member, chunks int, rnd Rand) *simulation {
	s := &simulation{
		plans: plans(ms, chunks), at: map[fleet.VM]int{}, dead: map[int]bool{},
		now: time.Unix(1000, 0), outside: map[fleet.Region]int{}, rnd: rnd,
	}
	for i, p := range s.plans {
		s.at[p.Self.VM] = i
		s.tables = append(s.tables, NewTable(chunks))
		s.allow = append(s.allow, &Allowance{})
		s.allow[i].Set(int64(p.Quota(chunks)))
		s.gain, s.drawn = append(s.gain, s.now), append(s.drawn, 0)
		for _, n := range p.Neighbours {
			s.tables[i].AddPeer(n.VM, p.Role(n), s.now)
		}
	}
	return s
}

// round lets every live agent fetch and tells its watchers.
func (s *simulation) round() (left int) {
	s.now = s.now.Add(200 * time.Millisecond)
	for i, t := range s.tables {
		for _, n := range s.plans[i].Neighbours {
			if s.dead[s.at[n.VM]] {
				t.Lost(n.VM)
				continue
			}
			t.Heard(n.VM, s.now)
		}
	}
	var got []Choice
	var by []int
	for i, t := range s.tables {
		if s.dead[i] {
			continue
		}
		left += t.count - t.Held()
		if ch, ok := s.pickOutside(i); ok {
			got, by = append(got, ch), append(by, i)
		}
		if ch, ok := t.Pick(s.now, Limits{Total: 2, PerPeer: 1}, false, s.rnd); ok {
			got, by = append(got, ch), append(by, i)
		}
	}
	for k, ch := range got {
		s.finish(by[k], ch)
	}
	return left
}

func (s *simulation) pickOutside(i int) (Choice, bool) {
	p, t := s.plans[i], s.tables[i]
	sight := Sight{
		Idle: func(vm fleet.VM) time.Duration { return t.Idle(vm, s.now) },
		Lost: func(vm fleet.VM) bool { return t.Unheard(vm, s.now) },
	}
	still := s.now.Sub(s.gain[i])
	if p.Gateway && !s.fixed {
		s.allow[i].Extend(1, s.now, still, p.ExtendAfter(sight.Lost))
	}
	may := func(c int) (bool, bool) {
		owner, _ := p.Owner(c)
		return p.Gateway && (owner == p.Self.VM || p.MayTakeOver(c, sight)), p.Draws(c) || still > 2*OriginStep
	}
	ch, ok, _ := t.PickOutside(s.now, Outside{May: may, OriginReady: s.allow[i].Ready(s.now, 1)}, s.rnd)
	if ok && ch.Origin {
		s.allow[i].Spend(1)
	}
	return ch, ok
}

func (s *simulation) finish(i int, ch Choice) {
	t, p := s.tables[i], s.plans[i]
	defer t.Ended(ch)
	from, ok := s.at[ch.From]
	if !ch.Origin && (!ok || s.dead[from]) {
		t.Avoid(ch.From, s.now.Add(AvoidStalled))
		return
	}
	if ch.Origin {
		s.origin++
		if s.bad > 0 {
			s.bad--
			s.wasted++
			return
		}
		s.drawn[i]++
	}
	s.gain[i] = s.now
	if ch.Origin || s.plans[from].Self.Region != p.Self.Region {
		s.outside[p.Self.Region]++
	}
	t.Have(ch.Chunk)
	for j, q := range s.plans {
		owner, _ := q.Owner(ch.Chunk)
		s.tables[j].Holds(p.Self.VM, ch.Chunk, owner == p.Self.VM, s.now)
	}
}

// TestSpreadReachesEveryChunk guards against a chunk that nobody may fetch when
// gateways die, against an origin that gives more than its budget, and against
// a region that draws a chunk from outside more than about once.
func TestSpreadReachesEveryChunk(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ms, regions := drawMembers(t, 5)
		chunks := rapid.IntRange(8*regions, 8*regions+16).Draw(t, "chunks")
		src := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		s := newSimulation(ms, chunks, src.IntN)
		deaths := rapid.IntRange(0, len(ms)/10).Draw(t, "deaths")
		half := rapid.IntRange(0, 40).Draw(t, "death_round")
		for r := range 2000 {
			if r == half {
				for i := range deaths {
					s.dead[(i*7)%len(ms)] = true
				}
			}
			if s.round() == 0 {
				break
			}
		}
		if left := s.round(); left != 0 {
			t.Fatalf("%d chunks are missing at live agents", left)
		}
		if s.origin > OriginCopies*chunks {
			t.Fatalf("the origin gave %d of %d chunks", s.origin, chunks)
		}
		for r, n := range s.outside {
			if float64(n) > 1.2*float64(chunks)+1 {
				t.Fatalf("region %s drew %d of %d chunks from outside", r, n, chunks)
			}
		}
	})
}

// TestOriginBoundUnderFaults guards against an origin that gives more than its
// budget and what was wasted: draws that arrived corrupted, and draws of
// machines that died. It guards as well against a version that is never
// complete because the budget was wasted; that is why more than the budget is
// given at all.
func TestOriginBoundUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ms, regions := drawMembers(t, 5)
		chunks := rapid.IntRange(8*regions, 8*regions+16).Draw(t, "chunks")
		src := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		s := newSimulation(ms, chunks, src.IntN)
		s.bad = rapid.IntRange(0, 2*chunks).Draw(t, "corrupted")
		deaths := rapid.IntRange(0, len(ms)/3).Draw(t, "deaths")
		at := rapid.IntRange(0, 60).Draw(t, "death_round")
		dead := map[fleet.Region]int{}
		const rounds = 40_000
		left := 1
		for r := 0; r < rounds && left > 0; r++ {
			for i := 0; r == at && i < deaths; i++ {
				k := (i * 7) % len(ms)
				if region := ms[k].Region; (dead[region]+1)*2 <= len(ms)/regions {
					s.dead[k] = true
					dead[region]++
				}
			}
			left = s.round()
		}
		lost := 0
		for i := range s.dead {
			lost += s.drawn[i]
		}
		if left > 0 {
			t.Fatalf("%d chunks are missing; the origin gave %d of %d, %d wasted, %d lost", left, s.origin, chunks, s.wasted, lost)
		}
		if s.origin > OriginCopies*chunks+s.wasted+lost {
			t.Fatalf("the origin gave %d of %d chunks, %d wasted, %d lost", s.origin, chunks, s.wasted, lost)
		}
	})
}

// TestDistrustedHolder guards against a chunk that is never fetched from outside
// because the only peer of the region that has it corrupts all it sends, and
// against one that is fetched from outside after a single corrupted chunk.
func TestDistrustedHolder(t *testing.T) {
	now := time.Unix(1000, 0)
	tb := NewTable(1)
	tb.AddPeer("bad", Neighbour, now)
	tb.Holds("bad", 0, true, now)
	o := Outside{May: func(int) (bool, bool) { return true, true }, OriginReady: true}
	for i, want := range []bool{false, false, true} {
		ch, ok, _ := tb.PickOutside(now, o, func(int) int { return 0 })
		if n, _ := tb.Lacking(now); ok != want || (n == 1) != want {
			t.Fatalf("after %d corrupted chunks: fetched from outside %v, %d lacking", i, ok, n)
		}
		if ok {
			tb.Ended(ch)
		}
		tb.Corrupted("bad", now)
	}
	tb.Verified("bad")
	if _, ok, _ := tb.PickOutside(now, o, func(int) int { return 0 }); ok {
		t.Fatal("fetched from outside although the peer sends correct chunks again")
	}
}

// TestBudgetMayNotSuffice shows why allowances are extended: with a budget that
// is fixed, corrupted draws leave a version incomplete for ever.
func TestBudgetMayNotSuffice(t *testing.T) {
	var ms []Member
	for i := range 6 {
		ms = append(ms, Member{VM: fleet.VM(fmt.Sprint("vm", i)), Region: fleet.Region(fmt.Sprint("r", i%2))})
	}
	const chunks = 20
	for _, fixed := range []bool{true, false} {
		s := newSimulation(ms, chunks, rand.New(rand.NewPCG(1, 1)).IntN)
		s.bad, s.fixed = 3*chunks, fixed
		left := 1
		for r := 0; r < 40_000 && left > 0; r++ {
			left = s.round()
		}
		t.Logf("fixed %v: %d missing, origin gave %d of %d", fixed, left, s.origin, chunks)
		if fixed != (left > 0) || fixed && s.origin > OriginCopies*chunks {
			t.Fatalf("fixed %v: %d missing, origin gave %d of %d", fixed, left, s.origin, chunks)
		}
	}
}
