package member

import (
	"time"

	"github.com/apricothub/apricothub/api"
)

// idleIntervalDivisor divides the freshness limit to get the time that may pass between two
// heartbeats of a link without work. Evidence from another process is then at most a third of the
// limit old when the next heartbeat arrives, on top of its age at the sender, which may be half of
// the limit: a read of the log that waited, and the next one. With half of the limit, or with one
// heartbeat a second at the default settings, a process that cannot read the log would fence itself
// after the slightest delay.
const idleIntervalDivisor = 3

// idleHeartbeatInterval returns the time between heartbeats on a link without work, a multiple of
// the interval on a link with work.
func idleHeartbeatInterval(o *api.Links) time.Duration {
	interval := millis(o.GetHeartbeatMs())
	return max(1, millis(o.GetFreshnessMs())/idleIntervalDivisor/interval) * interval
}

// changesHeartbeats reports whether heartbeats carry something else than in an older state. They
// are then sent at the next tick, as on links with work: a change is in force only once all members
// have shown that they hold it, and a process that stops must get no new work.
func (s *State) changesHeartbeats(old *State) bool {
	return s.View.Applied() != old.View.Applied() || s.Mode != old.Mode || s.Draining != old.Draining || s.Linked != old.Linked
}
