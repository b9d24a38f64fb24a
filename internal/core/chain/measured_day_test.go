package chain

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/originorder"
)

// site is a deployment whose origin and members have links of these rates.
type site struct {
	chunks, chunkBytes     int
	originMbit, memberMbit float64
}

var sites = []site{{96, 24_576, 7.3, 7.3}, {48, 49_152, 9, 9.4}}

func linkTime(bytes int, mbit float64) time.Duration {
	return time.Duration(float64(bytes*8) / (mbit * 1e6) * float64(time.Second))
}

// membersOfThree returns n members in three regions.
func membersOfThree(n int) []Member {
	var out []Member
	for _, m := range members(3, (n+2)/3) {
		if len(out) < n {
			out = append(out, m)
		}
	}
	return out
}

// run simulates an outage of the origin from 20.5 to 26.5 s. Times count from its start.
func (s site) run(n, corrupting int, versions ...*simVersion) *outageRun {
	r := &outageRun{
		ms: membersOfThree(n), chunks: s.chunks, returnsAfter: outage, corrupting: map[fleet.VM]bool{},
		tick: linkTime(s.chunkBytes, s.memberMbit), originChunk: linkTime(s.chunkBytes, s.originMbit),
		transfers: 6, versions: versions, served: 6300 * time.Millisecond,
	}
	for i, m := range r.ms {
		r.corrupting[m.VM] = corrupting > 0 && i%corrupting == 1
	}
	return r
}

const (
	outage = 6 * time.Second
	// loadTime is the time to stage, check and load a complete version.
	loadTime = 400 * time.Millisecond
)

// day is a day of an outage of the origin.
type day struct {
	name     string
	versions func() []*simVersion
}

// days are the measured day, the same with a manifest of the newer version that arrived before the
// outage, and one with a single version. Six chunks of the older version are missing at the outage.
var days = []day{
	{"two versions", func() []*simVersion {
		return []*simVersion{{spread: spread, until: 8300 * time.Millisecond, missing: 6}, {start: outage + 150*time.Millisecond, spread: spread}}
	}},
	{"two versions, both resolved", func() []*simVersion {
		return []*simVersion{{spread: spread, until: 8300 * time.Millisecond, missing: 6}, {start: 100 * time.Millisecond, spread: spread}}
	}},
	{"one version", func() []*simVersion { return []*simVersion{{spread: spread, missing: 6}} }},
}

// spread is the time within which the members learn of a version.
const spread = 100 * time.Millisecond

// simulated holds the runs of the days, which several tests check.
var simulated = struct {
	sync.Mutex
	runs map[string]func() (*outageRun, error)
}{runs: map[string]func() (*outageRun, error){}}

// simulate returns the run of a day, which it simulates once.
func (s site) simulate(name string, d day, n, corrupting int) (*outageRun, error) {
	simulated.Lock()
	if simulated.runs[name] == nil {
		simulated.runs[name] = sync.OnceValues(func() (*outageRun, error) {
			r := s.run(n, corrupting, d.versions()...)
			return r, r.run(30 * time.Second)
		})
	}
	run := simulated.runs[name]
	simulated.Unlock()
	return run()
}

// forDays runs each day on both sites and at all sizes, and the measured day also with members that
// send wrong bytes.
func forDays(t *testing.T, check func(t *testing.T, s site, r *outageRun)) {
	for _, s := range sites {
		for _, n := range []int{14, 24, 58, 98, 138} {
			for i, d := range days {
				for _, corrupting := range []int{0, 24} {
					if corrupting > 0 && i > 0 {
						continue
					}
					name := fmt.Sprintf("%d chunks, %d members, %s, wrong bytes %v", s.chunks, n, d.name, corrupting > 0)
					t.Run(name, func(t *testing.T) {
						t.Parallel()
						r, err := s.simulate(name, d, n, corrupting)
						if err != nil {
							t.Fatal(err)
						}
						check(t, s, r)
					})
				}
			}
		}
	}
}

// TestReturnIsNoticed guards against an origin whose return is noticed late, or whose link then
// carries chunks that it has sent already, so that a version that lacks six chunks is complete too
// late for the time that it may serve.
func TestReturnIsNoticed(t *testing.T) {
	const maxNotice, maxCopies = 100 * time.Millisecond, 3
	forDays(t, func(t *testing.T, s site, r *outageRun) {
		older, back := r.versions[0], r.returnsAfter
		copies := float64(r.fromOrigin) / float64(s.chunks)
		t.Logf("after the return: noticed %v; older version %v; newest version first %v, half %v, last %v; %.2f copies",
			ms(r.noticed-back), ms(older.first-back), ms(r.first-back), ms(r.half-back), ms(r.last-back), copies)
		if d := r.noticed - back; d > maxNotice {
			t.Errorf("the return is noticed after %v", d)
		}
		if copies > maxCopies {
			t.Errorf("the origin sends %.2f copies", copies)
		}
		if older.until > 0 && (older.first == 0 || older.first+loadTime+originorder.MinService > older.until) {
			t.Errorf("the older version is complete %v after the return and can't serve", older.first-back)
		}
	})
}

// TestTimesAfterOutage guards against engines that have new weights later than the goals of the
// measured days, counted from the return of the origin at 26.5 s.
func TestTimesAfterOutage(t *testing.T) {
	forDays(t, func(t *testing.T, s site, r *outageRun) {
		maxFirst, maxHalf := 3500*time.Millisecond, 4*time.Second
		switch {
		case len(r.versions) == 1:
			maxFirst, maxHalf = 1100*time.Millisecond, 2*time.Second
		case s.chunks == 48:
			maxFirst, maxHalf = 2900*time.Millisecond, time.Hour // no goal for half of them
		}
		if first := r.first - r.returnsAfter + loadTime; first > maxFirst {
			t.Errorf("the first engine has the weights after %v, goal %v", ms(first), maxFirst)
		}
		if half := r.half - r.returnsAfter + loadTime; half > maxHalf {
			t.Errorf("half of the engines have the weights after %v, goal %v", ms(half), maxHalf)
		}
	})
}

func ms(d time.Duration) time.Duration { return d.Round(time.Millisecond) }
