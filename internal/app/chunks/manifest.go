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
	// manifestRetryTime is how long reachable members are asked again at most. Meanwhile
	// the first member requests two manifests from the origin; if all members did, the
	// manifests would take half a second of the origin's link.
	manifestRetryTime = 1500 * time.Millisecond
	// headRetryTime is the same for the head of a region, and rankRetryTime is added for
	// each member before the asking one: the first member, which needs 0.15 s for the
	// manifest, may be the last to learn of the version.
	headRetryTime = 250 * time.Millisecond
	rankRetryTime = 350 * time.Millisecond
	// manifestTimeout bounds one request, which the other member may hold for
	// longPollTime.
	manifestTimeout = longPollTime + 250*time.Millisecond
)

// FindManifest asks other members for the manifest of a version by its name. It
// returns false if the caller has to ask the origin.
func (f *Fetcher) FindManifest(ctx context.Context, name fleet.Version) (manifest.Manifest, bool) {
	start := f.deps.Clock.Now()
	for ctx.Err() == nil {
		sources, rank := chain.ManifestSources(f.settings.Self, f.deps.Members())
		left := f.manifestWait(len(sources), rank) - f.deps.Clock.Now().Sub(start)
		if left <= 0 {
			break
		}
		man, err := f.manifestFromMembers(ctx, sources[:min(maxManifestSources, len(sources))], name, left)
		if err == nil {
			return man, true
		}
		if !errors.Is(err, port.ErrManifestUnknown) {
			break
		}
	}
	return manifest.Manifest{}, false
}

// manifestWait returns how long members are asked for a manifest before the origin is, by the number
// of members before this one and its rank in the region. While the origin is down the first of all
// tries it, and few others in case that one can't reach it: if each of 97 members tried it every
// second or two, their requests would take the first 0.5 s of its link after its return.
func (f *Fetcher) manifestWait(sources, rank int) time.Duration {
	if f.deps.OriginDown != nil && f.deps.OriginDown() {
		switch {
		case sources == 0:
			return 0
		case rank > 0:
			return time.Duration(min(rank, maxDownRank)) * downRankRetryTime
		}
	}
	return min(headRetryTime+time.Duration(rank)*rankRetryTime, manifestRetryTime)
}

const (
	// downRankRetryTime is the time for each member of the region before the asking one while the
	// origin is down, up to maxDownRank of them.
	downRankRetryTime = time.Second
	maxDownRank       = 5
)

// IsFirst reports whether this member is the first of all to ask the origin for manifests.
func (f *Fetcher) IsFirst() bool {
	sources, _ := chain.ManifestSources(f.settings.Self, f.deps.Members())
	return len(sources) == 0
}

var errNoMembers = errors.New("no member can be reached")

// manifestFromMembers asks members one after the other, for the time left. It returns
// port.ErrManifestUnknown if a member may have the manifest later.
func (f *Fetcher) manifestFromMembers(ctx context.Context, ms []chain.Member, name fleet.Version, left time.Duration) (manifest.Manifest, error) {
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	result := errNoMembers
	for _, m := range ms {
		man, err := f.requestManifest(ctx, m, name)
		if err == nil {
			return man, nil
		}
		if errors.Is(err, port.ErrManifestUnknown) {
			result = err
		}
	}
	return manifest.Manifest{}, result
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
