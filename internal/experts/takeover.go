package experts

import (
	"github.com/go-kit/log/level"

	"github.com/apricothub/apricothub/coord/mapswitch"
	"github.com/apricothub/apricothub/internal/clock"
)

// takeOverTarget takes a version that an earlier coordinator has prepared on all ranks as target. Without
// this, the first map of a coordinator that takes over in the middle of a change waits for counts and
// copies, while every pass waits for a map that does not fit.
func (g *group) takeOverTarget(status []mapswitch.Status) {
	if g.hasTakenOver {
		return
	}
	g.hasTakenOver = true
	version := mapswitch.PreparedByAll(status)
	if version == 0 || g.targetVersion != 0 {
		return
	}
	g.targetVersion, g.targetSetAt = version, clock.Now()
	_ = level.Info(g.c.logger).Log("msg", "A map that an earlier coordinator has prepared is taken over.", "group", g.name, "epoch", g.epoch,
		"version", version, "fence", g.c.fence.Load())
}
