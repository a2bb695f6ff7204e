package gateway

import (
	"github.com/go-kit/log/level"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/coord/peering"
	"github.com/apricothub/apricothub/internal/experts"
)

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

// chooseSuccessor chooses the entry that takes over first when this one, the coordinator, falls silent.
// fence is zero if this entry does not coordinate.
func (c *control) chooseSuccessor(live []*api.PeerBeat, fence int64) {
	successor := ""
	if fence != 0 && c.g.settings.Bounds.RequireFencing {
		successor = peering.SelectSuccessor(c.self(c.g.view.Load().ready), live, c.successor)
	}
	if successor == c.successor {
		return
	}
	c.successor = successor
	c.peers.SetSuccessor(successor)
	_ = level.Info(c.logger).Log("msg", "The successor of the coordinator has changed.", "address", successor, "fence", fence)
}
