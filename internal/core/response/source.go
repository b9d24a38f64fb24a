package response

import (
	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/verdict"
)

// statusOK is the HTTP status of every stream.
const statusOK = 200

// Source is what a target states about its response before the data.
type Source struct {
	Request fleet.RequestID
	// Version is the version of the model that produces the response.
	Version fleet.Version
	// Status is the HTTP status, or 0 if the target states none.
	Status int
	// Replayed marks a stored response.
	Replayed bool
	// Start is the number of frames of the whole response that come before this one.
	Start uint64
}

// CheckRequest returns an error if the response belongs to another request than id.
func (s Source) CheckRequest(id fleet.RequestID) *verdict.Error {
	if s.Request == id {
		return nil
	}
	return broken("answer belongs to request %q", s.Request)
}

// CheckStream returns an error unless the response is the stream of one run of a model.
// An error page or a stored response is not: the caller gets every stream with status
// 200, and another target may have to continue it.
func (s Source) CheckStream() *verdict.Error {
	switch {
	case s.Version == "":
		return broken("answer does not name its version")
	case s.Status != 0 && s.Status != statusOK:
		return broken("answer of a model has status %d", s.Status)
	case s.Replayed:
		return broken("answer of a model is a stored one")
	}
	return nil
}

// CheckVersion returns an error unless the response comes from version v.
func (s Source) CheckVersion(v fleet.Version) *verdict.Error {
	if s.Version == v {
		return nil
	}
	return verdict.New(verdict.MayHaveRun, verdict.CodeVersionMismatch, "answer is from version %q, expected %q", s.Version, v)
}

// CheckStart returns an error unless the response goes on after the first n frames, which
// the caller already has. A new response has none before it.
func (s Source) CheckStart(n uint64) *verdict.Error {
	if s.Start == n {
		return nil
	}
	return broken("answer starts at frame %d, expected %d", s.Start, n)
}

func broken(format string, args ...any) *verdict.Error {
	return verdict.New(verdict.MayHaveRun, verdict.CodeBrokenAnswer, format, args...)
}
