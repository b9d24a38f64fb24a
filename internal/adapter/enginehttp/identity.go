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

// An engine that checks identities sends its own as the entity tag of its status. A
// request may name the expected identity in If-Match; if the engine has another, it
// responds with 412 (RFC 9110).
const (
	etagHeader    = "ETag"
	ifMatchHeader = "If-Match"
)

// entityTag returns the strong entity tag "BOOT/LOADS" of an identity.
func entityTag(id fleet.EngineIdentity) string {
	return `"` + url.PathEscape(id.BootID) + "/" + strconv.FormatInt(id.LoadCount, 10) + `"`
}

// parseEntityTag returns the identity in an entity tag, or zero if the tag is not
// valid.
func parseEntityTag(tag string) fleet.EngineIdentity {
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

// engineChanged returns the error for an engine that has another identity than
// expected.
func engineChanged(resp *http.Response) *verdict.Error {
	cause := &port.EngineChangedError{Now: parseEntityTag(resp.Header.Get(etagHeader))}
	return verdict.Wrap(cause, verdict.NotRun, verdict.CodeTargetWarming, "engine: %s", statusText(resp))
}
