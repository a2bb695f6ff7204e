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
)

// applyHeartbeat applies a heartbeat of another entry, and reports whether to reconcile at once.
//
// Each of n entries receives some n heartbeats in every heartbeat interval, and reconciling takes
// time in proportion to n. So only the requests in flight are updated for each heartbeat, and the
// rest waits for the next tick unless it is urgent.
func (c *control) applyHeartbeat(b *api.PeerBeat, now time.Duration) bool {
	old := c.peers.LastHeartbeat(b.GetIp())
	if !c.peers.HandleHeartbeat(b, now) {
		return false
	}
	c.g.fleet.setOthersInFlight(c.peerLoads.Set(b.GetIp(), peering.InFlight(b)), c.peerLoads, now)
	c.g.fleet.recordRateLimitReports(b.GetRateLimits(), now)
	c.g.fleet.setDemands(b.GetIp(), b.GetDemands(), now)
	c.g.prompts.hear(b, now)
	for _, s := range b.GetLeavingServers() {
		c.markLeaving(registry.Start{ID: s.GetId(), StartedAtUnixMs: s.GetStartedAtUnixMs()}, now)
	}
	return peering.IsUrgent(old, b) || c.isAhead(b) && c.mayRequestPeerState(now)
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
	c.chooseSuccessor(live, fence)
	due := c.peers.TakeDue(now, c.heartbeatDue)
	c.heartbeatDue, c.sentFence = false, fence
	if len(due) == 0 {
		return
	}
	c.sequence++
	b := &api.PeerBeat{
		Vm: c.g.settings.VM, FailureDomain: c.g.settings.FailureDomain, Ip: c.g.settings.IP,
		Incarnation: c.g.incarnation, Sequence: c.sequence, CallersAddress: c.g.settings.Listen.Callers,
		Serving: c.g.view.Load().ready, Leaving: c.g.leaving.Load(),
		OperatorsNext: c.operators.NextOffset(), ServersNext: c.servers.NextOffset(), Fence: fence, Successor: c.successor,
		OperatorsAgeMs: -1, ServersAgeMs: -1,
		OperatorsChanged: c.operatorsChangedAt, ServersChanged: c.serversChangedAt,
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
	leaving := c.registry.Leaving()
	rand.Shuffle(len(leaving), func(i, j int) { leaving[i], leaving[j] = leaving[j], leaving[i] })
	for _, s := range leaving[:min(len(leaving), maxLeavingServers)] {
		b.LeavingServers = append(b.LeavingServers, &api.LeavingServer{Id: s.ID, StartedAtUnixMs: s.StartedAtUnixMs})
	}
	slices.SortFunc(b.Paces, func(p, q *api.ServerPace) int { return strings.Compare(p.GetId(), q.GetId()) })
	others := make(map[string]bool)
	for i := range min(len(live), maxOthers) {
		others[live[(int(c.sequence)*maxOthers+i)%len(live)].GetIp()] = true
	}
	b.OtherIps = peering.PackIPs(slices.Sorted(maps.Keys(others)))
	c.g.prompts.report(b, now)
	c.g.sendHeartbeat(b, due)
}
