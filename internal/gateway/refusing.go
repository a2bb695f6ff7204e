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
	// maxUnconfirmedTime is how long this process waits at most until an engine says that its group is
	// open. By then the coordinator reports which engines are closed.
	maxUnconfirmedTime = 2 * time.Second
	// refusalHold is how long an engine that has refused a request gets none, where its service has several
	// groups. By then the coordinator reports all engines of its group as closed.
	refusalHold = time.Second
	// maxReportWait is how long a request that an engine has refused waits for that report before it goes to
	// another engine, which may be of the same group: with few attempts a second refusal is the last.
	maxReportWait = 400 * time.Millisecond
	// minSeveralGroups is the ratio of a service's engines to the size of a group from which on it has
	// several groups, also while some engines are gone.
	minSeveralGroups = 1.5
)

// markRefusing records that an engine with free slots has refused a request. It returns true if the
// caller must watch the service from now on; it gets no requests until clearRefusing is called.
//
// When a rank of a lock-step group crashes, or all of them after a power loss, every engine refuses
// until the group has formed again. Without this, each request would be sent to one engine after
// the other, refused by all, and out of attempts when the group is back a second later. Instead one
// engine is polled for its state, and the requests wait.
//
// Where a service has several groups, the others still serve, and only the engine itself gets no requests.
func (f *fleet) markRefusing(id string, now time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.servers[id]
	if s == nil || s.service.Engine == nil || f.refusing[s.Service] || s.ownInFlight+s.othersInFlight >= s.Concurrency {
		return false
	}
	if f.hasSeveralGroups(s.Service) {
		s.refusedAt, s.hasRefused = now, true
		_ = level.Warn(f.logger).Log("msg", "An engine refuses requests and gets none for a while; other groups of its service go on.",
			"service", s.Service, "server", id, "result", result.Label(api.ResultCode_SATURATED))
		f.updatePlacement(now)
		return false
	}
	f.refusing[s.Service] = true
	f.updatePlacement(now)
	return true
}

// noteGroupSize records the size of the groups of a service, as an engine reports it; zero for unknown.
func (f *fleet) noteGroupSize(service string, size int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if size > 0 {
		f.groupSizes[service] = size
	}
}

// hasSeveralGroups reports whether the engines of a service form several groups. The caller holds the lock.
func (f *fleet) hasSeveralGroups(service string) bool {
	size := f.groupSizes[service]
	if size == 0 {
		return false
	}
	engines := 0
	for _, s := range f.servers {
		if s.Service == service && !s.isLeaving {
			engines++
		}
	}
	return float64(engines) >= minSeveralGroups*float64(size)
}

// isRefusing reports whether the server has refused a request lately and its group may be broken.
func (s *server) isRefusing(now time.Duration) bool {
	return s.hasRefused && now-s.refusedAt < refusalHold
}

// awaitsReport reports whether a request that a server has just refused is to wait for the coordinator's report
// on the server's group.
func (f *fleet) awaitsReport(id string, now time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.servers[id]
	return s != nil && s.hasRefused && !s.closed && now-s.refusedAt < maxReportWait
}

// markUnconfirmed marks a lock-step service as refusing when this process first knows a server of it.
// The caller holds the lock.
//
// After a power loss entries are ready before the group of their engines is open, and before a
// coordinator reports that it is closed. If all that was queued were sent at once, as it may be when
// the shares of cold servers start, every engine would refuse it, and with the retry budget spent the
// callers would be refused, too. So one engine must first say that its group is open.
func (f *fleet) markUnconfirmed(s *server) {
	if !s.isRank() || f.confirmed[s.Service] {
		return
	}
	f.confirmed[s.Service] = true
	f.refusing[s.Service] = true
	f.unconfirmed = append(f.unconfirmed, s.Service)
}

// takeUnconfirmed returns the services for which the caller must run confirmOpen, each of them once.
func (f *fleet) takeUnconfirmed() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	services := f.unconfirmed
	f.unconfirmed = nil
	return services
}

// randomServer returns a server of a service that takes new work, and false if there is none.
func (f *fleet) randomServer(service string) (registry.Server, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	// The order of a map is random.
	for _, s := range f.servers {
		if s.Service == service && !s.isLeaving {
			return s.Server, true
		}
	}
	return registry.Server{}, false
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
	if isOpen {
		g.prompts.recordOpen(s.Service, clock.Now())
	}
	g.fleet.clearRefusing(s.Service)
	_ = level.Info(g.logger).Log("msg", "A service that refused work was watched.", "service", s.Service, "server", s.ID,
		"open", isOpen, "took_ms", (clock.Now() - began).Milliseconds())
}

// confirmOpen asks one engine of a service after the other until one says that its group is open, and
// then lets requests go to the service.
func (g *Gateway) confirmOpen(service string) {
	began := clock.Now()
	isOpen := false
	for !isOpen && clock.Now()-began < maxUnconfirmedTime {
		if s, ok := g.fleet.randomServer(service); ok {
			state := g.rankState(s)
			isOpen = state.GetOpen()
			g.fleet.noteGroupSize(service, int(state.GetSize()))
		}
		if !isOpen {
			select {
			case <-time.After(openCheckInterval):
			case <-g.stopped:
				return
			}
		}
	}
	g.fleet.clearRefusing(service)
	_ = level.Info(g.logger).Log("msg", "A service of lock-step engines may get requests.", "service", service,
		"open", isOpen, "took_ms", (clock.Now() - began).Milliseconds())
}

// isGroupOpen reports whether an engine's group is open, or it has none.
func (g *Gateway) isGroupOpen(s registry.Server) bool {
	state := g.rankState(s)
	g.fleet.noteGroupSize(s.Service, int(state.GetSize()))
	return state != nil && (state.GetGroup() == "" || state.GetOpen())
}

// rankState returns the state of an engine, or nil if it does not answer. It asks the rank agent beside
// the engine, or the engine itself if the agent does not answer.
func (g *Gateway) rankState(s registry.Server) *api.RankState {
	ctx, cancel := context.WithTimeout(context.Background(), platform.EngineCallTimeout)
	defer cancel()
	reply := &api.RankReply{}
	rankAgent, err := ranks.AgentAddress(s.Address, g.settings.PeerPort)
	if err == nil {
		reply, err = ranks.CallAgent(ctx, g.peerClient, rankAgent, &api.RankRequest{})
	}
	if err != nil {
		reply = ranks.Execute(ctx, platform.NewEngine(s.Address, g.peerClient), &api.RankRequest{})
	}
	return reply.GetState()
}
