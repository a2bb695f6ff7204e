package gateway

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/go-kit/log/level"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/coord/peering"
	"github.com/apricothub/apricothub/coord/registry"
	"github.com/apricothub/apricothub/platform"
)

// applyHeartbeat applies a heartbeat of another entry and those that its digest passes on, and reports
// whether to reconcile at once.
//
// Reconciling takes time in proportion to the number of entries. So only the requests in flight are
// updated for each heartbeat, and the rest waits for the next tick unless it is urgent.
func (c *control) applyHeartbeat(b *api.PeerBeat, now time.Duration) bool {
	var heartbeats []*api.PeerBeat
	if c.peers.HandleHeartbeat(b, now) {
		heartbeats = append(heartbeats, b)
	}
	heartbeats = append(heartbeats, c.peers.HandleDigest(b, now)...)
	var changed []uint32
	isAhead := false
	for _, b := range heartbeats {
		changed = append(changed, c.peerLoads.Set(b.GetIp(), peering.InFlight(b))...)
		c.applyReports(b, now)
		isAhead = isAhead || c.isAhead(b)
	}
	c.g.fleet.setOthersInFlight(changed, c.peerLoads, now)
	return c.peers.TakeUrgent() || isAhead && c.mayRequestPeerState(now)
}

// applyReports applies what a heartbeat tells of backend servers and prompts.
func (c *control) applyReports(b *api.PeerBeat, now time.Duration) {
	c.g.fleet.recordRateLimitReports(b.GetRateLimits(), now)
	c.g.fleet.setDemands(b.GetIp(), b.GetDemands(), now)
	c.g.prompts.hear(b, now)
	for _, s := range b.GetLeavingServers() {
		c.markLeaving(registry.Start{ID: s.GetId(), StartedAtUnixMs: s.GetStartedAtUnixMs()}, now)
	}
}

// markLeaving records that a server has said that it leaves, to this entry or another one.
func (c *control) markLeaving(s registry.Start, now time.Duration) {
	if !c.registry.MarkLeaving(s, now) {
		return
	}
	c.changed = true
	_ = level.Info(c.logger).Log("msg", "A backend server leaves, as it has said in an answer.", "server", s.ID)
}

// maxLeavingServers limits the leaving servers that a heartbeat names.
const maxLeavingServers = 16

// maxOthers limits the entries that a heartbeat names, so that it fits into one datagram.
const maxOthers = 8

// sendHeartbeats sends this entry's heartbeat to the entries that it is due to.
func (c *control) sendHeartbeats(live []*api.PeerBeat, now time.Duration) {
	fence := c.g.experts.Fence()
	// The others follow the coordinator with the highest fence.
	c.heartbeatDue = c.heartbeatDue || fence != c.sentFence
	if fence != 0 || c.successor != "" {
		c.chooseSuccessor(live, fence)
	}
	messages := c.peers.TakeMessages(c.g.leaving.Load(), c.heartbeatDue, now)
	c.heartbeatDue, c.sentFence = false, fence
	if len(messages) == 0 {
		return
	}
	b := c.heartbeat(live, now)
	for _, m := range messages {
		c.sequence++
		b.Sequence, b.Digest = c.sequence, m.Digest
		c.send(b, m.IPs)
	}
}

// heartbeat returns this entry's heartbeat, without a sequence number.
func (c *control) heartbeat(live []*api.PeerBeat, now time.Duration) *api.PeerBeat {
	b := &api.PeerBeat{
		Vm: c.g.settings.VM, FailureDomain: c.g.settings.FailureDomain, Ip: c.g.settings.IP, Capacity: capacityOf(c.g.settings),
		Incarnation: c.g.incarnation, CallersAddress: c.g.settings.Listen.Callers,
		Serving: c.g.view.Load().ready, Leaving: c.g.leaving.Load(), MembersKnown: c.peers.MembersKnown(), Relay: c.peers.Relay(), ReadsDigests: true,
		OperatorsNext: c.operators.NextOffset(), ServersNext: c.servers.NextOffset(), Fence: c.sentFence, Successor: c.successor,
		OperatorsAgeMs: -1, ServersAgeMs: -1,
		OperatorsChanged: c.operatorsLog.End(), ServersChanged: c.serversLog.End(),
		InFlight: c.g.fleet.inFlight(), RateLimits: c.g.fleet.rateLimitReports(now),
		Demands: c.g.fleet.ownDemands(),
	}
	if c.g.readsStore.Load() {
		b.OperatorsAgeMs = (now - c.operatorsAt).Milliseconds()
		b.ServersAgeMs = (now - c.serversAt).Milliseconds()
	}
	for id, pace := range c.g.experts.Impairments() {
		b.Paces = append(b.Paces, &api.ServerPace{Id: id, Pace: float32(pace.Slowdown), Closed: pace.Closed})
	}
	slices.SortFunc(b.Paces, func(p, q *api.ServerPace) int { return strings.Compare(p.GetId(), q.GetId()) })
	leaving := c.registry.Leaving()
	rand.Shuffle(len(leaving), func(i, j int) { leaving[i], leaving[j] = leaving[j], leaving[i] })
	for _, s := range leaving[:min(len(leaving), maxLeavingServers)] {
		b.LeavingServers = append(b.LeavingServers, &api.LeavingServer{Id: s.ID, StartedAtUnixMs: s.StartedAtUnixMs})
	}
	if !c.peers.IsRelayed() {
		b.OtherIps = peering.PackIPs(someOthers(live, int(c.sequence)))
	}
	c.g.prompts.report(b, now)
	return b
}

// someOthers returns the IPs of maxOthers live entries at most, others in each turn.
func someOthers(live []*api.PeerBeat, turn int) []string {
	others := make(map[string]bool)
	for i := range min(len(live), maxOthers) {
		others[live[(turn*maxOthers+i)%len(live)].GetIp()] = true
	}
	return slices.Sorted(maps.Keys(others))
}

// capacityOf returns the processor of the VM in thousandths of a core; zero if unknown.
func capacityOf(s *platform.Settings) uint32 { return uint32(1000 * s.Cores) }

// isFar reports whether an entry is known to be in another failure domain.
func (c *control) isFar(ip string) bool {
	b := c.peers.LastHeartbeat(ip)
	return b != nil && b.GetFailureDomain() != c.g.settings.FailureDomain
}
