package eviction

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestOrder guards against a caller that loses its connection although another one needs its own less, and
// against requests that have no time to arrive.
func TestOrder(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(d time.Duration) time.Time { return start.Add(d) }
	q := New[string]()
	q.Add(Unfinished, "unfinished", at(0))
	q.Add(Idle, "idle", at(1))
	q.Add(Idle, "idle later", at(2))
	q.Add(Answered, "answered", at(3))
	gone := q.Add(Answered, "gone", at(4))
	q.Remove(gone)
	q.Remove(gone)
	q.Remove(nil)
	for _, want := range []string{"answered", "idle", "idle later"} {
		if got, ok := q.Next(at(5)); !ok || got != want {
			t.Errorf("%q, %v is given up, want %q", got, ok, want)
		}
	}
	if got, ok := q.Next(at(MinUnfinished - 1)); ok {
		t.Errorf("%q is given up before its request has had time to arrive", got)
	}
	if got, ok := q.Next(at(MinUnfinished)); !ok || got != "unfinished" {
		t.Errorf("%q, %v is given up, want the unfinished request", got, ok)
	}
	if got, ok := q.Next(at(time.Hour)); ok {
		t.Errorf("%q is given up twice", got)
	}
}

// TestOldestFirst guards against an entry that is returned after a younger one, twice, or after its removal.
func TestOldestFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q, now := New[int](), time.Unix(1000, 0)
		var entries []*Entry[int]
		held := map[int]bool{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Millisecond)
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				held[len(entries)] = true
				entries = append(entries, q.Add(Idle, len(entries), now))
			case 1:
				if len(entries) > 0 {
					i := rapid.IntRange(0, len(entries)-1).Draw(t, "entry")
					q.Remove(entries[i])
					delete(held, i)
				}
			default:
				oldest := -1
				for i := range entries {
					if held[i] {
						oldest = i
						break
					}
				}
				got, ok := q.Next(now)
				if ok != (oldest >= 0) || ok && got != oldest {
					t.Fatalf("%d, %v is given up, want %d", got, ok, oldest)
				}
				delete(held, oldest)
			}
		}
	})
}

// TestOrdinaryRequestsPassCrowd plays callers that come back at once whenever they are cut off and never
// finish a request, several times as many as there may be connections. It guards against ordinary callers,
// whose requests take some milliseconds to arrive, that find no connection or lose it.
func TestOrdinaryRequestsPassCrowd(t *testing.T) {
	const (
		connections, crowd = 245, 1600
		sendTime           = 5 * time.Millisecond
		returnTime         = 200 * time.Millisecond
		step               = time.Millisecond
	)
	q, now := New[int](), time.Unix(1000, 0)
	open := 0
	// returnAt is when a caller of the crowd connects next; ordinary callers have negative numbers.
	returnAt := map[time.Time][]int{}
	for i := range crowd {
		at := now.Add(time.Duration(i%200) * step)
		returnAt[at] = append(returnAt[at], i)
	}
	lost, refused, served := 0, 0, 0
	arrived := map[time.Time]*Entry[int]{}
	accept := func(caller int) *Entry[int] {
		if open >= connections {
			evicted, ok := q.Next(now)
			switch {
			case !ok && caller < 0:
				refused++
				return nil
			case !ok:
				returnAt[now.Add(returnTime)] = append(returnAt[now.Add(returnTime)], caller)
				return nil
			case evicted < 0:
				lost++
			default:
				returnAt[now.Add(returnTime)] = append(returnAt[now.Add(returnTime)], evicted)
			}
			open--
		}
		open++
		return q.Add(Unfinished, caller, now)
	}
	for n := range 10_000 {
		now = now.Add(step)
		if e := arrived[now]; e != nil && e.position != nil {
			q.Remove(e)
			open--
			served++
		}
		for _, caller := range returnAt[now] {
			accept(caller)
		}
		delete(returnAt, now)
		if n > 1000 && n%20 == 0 {
			if e := accept(-1); e != nil {
				arrived[now.Add(sendTime)] = e
			}
		}
	}
	t.Logf("%d served, %d refused, %d lost", served, refused, lost)
	if all := served + refused + lost; lost > 0 || served*10 < all*9 {
		t.Errorf("of %d ordinary requests %d are refused and %d are lost", all, refused, lost)
	}
}
