package gateway

import (
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/internal/experts"
	"github.com/apricothub/apricothub/internal/routing"
)

// view is the state that requests are served by. It is immutable: the control goroutine replaces it
// with a new one.
type view struct {
	// table is nil until the configuration is known.
	table *routing.Table
	// addresses are where callers may connect, of all entries that serve.
	addresses []string
	// entries is the number of live entries, this one included.
	entries int
	// ready means that this entry accepts new connections.
	ready bool
	// isCoordinator means that this entry is to coordinate the expert maps; engines are the engines
	// that have experts.
	isCoordinator bool
	// takenOver means that another entry coordinates with a higher fence.
	takenOver bool
	engines   []experts.Engine
	// configAt is when the configuration was last known to be the newest, serversAt when the
	// registrations were.
	configAt, serversAt time.Duration
}

// maxMembersWait is how long a new process waits at most for the list of entries, from the store or from
// another entry, once it may ask the store. Three heartbeats of the others are enough to hear of each
// entry: a heartbeat names eight.
const maxMembersWait = 500 * time.Millisecond

// servingTable returns the configuration to serve by, nil for none yet.
//
// When all entries are killed at once and start again, each would take itself for the only one, and
// send servers with little capacity the retries and connections that all entries together may. So
// an entry serves nothing until it knows which entries there may be.
func (c *control) servingTable(now time.Duration) *routing.Table {
	if !c.peers.MembersKnown() && now-c.startup.startedAt < c.startup.delay+maxMembersWait {
		return nil
	}
	return c.table
}

// publishView publishes the view that requests are served by.
func (c *control) publishView(live []*api.PeerBeat, now time.Duration) {
	table := c.servingTable(now)
	ready := table != nil && !c.g.leaving.Load() && c.g.fleet.hasUsableServer()
	v := &view{
		table: table, entries: len(live) + 1, ready: ready,
		configAt: c.operatorsAt, serversAt: c.serversAt,
	}
	for _, b := range live {
		if b.GetServing() {
			v.addresses = append(v.addresses, b.GetCallersAddress())
		}
	}
	self := c.self(ready)
	v.isCoordinator = c.peers.Coordinates(self, c.g.settings.Bounds.RequireFencing, now)
	for _, b := range live {
		v.takenOver = v.takenOver || b.GetFence() > self.GetFence()
	}
	if table != nil && (v.isCoordinator || self.GetFence() != 0) {
		v.engines = c.engines()
	}
	if ready {
		v.addresses = append(v.addresses, c.g.settings.Listen.Callers)
	}
	old := c.g.view.Load()
	if old == nil || old.ready != ready {
		_ = level.Info(c.logger).Log("msg", "Readiness has changed.", "ready", ready, "config_known", table != nil,
			"leaving", c.g.leaving.Load(), "servers_usable", c.g.fleet.hasUsableServer())
		c.heartbeatDue = true
	}
	if old == nil || !slices.Equal(old.addresses, v.addresses) {
		_ = level.Info(c.logger).Log("msg", "The entries that serve have changed.", "addresses", len(v.addresses), "live", v.entries)
	}
	c.g.view.Store(v)
	if ready && !c.isStarted {
		c.isStarted = true
		close(c.g.started)
	}
}

// self returns what this entry tells others of itself that they choose entries by.
func (c *control) self(serving bool) *api.PeerBeat {
	return &api.PeerBeat{
		Ip: c.g.settings.IP, FailureDomain: c.g.settings.FailureDomain, Capacity: capacityOf(c.g.settings),
		Serving: serving, Leaving: c.g.leaving.Load(), Fence: c.g.experts.Fence(),
	}
}
