package enginehttp

import (
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/verdict"
	"github.com/masticwing/masticwing/internal/port"
)

// An engine that checks the identity states it as the entity tag of its status,
// and takes it as the precondition of a request (RFC 9110, If-Match and 412).
const (
	tagHeader          = "ETag"
	preconditionHeader = "If-Match"
)

// entityTag returns the strong entity tag "BOOT/LOADS" of an identity.
func entityTag(id fleet.EngineIdentity) string {
	return `"` + url.PathEscape(id.BootID) + "/" + strconv.FormatInt(id.LoadCount, 10) + `"`
}

// parseTag returns the identity that an entity tag names, or zero.
func parseTag(tag string) fleet.EngineIdentity {
	boot, loads, _ := strings.Cut(strings.Trim(tag, `"`), "/")
	id, err := url.PathUnescape(boot)
	if err != nil {
		return fleet.EngineIdentity{}
	}
	n, err := strconv.ParseInt(loads, 10, 64)
	if err != nil {
		return fleet.EngineIdentity{}
	}
	return fleet.EngineIdentity{BootID: id, LoadCount: n}
}

// changed returns the refusal of an engine that is not the one expected.
func changed(resp *http.Response) *verdict.Error {
	cause := &port.EngineChangedError{Now: parseTag(resp.Header.Get(tagHeader))}
	return verdict.Wrap(cause, verdict.NotRun, verdict.CodeTargetWarming, "engine: %s", describe(resp))
}
