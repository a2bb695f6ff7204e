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
	// shutEach is the time between two questions whether a group is open again.
	shutEach = 150 * time.Millisecond
	// shutMost is how long a group counts as broken without a word of it: longer than ranks
	// take to form a group, after which requests tell.
	shutMost = 5 * time.Second
)

// shed says that an engine with room has refused a request. It returns true when its service
// is to be watched from now on, and gets nothing until then.
//
// Load: a rank of a lock-step group that crashes, or all of them after a loss of power: every
// engine refuses until the group has formed again. Harm prevented: each request is sent to
// one engine after the other, refused by all, and out of attempts when the group is back a
// second later. One engine is asked how it is instead, and the requests wait.
func (f *fleet) shed(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.servers[id]
	if s == nil || s.service.Engine == nil || f.shut[s.Service] || s.own+s.others >= s.Concurrency {
		return false
	}
	f.shut[s.Service] = true
	f.refresh(clock.Now())
	return true
}

// opened says that a service takes work again.
func (f *fleet) opened(service string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.shut, service)
	f.refresh(clock.Now())
}

// watch asks an engine that refused a request until its group is open.
func (g *Gateway) watch(s registry.Server) {
	began := clock.Now()
	_ = level.Warn(g.logger).Log("msg", "A service refuses work and gets none until it is open.", "service", s.Service, "server", s.ID,
		"result", result.Label(api.ResultCode_SATURATED))
	open := false
	for !open && clock.Now()-began < shutMost {
		open = g.open(s)
		if !open {
			select {
			case <-time.After(shutEach):
			case <-g.stopped:
				return
			}
		}
		if !g.fleet.known(s.ID) {
			break
		}
	}
	g.fleet.opened(s.Service)
	_ = level.Info(g.logger).Log("msg", "A service that refused work was watched.", "service", s.Service, "server", s.ID,
		"open", open, "took_ms", (clock.Now() - began).Milliseconds())
}

// open says whether an engine's group is open, by the process beside it, or by the engine
// itself when that does not answer.
func (g *Gateway) open(s registry.Server) bool {
	ctx, cancel := context.WithTimeout(context.Background(), platform.EngineTime)
	defer cancel()
	beside, err := ranks.AgentAddress(s.Address, g.settings.PeerPort)
	if err != nil {
		return true
	}
	reply, err := ranks.CallAgent(ctx, g.peerClient, beside, &api.RankRequest{})
	if err != nil {
		reply = ranks.Execute(ctx, platform.NewEngine(s.Address, g.peerClient), &api.RankRequest{})
	}
	state := reply.GetState()
	return state != nil && (state.GetGroup() == "" || state.GetOpen())
}
