package gateway

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/coord/registry"
	"github.com/apricothub/apricothub/internal/clock"
	"github.com/apricothub/apricothub/internal/ranks"
	"github.com/apricothub/apricothub/internal/result"
	"github.com/apricothub/apricothub/platform"
)

const (
	// openCheckInterval is the time between two checks whether a group is open again.
	openCheckInterval = 150 * time.Millisecond
	// maxRefusingTime is how long a group counts as broken without an answer that it is open. It is
	// longer than ranks take to form a group; after that requests are sent again and show it.
	maxRefusingTime = 5 * time.Second
)

// markRefusing records that an engine with free slots has refused a request. It returns true if the
// caller must watch the service from now on; it gets no requests until clearRefusing is called.
//
// When a rank of a lock-step group crashes, or all of them after a power loss, every engine refuses
// until the group has formed again. Without this, each request would be sent to one engine after
// the other, refused by all, and out of attempts when the group is back a second later. Instead one
// engine is polled for its state, and the requests wait.
func (f *fleet) markRefusing(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.servers[id]
	if s == nil || s.service.Engine == nil || f.refusing[s.Service] || s.ownInFlight+s.othersInFlight >= s.Concurrency {
		return false
	}
	f.refusing[s.Service] = true
	f.updatePlacement(clock.Now())
	return true
}

// clearRefusing records that a service accepts work again.
func (f *fleet) clearRefusing(service string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.refusing, service)
	f.updatePlacement(clock.Now())
}

// watchRefusing polls an engine that refused a request until its group is open.
func (g *Gateway) watchRefusing(s registry.Server) {
	began := clock.Now()
	_ = level.Warn(g.logger).Log("msg", "A service refuses requests and gets none until its group is open.", "service", s.Service, "server", s.ID,
		"result", result.Label(api.ResultCode_SATURATED))
	isOpen := false
	for !isOpen && clock.Now()-began < maxRefusingTime {
		isOpen = g.isGroupOpen(s)
		if !isOpen {
			select {
			case <-time.After(openCheckInterval):
			case <-g.stopped:
				return
			}
		}
		if !g.fleet.isKnown(s.ID) {
			break
		}
	}
	g.fleet.clearRefusing(s.Service)
	_ = level.Info(g.logger).Log("msg", "A service that refused work was watched.", "service", s.Service, "server", s.ID,
		"open", isOpen, "took_ms", (clock.Now() - began).Milliseconds())
}

// isGroupOpen reports whether an engine's group is open. It asks the rank agent beside the engine,
// or the engine itself if the agent does not answer.
func (g *Gateway) isGroupOpen(s registry.Server) bool {
	ctx, cancel := context.WithTimeout(context.Background(), platform.EngineCallTimeout)
	defer cancel()
	rankAgent, err := ranks.AgentAddress(s.Address, g.settings.PeerPort)
	if err != nil {
		return true
	}
	reply, err := ranks.CallAgent(ctx, g.peerClient, rankAgent, &api.RankRequest{})
	if err != nil {
		reply = ranks.Execute(ctx, platform.NewEngine(s.Address, g.peerClient), &api.RankRequest{})
	}
	state := reply.GetState()
	return state != nil && (state.GetGroup() == "" || state.GetOpen())
}
