package fleet

// EngineIdentity tells one state of an engine's caches from another. Once it
// differs, the engine bears no more than a cold one.
type EngineIdentity struct {
	// BootID changes when the engine restarts.
	BootID string
	// LoadCount rises with each load of weights and each loss of the caches.
	LoadCount int64
}
