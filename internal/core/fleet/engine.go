package fleet

// EngineIdentity identifies the state of an engine's caches. After a change,
// the engine can take no more load than a cold one.
type EngineIdentity struct {
	// BootID changes when the engine restarts.
	BootID string
	// LoadCount increases whenever weights are loaded or the caches are lost.
	LoadCount int64
}
