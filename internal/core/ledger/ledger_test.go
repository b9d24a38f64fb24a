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

func uuidV7At(t time.Time, tail int) string {
	ms := fmt.Sprintf("%012x", t.UnixMilli())
	return fmt.Sprintf("%s-%s-7000-8000-%012x", ms[:8], ms[8:], tail)
}

// TestParseKey guards against accepting a key whose record may have expired,
// and against treating two spellings of a key as different keys.
func TestParseKey(t *testing.T) {
	now := time.UnixMilli(1_800_000_000_000)
	for _, c := range []struct {
		key  string
		want verdict.Code
		v    verdict.Verdict
	}{
		{"", verdict.CodeKeyRequired, verdict.NotRun},
		{"not a key", verdict.CodeBadRequest, verdict.NotRun},
		{strings.Replace(uuidV7At(now, 1), "-7", "-4", 1), verdict.CodeBadRequest, verdict.NotRun},
		{strings.Replace(uuidV7At(now, 1), "-8", "-c", 1), verdict.CodeBadRequest, verdict.NotRun},
		{strings.Replace(uuidV7At(now, 1), "-", "_", 1), verdict.CodeBadRequest, verdict.NotRun},
		{"{" + uuidV7At(now, 1)[1:], verdict.CodeBadRequest, verdict.NotRun},
		{uuidV7At(now.Add(MaxSkew+time.Millisecond), 1), verdict.CodeBadRequest, verdict.NotRun},
		{uuidV7At(now.Add(MaxSkew), 1), "", 0},
		{uuidV7At(now.Add(-testWindow), 1), "", 0},
		{uuidV7At(now.Add(-testWindow-time.Millisecond), 1), verdict.CodeKeyExpired, verdict.MayHaveRun},
	} {
		_, err := ParseKey("nursery", "c", c.key, now, testWindow)
		switch {
		case err == nil && c.want != "":
			t.Errorf("%q accepted, want %s", c.key, c.want)
		case err != nil && (err.Code != c.want || err.Verdict != c.v):
			t.Errorf("%q: %v, want %s (%s)", c.key, err, c.want, c.v)
		}
	}
	key := uuidV7At(now, 0xabcdef)
	a, _ := ParseKey("nursery", "c", key, now, testWindow)
	b, _ := ParseKey("nursery", "c", strings.ToUpper(key), now, testWindow)
	if a != b || a.Partition != Partition("c", strings.ToUpper(key)) {
		t.Errorf("%v and %v differ by case", a, b)
	}
	if got, want := a.Document().String(), fmt.Sprintf("ledger/nursery/%d/30000000", a.Partition); got != want {
		t.Errorf("document %q, want %q", got, want)
	}
}

// TestPartitionValues guards against a change of the hash. Two program versions
// would then look for a record in different documents.
func TestPartitionValues(t *testing.T) {
	const key = "01890a5d-ac96-774b-bcce-b302099a8057"
	// Computed by an independent implementation of FNV-1a 64.
	if a, b := Partition("resort-north", key), Partition("crew-7", key); a != 4 || b != 14 {
		t.Errorf("partitions %d and %d, want 4 and 14", a, b)
	}
}

func drawRecords(t *rapid.T, label string) Records {
	return rapid.MapOf(
		rapid.Custom(func(t *rapid.T) KeyHash { return KeyHash{rapid.Byte().Draw(t, "k") % 8} }),
		rapid.Custom(func(t *rapid.T) Record {
			return Record{Attempt{rapid.Byte().Draw(t, "a") % 4}, State(rapid.IntRange(1, 3).Draw(t, "s"))}
		})).Draw(t, label)
}

// TestMerge guards against a merge that loses a record or reverts the end of an
// attempt.
func TestMerge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		known, fetched := drawRecords(t, "known"), drawRecords(t, "fetched")
		merged := Merge(known, fetched)
		for k, r := range known {
			f, both := fetched[k]
			if got := merged[k]; !both && got != r || both && r.State == Done && f.Attempt == r.Attempt && got != r {
				t.Fatalf("known %v fetched %v merged %v", r, f, got)
			}
		}
		for k, f := range fetched {
			if merged[k].Attempt != f.Attempt {
				t.Fatalf("merge kept %v over %v", merged[k], f)
			}
		}
	})
}

// TestKeyExpiresDuringWrite guards against a second run after a process was
// paused until the earlier records of the key had expired, so that its write
// met no conflict.
func TestKeyExpiresDuringWrite(t *testing.T) {
	now := time.UnixMilli(1_800_000_000_000)
	k, _ := ParseKey("nursery", "c", uuidV7At(now, 1), now, testWindow)
	table, name := NewTable(testWindow), k.Document()
	table.Submit(k, Attempt{1}, now)
	table.ReadSucceeded(name, nil, 0, now)
	table.PrepareWrite(name, now)
	out := table.WriteSucceeded(name, 1, now.Add(testWindow+time.Second))
	if len(out) != 1 || out[0].Decision != Expired || out[0].Decision.Err().Verdict != verdict.MayHaveRun {
		t.Errorf("outcomes %v, want expired", out)
	}
}

// TestResponseCacheEviction guards against a cache that exceeds its size, and
// against evicting a response that is not the least recently used one.
func TestResponseCacheEviction(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const size, capacity = 1000, 5
		cache := NewResponseCache[int](capacity * (size + responseOverhead))
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
				if _, ok := cache.Get(k); ok {
					touch(n)
				}
			} else {
				cache.Put(k, n, size)
				touch(n)
			}
			order = order[max(0, len(order)-capacity):]
			if cache.Bytes() != int64(len(order)*(size+responseOverhead)) {
				t.Fatalf("%d bytes charged for %d responses", cache.Bytes(), len(order))
			}
		}
		for _, n := range order {
			if v, ok := cache.Get(Key{Service: "s", Hash: KeyHash{byte(n)}, Partition: n % Partitions}); !ok || v != n {
				t.Fatalf("response %d was evicted; expected in the cache: %v", n, order)
			}
		}
	})
}

// TestWriteLimiterRate guards against more writes than the configured rate
// allows.
func TestWriteLimiterRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.IntRange(1, 50).Draw(t, "rate")
		limiter, now := NewWriteLimiter(float64(rate)), time.Unix(1000, 0)
		var writes []time.Time
		for range rapid.IntRange(1, 200).Draw(t, "n") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			writes = append(writes, now.Add(limiter.Reserve(now)))
		}
		for i := range writes {
			if j := i + 2*rate; j < len(writes) && writes[j].Sub(writes[i]) < time.Second {
				t.Fatalf("%d writes within %v at %d/s", 2*rate+1, writes[j].Sub(writes[i]), rate)
			}
		}
	})
}
