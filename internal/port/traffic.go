package port

// Traffic counts the bytes that a process sent and received in messages of one
// kind.
type Traffic struct {
	Kind string `json:"kind"`
	// In and Out are bytes since the process started.
	In  int64 `json:"in_bytes"`
	Out int64 `json:"out_bytes"`
}
