package gateway

import (
	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/placement"
	"github.com/masticwing/masticwing/internal/port"
)

// announcementSource tells from whom a gateway learned that a target leaves.
type announcementSource string

const (
	fromTarget announcementSource = "target"
	fromLoader announcementSource = "loader"
)

// recordAnnouncement records what a target has stated in a response about further requests.
func (g *Gateway) recordAnnouncement(choice placement.Choice, a port.TargetAnnouncement) {
	if a.Leaving {
		g.recordLeaving(choice.Instance, choice.Started, fromTarget)
	}
	if a.PauseText == "" {
		return
	}
	// Requests that were on their way get the same answer; one line is enough for them.
	if g.targets.RecordPause(choice.Instance, choice.Started, a.Pause, a.Adjusted, g.deps.Clock.Now()) {
		g.deps.Metrics.Count("gateway_target_pauses_total", 1)
		g.deps.Log.StateChange("target asks for a pause", port.F("target", string(choice.Instance)),
			port.F("stated", a.PauseText), port.Millis("pause_ms", a.Pause), port.F("adjusted", a.Adjusted))
	}
}

// recordLeaving records that a start of a target has announced that it leaves.
func (g *Gateway) recordLeaving(id fleet.Instance, started int64, source announcementSource) {
	if g.targets.RecordLeaving(id, started, g.deps.Clock.Now()) {
		g.deps.Metrics.Count("gateway_targets_leaving_total", 1, port.Attr{Key: "source", Value: string(source)})
		g.deps.Log.StateChange("target announces that it leaves", port.F("target", string(id)), port.F("source", string(source)))
	}
}
