package ledger

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/masticwing/masticwing/internal/core/verdict"
)

const testWindow = time.Hour

func uuidAt(t time.Time, tail int) string {
	ms := fmt.Sprintf("%012x", t.UnixMilli())
	return fmt.Sprintf("%s-%s-7000-8000-%012x", ms[:8], ms[8:], tail)
}

// TestCheckKey guards against a key that is run although its record may be
// gone, and against two spellings of one key that count as two.
func TestCheckKey(t *testing.T) {
	now := time.UnixMilli(1_800_000_000_000)
	for _, c := range []struct {
		key  string
		want verdict.Code
		v    verdict.Verdict
	}{
		{"", verdict.CodeKeyRequired, verdict.NotRun},
		{"not a key", verdict.CodeBadRequest, verdict.NotRun},
		{strings.Replace(uuidAt(now, 1), "-7", "-4", 1), verdict.CodeBadRequest, verdict.NotRun},
		{strings.Replace(uuidAt(now, 1), "-8", "-c", 1), verdict.CodeBadRequest, verdict.NotRun},
		{strings.Replace(uuidAt(now, 1), "-", "_", 1), verdict.CodeBadRequest, verdict.NotRun},
		{"{" + uuidAt(now, 1)[1:], verdict.CodeBadRequest, verdict.NotRun},
		{uuidAt(now.Add(MaxSkew+time.Millisecond), 1), verdict.CodeBadRequest, verdict.NotRun},
		{uuidAt(now.Add(MaxSkew), 1), "", 0},
		{uuidAt(now.Add(-testWindow), 1), "", 0},
		{uuidAt(now.Add(-testWindow-time.Millisecond), 1), verdict.CodeKeyExpired, verdict.MayHaveRun},
	} {
		_, err := CheckKey("nursery", "c", c.key, now, testWindow)
		switch {
		case err == nil && c.want != "":
			t.Errorf("%q accepted, want %s", c.key, c.want)
		case err != nil && (err.Code != c.want || err.Verdict != c.v):
			t.Errorf("%q: %v, want %s (%s)", c.key, err, c.want, c.v)
		}
	}
	key := uuidAt(now, 0xabcdef)
	a, _ := CheckKey("nursery", "c", key, now, testWindow)
	b, _ := CheckKey("nursery", "c", strings.ToUpper(key), now, testWindow)
	if a != b || a.Partition != Partition("c", strings.ToUpper(key)) {
		t.Errorf("%v and %v differ by case", a, b)
	}
	if got, want := a.Document().String(), fmt.Sprintf("ledger/nursery/%d/30000000", a.Partition); got != want {
		t.Errorf("document %q, want %q", got, want)
	}
}

// TestPartitionIsStable guards against a change of the hash, after which two
// versions of the program would look for a record in different documents.
func TestPartitionIsStable(t *testing.T) {
	const key = "01890a5d-ac96-774b-bcce-b302099a8057"
	// Computed by an independent implementation of FNV-1a 64.
	if a, b := Partition("resort-north", key), Partition("crew-7", key); a != 4 || b != 14 {
		t.Errorf("partitions %d and %d, want 4 and 14", a, b)
	}
}

func genRecords(t *rapid.T, label string) Records {
	return rapid.MapOf(
		rapid.Custom(func(t *rapid.T) KeyHash { return KeyHash{rapid.Byte().Draw(t, "k") % 8} }),
		rapid.Custom(func(t *rapid.T) Record {
			return Record{Attempt{rapid.Byte().Draw(t, "a") % 4}, State(rapid.IntRange(1, 3).Draw(t, "s"))}
		})).Draw(t, label)
}

// TestMerge guards against a merge that forgets a record or takes back the end
// of an attempt.
func TestMerge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		known, fetched := genRecords(t, "known"), genRecords(t, "fetched")
		m := Merge(known, fetched)
		for k, r := range known {
			f, both := fetched[k]
			if got := m[k]; !both && got != r || both && r.State == Done && f.Attempt == r.Attempt && got != r {
				t.Fatalf("known %v fetched %v merged %v", r, f, got)
			}
		}
		for k, f := range fetched {
			if m[k].Attempt != f.Attempt {
				t.Fatalf("merge kept %v over %v", m[k], f)
			}
		}
	})
}

// TestGrantAfterPause guards against a process that was paused until earlier
// records of the key expired, so that its write found none.
func TestGrantAfterPause(t *testing.T) {
	now := time.UnixMilli(1_800_000_000_000)
	k, _ := CheckKey("nursery", "c", uuidAt(now, 1), now, testWindow)
	tab, name := NewTable(testWindow), k.Document()
	tab.Join(k, Attempt{1}, now)
	tab.Loaded(name, nil, 0, now)
	tab.Compose(name, now)
	out := tab.Landed(name, 1, now.Add(testWindow+time.Second))
	if len(out) != 1 || out[0].Decision != Expired || out[0].Decision.Err().Verdict != verdict.MayHaveRun {
		t.Errorf("outcomes %v, want expired", out)
	}
}

// TestAnswersBound guards against answers that outgrow their memory, and
// against one that goes before another that was used longer ago.
func TestAnswersBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const size, fit = 1000, 5
		m := NewAnswers[int](fit * (size + answerOverhead))
		var order []int // least recently used first
		touch := func(n int) {
			for i, v := range order {
				if v == n {
					order = append(order[:i], order[i+1:]...)
					break
				}
			}
			order = append(order, n)
		}
		for range rapid.IntRange(1, 60).Draw(t, "ops") {
			n := rapid.IntRange(0, 11).Draw(t, "key")
			k := Key{Service: "s", Hash: KeyHash{byte(n)}, Partition: n % Partitions}
			if rapid.Bool().Draw(t, "get") {
				if _, ok := m.Get(k); ok {
					touch(n)
				}
			} else {
				m.Put(k, n, size)
				touch(n)
			}
			order = order[max(0, len(order)-fit):]
			if m.Bytes() != int64(len(order)*(size+answerOverhead)) {
				t.Fatalf("%d bytes held for %d answers", m.Bytes(), len(order))
			}
		}
		for _, n := range order {
			if v, ok := m.Get(Key{Service: "s", Hash: KeyHash{byte(n)}, Partition: n % Partitions}); !ok || v != n {
				t.Fatalf("answer %d is gone; kept should be %v", n, order)
			}
		}
	})
}

// TestPacer guards against more writes than the setting allows.
func TestPacer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.IntRange(1, 50).Draw(t, "rate")
		p, now := NewPacer(float64(rate)), time.Unix(1000, 0)
		var at []time.Time
		for range rapid.IntRange(1, 200).Draw(t, "n") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			at = append(at, now.Add(p.Reserve(now)))
		}
		for i := range at {
			if j := i + 2*rate; j < len(at) && at[j].Sub(at[i]) < time.Second {
				t.Fatalf("%d writes within %v at %d/s", 2*rate+1, at[j].Sub(at[i]), rate)
			}
		}
	})
}
