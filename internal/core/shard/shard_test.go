package shard

import (
	"testing"

	"github.com/sourcegraph/conc"
	"pgregory.net/rapid"
)

// TestMapMatchesModel guards against writing a key to one shard and reading it
// from another.
func TestMapMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := New[int, int](rapid.IntRange(0, 9).Draw(t, "shards"))
		model := map[int]int{}
		t.Repeat(map[string]func(*rapid.T){
			"put": func(t *rapid.T) {
				k, v := rapid.IntRange(0, 20).Draw(t, "k"), rapid.Int().Draw(t, "v")
				m.Put(k, v)
				model[k] = v
			},
			"delete": func(t *rapid.T) {
				k := rapid.IntRange(0, 20).Draw(t, "k")
				_, had := model[k]
				if m.Delete(k) != had {
					t.Fatalf("Delete(%d) does not match the model", k)
				}
				delete(model, k)
			},
			"": func(t *rapid.T) {
				if m.Len() != len(model) {
					t.Fatalf("Len = %d, model has %d", m.Len(), len(model))
				}
				for k, v := range model {
					if got, ok := m.Get(k); !ok || got != v {
						t.Fatalf("Get(%d) = %d, %v; want %d", k, got, ok, v)
					}
				}
			},
		})
	})
}

// TestUpdateIsAtomic guards against lost updates by concurrent goroutines.
func TestUpdateIsAtomic(t *testing.T) {
	const workers, rounds = 8, 500
	m := New[string, int](4)
	var wg conc.WaitGroup
	for range workers {
		wg.Go(func() {
			for range rounds {
				m.Update("k", func(v int, _ bool) (int, bool) { return v + 1, true })
			}
		})
	}
	wg.Wait()
	if v, _ := m.Get("k"); v != workers*rounds {
		t.Fatalf("count = %d, want %d", v, workers*rounds)
	}
}
