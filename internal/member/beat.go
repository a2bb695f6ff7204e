package member

import (
	"time"

	"github.com/apricothub/apricothub/api"
)

// idleFraction is the part of the freshness limit that may pass between two heartbeats of a
// link without work. Evidence of another process is then at most a third of the limit old
// before the next comes; its own may have been half old, by a read of the log that waited
// and the next one. Half of the limit, or one heartbeat a second at the usual settings,
// would let a process that cannot read the log fence itself by a delay of nothing.
const idleFraction = 3

// idleHeartbeatInterval returns the time between heartbeats on a link without work, a multiple of
// that on one with work.
func idleHeartbeatInterval(o *api.Links) time.Duration {
	interval := millis(o.GetHeartbeatMs())
	return max(1, millis(o.GetFreshnessMs())/idleFraction/interval) * interval
}

// changesHeartbeats says whether heartbeats say something else than they did in an older state. Peers
// then hear of it with the next tick, as if the links had work: a change is in force only
// once all have shown that they hold it, and a process that stops gets no new work.
func (s *State) changesHeartbeats(old *State) bool {
	return s.View.Applied() != old.View.Applied() || s.Mode != old.Mode || s.Draining != old.Draining || s.Linked != old.Linked
}
