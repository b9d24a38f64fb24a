package port

// Traffic is what a process sent and received of one kind of message.
type Traffic struct {
	Kind string `json:"kind"`
	// In and Out are bytes since the process started.
	In  int64 `json:"in_bytes"`
	Out int64 `json:"out_bytes"`
}
