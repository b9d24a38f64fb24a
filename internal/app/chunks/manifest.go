package chunks

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/masticwing/masticwing/internal/core/chain"
	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/manifest"
	"github.com/masticwing/masticwing/internal/port"
)

// Manifest implements port.PeerHandler. It waits up to longPollTime for an unknown
// version, since members learn of a version some milliseconds apart.
func (f *Fetcher) Manifest(id fleet.Version) (manifest.Manifest, bool) {
	v := f.awaitVersion(context.Background(), id)
	if v == nil {
		return manifest.Manifest{}, false
	}
	return v.man, true
}

const (
	// maxManifestSources bounds the members that are asked for a manifest.
	maxManifestSources = 2
	// manifestRetryTime is how long reachable members are asked again. Meanwhile the
	// first member requests two manifests from the origin; if all members did, the
	// manifests would take half a second of the origin's link.
	manifestRetryTime = 1500 * time.Millisecond
	// manifestTimeout bounds one request, which the other member may hold for
	// longPollTime.
	manifestTimeout = longPollTime + 250*time.Millisecond
)

// FindManifest asks other members for the manifest of a version by its name. It
// returns false if the caller has to ask the origin.
func (f *Fetcher) FindManifest(ctx context.Context, name fleet.Version) (manifest.Manifest, bool) {
	deadline := f.deps.Clock.Now().Add(manifestRetryTime)
	for ctx.Err() == nil && f.deps.Clock.Now().Before(deadline) {
		sources := chain.ManifestSources(f.settings.Self, f.deps.Members())
		pending := false
		for _, m := range sources[:min(maxManifestSources, len(sources))] {
			man, err := f.requestManifest(ctx, m, name)
			if err == nil {
				return man, true
			}
			pending = pending || errors.Is(err, port.ErrManifestUnknown)
		}
		if !pending {
			break
		}
	}
	return manifest.Manifest{}, false
}

func (f *Fetcher) requestManifest(ctx context.Context, m chain.Member, name fleet.Version) (manifest.Manifest, error) {
	ctx, cancel := context.WithTimeout(ctx, manifestTimeout)
	defer cancel()
	man, err := f.deps.Peers.Manifest(ctx, m.Address, name)
	if err != nil {
		return manifest.Manifest{}, err
	}
	return man, man.Validate(man.Version())
}
