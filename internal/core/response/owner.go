package response

import "github.com/masticwing/masticwing/internal/core/fleet"

// Received is what shows to which request a response belongs that arrived on a
// connection with one request waiting.
type Received struct {
	// RequestIDs are the ids of requests that the response states. Empty ones count as
	// not stated.
	RequestIDs []string
	// Reused means that the connection has carried another request before.
	Reused bool
}

// Answers reports whether the response certainly belongs to the request id. A faulty
// target may send a response once more when the next one is due, so that a response
// without an id, such as a refusal, proves nothing on a connection that is used again. On
// a new connection there is no earlier response.
func (r Received) Answers(id fleet.RequestID) bool {
	stated := false
	for _, s := range r.RequestIDs {
		if s == "" {
			continue
		}
		if s != string(id) {
			return false
		}
		stated = true
	}
	return stated || !r.Reused
}
