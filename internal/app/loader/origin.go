package loader

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/manifest"
	"github.com/masticwing/masticwing/internal/core/routes"
	"github.com/masticwing/masticwing/internal/port"
)

// originService returns the service of the origin, or an empty one if none is known.
func (v *view) originService() routes.Service {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.routeTable == nil {
		return routes.Service{}
	}
	for _, s := range v.routeTable.Services {
		if s.Origin != "" {
			return s
		}
	}
	return routes.Service{}
}

// originRate returns the capacity of the origin's link in bytes per second, or 0 if it
// is not known.
func (v *view) originRate() int64 { return v.originService().OriginBytesPerSecond }

// originAdapter implements port.Origin, whose versions are digests, with an origin
// that numbers its versions.
type originAdapter struct {
	view      *view
	newClient func(fleet.Address) port.NumberedOrigin

	mu          sync.Mutex // guards the following
	client      port.NumberedOrigin
	addr        fleet.Address
	resolved    []resolvedVersion
	unreachable bool
	// failedAt is the time of the last call that failed.
	failedAt time.Time
}

// resolvedVersion is a numbered version of a model's weights with its digest and its
// manifest.
type resolvedVersion struct {
	port.ModelWeights
	id  fleet.Version
	man manifest.Manifest
}

var _ port.Origin = (*originAdapter)(nil)

var errNoOrigin = errors.New("no origin is configured")

// currentClient returns a client for the configured address of the origin.
func (o *originAdapter) currentClient() (port.NumberedOrigin, error) {
	addr := o.view.originService().Origin
	if addr == "" {
		return nil, errNoOrigin
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.client == nil || o.addr != addr {
		o.client, o.addr = o.newClient(addr), addr
	}
	return o.client, nil
}

// versionName returns the name by which loaders identify numbered weights before they
// know the digest.
func versionName(w port.ModelWeights) fleet.Version {
	return fleet.Version(fmt.Sprintf("%s@%d", w.Model, w.Number))
}

// resolveManifest returns the manifest of numbered weights. Responses of the origin may
// be corrupted, so two of them have to agree.
func (o *originAdapter) resolveManifest(ctx context.Context, w port.ModelWeights) (manifest.Manifest, error) {
	c, err := o.currentClient()
	if err != nil {
		return manifest.Manifest{}, err
	}
	seen := map[fleet.Version]bool{}
	const attempts = 4 // if one response in 25 is corrupted, two of these agree
	for range attempts {
		wasDown := o.isDown()
		man, e := c.Manifest(ctx, w)
		o.logReachability(ctx, e)
		if errors.Is(e, port.ErrVersionUnknown) {
			return manifest.Manifest{}, e
		}
		if e != nil {
			err = e
			if wasDown {
				break // the next attempt follows after a pause
			}
			continue
		}
		id := man.Version()
		if man.Validate(id) == nil && seen[id] {
			return man, nil
		}
		seen[id] = true
	}
	if err == nil {
		err = errors.New("no two manifests from the origin agree")
	}
	return manifest.Manifest{}, err
}

// remember keeps a resolved version for later lookups.
func (o *originAdapter) remember(v resolvedVersion) {
	o.mu.Lock()
	defer o.mu.Unlock()
	const maxKept = 4 // more than are fetched at the same time
	o.resolved = append(o.resolved, v)
	o.resolved = o.resolved[max(0, len(o.resolved)-maxKept):]
}

// lookup returns a remembered version, or port.ErrVersionUnknown.
func (o *originAdapter) lookup(id fleet.Version) (resolvedVersion, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, v := range o.resolved {
		if v.id == id {
			return v, nil
		}
	}
	return resolvedVersion{}, port.ErrVersionUnknown
}

// lookupNumber returns a remembered version by its number.
func (o *originAdapter) lookupNumber(w port.ModelWeights) (resolvedVersion, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, v := range o.resolved {
		if v.ModelWeights == w {
			return v, true
		}
	}
	return resolvedVersion{}, false
}

// weightsNamed returns the remembered weights with a name.
func (o *originAdapter) weightsNamed(name fleet.Version) (port.ModelWeights, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, v := range o.resolved {
		if versionName(v.ModelWeights) == name {
			return v.ModelWeights, true
		}
	}
	return port.ModelWeights{}, false
}

// newestComplete returns the complete version of a model with the highest number above
// the given one.
func (o *originAdapter) newestComplete(m fleet.Model, above int64, complete func(fleet.Version) bool) (resolvedVersion, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	var best resolvedVersion
	for _, v := range o.resolved {
		if v.Model == m && v.Number > max(above, best.Number) && complete(v.id) {
			best = v
		}
	}
	return best, best.Number > 0
}

// Manifest implements port.Origin.
func (o *originAdapter) Manifest(_ context.Context, id fleet.Version) (manifest.Manifest, error) {
	v, err := o.lookup(id)
	return v.man, err
}

// Chunk implements port.Origin.
func (o *originAdapter) Chunk(ctx context.Context, id fleet.Version, i int) (io.ReadCloser, error) {
	v, err := o.lookup(id)
	if err != nil {
		return nil, err
	}
	c, err := o.currentClient()
	if err != nil {
		return nil, err
	}
	rc, err := c.Chunk(ctx, v.ModelWeights, i, v.man.Chunks[i].Bytes)
	o.logReachability(ctx, err)
	return rc, err
}

// maxFailureAge is the age up to which a failed call shows that the origin is down.
const maxFailureAge = 10 * time.Second

// isDown reports whether the last call to the origin failed, unless that is long ago.
func (o *originAdapter) isDown() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.unreachable && o.view.clock.Now().Sub(o.failedAt) < maxFailureAge
}

// logReachability logs when the origin stops responding and when it responds again. err
// is the result of a call.
func (o *originAdapter) logReachability(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	failed := err != nil && !errors.Is(err, port.ErrVersionUnknown)
	o.mu.Lock()
	changed := failed != o.unreachable
	o.unreachable = failed
	if failed {
		o.failedAt = o.view.clock.Now()
	}
	o.mu.Unlock()
	switch {
	case changed && failed:
		o.view.log.Failure("lost the origin", err)
	case changed:
		o.view.log.StateChange("regained the origin")
	}
}
