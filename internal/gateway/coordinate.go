package gateway

import (
	"time"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/internal/experts"
)

// coordinatorCandidates returns the other entries that may coordinate. Where engines compare
// fences, a silent coordinator is replaced early: if it is still alive, its orders are refused.
func (c *control) coordinatorCandidates(live []*api.PeerBeat, now time.Duration) []*api.PeerBeat {
	if c.g.settings.Bounds.RequireFencing {
		return c.peers.OnTime(now)
	}
	return live
}

// engines returns the engines that have experts. Engines that drain or whose failure domain is out
// are still ranks of their group.
func (c *control) engines() []experts.Engine {
	var engines []experts.Engine
	for _, e := range c.registry.Registrations() {
		service := c.table.Service(e.Service)
		if service == nil || service.Engine == nil || service.Engine.Experts == 0 {
			continue
		}
		engines = append(engines, experts.Engine{ID: e.ID, Address: e.Address, Config: service.Engine, MaxPause: c.table.MaxPause(e.Service)})
	}
	return engines
}

// reportedImpairments returns the backend servers that are slow or closed, as the coordinator
// reports them.
func (c *control) reportedImpairments(live []*api.PeerBeat) map[string]experts.Impairment {
	if c.g.experts.Fence() != 0 {
		return c.g.experts.Impairments()
	}
	impairments := make(map[string]experts.Impairment)
	for _, b := range live {
		for _, p := range b.GetPaces() {
			impairments[p.GetId()] = experts.Impairment{Slowdown: float64(p.GetPace()), Closed: p.GetClosed()}
		}
	}
	return impairments
}
