package gateway

import (
	"context"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/coord/keyed"
	"github.com/apricothub/apricothub/coord/peering"
	"github.com/apricothub/apricothub/coord/registry"
	"github.com/apricothub/apricothub/internal/clock"
	"github.com/apricothub/apricothub/internal/result"
	"github.com/apricothub/apricothub/internal/routing"
	"github.com/apricothub/apricothub/platform"
)

const (
	// tickInterval is how often the control goroutine checks for what changes with time alone: silent
	// entries, expired registrations, heartbeats that are due. Heartbeats that are not urgent also wait
	// for it.
	tickInterval = 50 * time.Millisecond
	// entriesPerTick is the number of entries up to which the state is reconciled on each tick. With more,
	// reconciling takes longer and is done on every second tick, and so on, but once in
	// maxReconcileInterval at least.
	entriesPerTick       = 64
	maxReconcileInterval = 200 * time.Millisecond
)

// control owns the process's state: the configuration, the backend servers and the other entries.
// Only its own goroutine accesses it.
type control struct {
	g      *Gateway
	logger log.Logger

	// send sends a heartbeat, fetch asks another entry for records; replaced in tests without a network.
	send  func(b *api.PeerBeat, ips []string)
	fetch func(ip string, operators, servers int64)

	operators, servers *keyed.Table
	registry           *registry.Registry
	peers              *peering.Table
	peerLoads          *peering.LoadSums
	memberPruner       peering.MemberPruner
	table              *routing.Table
	// domainsOut are the failure domains that operators have taken out.
	domainsOut map[string]bool
	// operatorsAt and serversAt are when the records of a topic were last confirmed to be the
	// newest.
	operatorsAt, serversAt time.Duration
	// serversReadFailed means that the store did not answer the last read of registrations.
	serversReadFailed bool
	// changed means that the fleet must be updated, heartbeatDue that the heartbeat must be sent to
	// all live entries now.
	changed      bool
	heartbeatDue bool
	// stateRequested means that a request for the records of another entry is in flight,
	// stateRequestedAt is when the last one was sent.
	stateRequestedAt time.Duration
	stateRequested   bool
	// stateRequestFailed means that the last one failed.
	stateRequestFailed bool
	// sentFence is the fence in the last heartbeat, successor the entry that takes over first if this
	// one coordinates; "" for none.
	sentFence int64
	successor string
	// reconciledAt is when the state was last reconciled.
	reconciledAt time.Duration
	// sequence is the sequence number of the last heartbeat.
	sequence    uint64
	entryCounts entryCounts
	startup     startup
	// operatorsLog and serversLog hold when the records of a topic last changed something.
	operatorsLog, serversLog *keyed.ChangeLog
	// isFirstReader means that this entry is the first of those that read the store for all.
	isFirstReader bool
	// isStarted means that Gateway.started is closed.
	isStarted bool
	// liveVMs are the VMs of the live entries.
	liveVMs map[string]bool
}

func newControl(g *Gateway, logger log.Logger, now time.Duration) *control {
	c := &control{
		g: g, logger: logger, fetch: func(ip string, operators, servers int64) { go g.fetchState(ip, operators, servers) },
		operators: keyed.New(), servers: keyed.New(),
		operatorsLog: keyed.NewChangeLog(), serversLog: keyed.NewChangeLog(),
		registry: registry.New(), peers: peering.New(g.settings.IP, peering.Config{
			FailureDomain: g.settings.FailureDomain, Capacity: capacityOf(g.settings),
		}),
		peerLoads:  peering.NewLoadSums(),
		domainsOut: make(map[string]bool), startup: newStartup(g.settings, now),
	}
	c.send = func(b *api.PeerBeat, ips []string) { g.sendHeartbeat(b, ips, c.isFar) }
	for _, seed := range g.settings.Seeds {
		c.peers.AddPeer(seed, now)
	}
	return c
}

// run runs the control goroutine until ctx ends.
func (c *control) run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case u := <-c.g.updates:
			c.applyUpdate(u)
		case b := <-c.g.heartbeats:
			if !c.applyHeartbeat(b, clock.Now()) {
				continue
			}
		case s := <-c.g.fetchedStates:
			c.applyPeerState(s, clock.Now())
		case req := <-c.g.stateRequests:
			req.reply <- c.stateBeyond(req)
		case list := <-c.g.memberLists:
			c.applyMembers(list, clock.Now())
		case <-c.g.leave:
			c.heartbeatDue = true
			c.g.leave = nil
		case <-ticker.C:
			c.tick(clock.Now())
			continue
		}
		c.reconcile(clock.Now())
	}
}

// applyUpdate applies what a follower has read.
func (c *control) applyUpdate(u topicUpdate) {
	table := c.operators
	if u.topic == platform.TopicServers {
		table = c.servers
		c.serversReadFailed = u.err != nil
		if u.err == nil {
			// Must come before the records: registrations that expired during an outage are kept
			// for a while from now on.
			c.registry.SetStoreReachable(true, u.at)
		}
	}
	if u.err != nil {
		return
	}
	if u.topic == platform.TopicServers {
		c.serversAt = u.at
	} else {
		c.operatorsAt = u.at
	}
	c.applyRecords(u.topic, table, u.listing, u.records, u.at)
}

func (c *control) applyRecords(topic string, table *keyed.Table, listing *platform.Listing, records []keyed.Record, now time.Duration) {
	var changes []keyed.Change
	if listing != nil {
		changes = table.Replace(listing.Records, listing.End)
		c.changeLog(topic).Begin(listing.End)
	}
	for _, r := range records {
		if change := table.Apply(r); change != nil {
			changes = append(changes, *change)
		}
	}
	c.applyChanges(topic, changes, now)
}

// changeLog returns the log of the changes of a topic.
func (c *control) changeLog(topic string) *keyed.ChangeLog {
	if topic == platform.TopicServers {
		return c.serversLog
	}
	return c.operatorsLog
}

func (c *control) applyChanges(topic string, changes []keyed.Change, now time.Duration) {
	for _, change := range changes {
		if topic != platform.TopicServers {
			c.applyOperatorChange(change)
		} else if !c.applyServerChange(change, now) {
			continue
		}
		c.changeLog(topic).Record(change)
		c.changed = true
		// Entries that do not read the store themselves wait for this.
		c.heartbeatDue = true
	}
}

func (c *control) applyOperatorChange(change keyed.Change) {
	key := platform.ParseOperatorKey(change.Key)
	switch {
	case key.FailureDomain != "":
		if change.Deleted() {
			delete(c.domainsOut, key.FailureDomain)
		} else {
			c.domainsOut[key.FailureDomain] = true
		}
		_ = level.Info(c.logger).Log("msg", "A failure domain was marked.", "failure_domain", key.FailureDomain,
			"out", !change.Deleted(), "offset", change.Offset)
	case key.IsConfig && !change.Deleted():
		cfg, err := platform.DecodeConfig(change.Value)
		if err != nil {
			_ = level.Error(c.logger).Log("msg", "The configuration cannot be read; the last one stays in force.",
				"result", result.Label(api.ResultCode_BAD_LIST), "offset", change.Offset, "err", err)
			return
		}
		c.table = routing.NewTable(cfg)
		_ = level.Info(c.logger).Log("msg", "A configuration is in force.", "version", cfg.Version,
			"offset", change.Offset, "routes", len(cfg.Routes), "services", len(cfg.Services), "teams", len(cfg.Teams))
	}
}

// applyServerChange applies a change of a registration, and reports whether it changed anything.
func (c *control) applyServerChange(change keyed.Change, now time.Duration) bool {
	if change.Deleted() {
		c.registry.Remove(change.Key, now)
		_ = level.Info(c.logger).Log("msg", "A registration is gone.", "server", change.Key, "offset", change.Offset)
		return true
	}
	s, err := platform.DecodeServer(change.Key, change.Value)
	if err != nil {
		_ = level.Warn(c.logger).Log("msg", "A registration could not be decoded and is ignored.", "server", change.Key, "offset", change.Offset,
			"result", result.Label(api.ResultCode_BAD_LIST), "err", err)
		return false
	}
	if !c.registry.Put(s, now) {
		return false
	}
	_ = level.Info(c.logger).Log("msg", "A registration is new or has changed.", "server", s.ID, "service", s.Service,
		"failure_domain", s.FailureDomain, "concurrency", s.Concurrency, "draining", s.Draining,
		"cold_ms", s.ColdRemaining.Milliseconds(), "offset", change.Offset)
	return true
}

// tick does what is due at a tick: heartbeats and waiting requests each time, the rest as often as the number
// of entries allows. Reconciling on each tick would take each entry time in proportion to the entries and the
// backend servers, 20 times a second.
func (c *control) tick(now time.Duration) {
	if c.changed || c.heartbeatDue || now-c.reconciledAt >= c.reconcileInterval() {
		c.reconcile(now)
		return
	}
	c.g.fleet.tick(now)
	c.sendHeartbeats(nil, now)
}

// reconcileInterval returns the time between two ticks that reconcile. A coordinator and its successor, which
// must miss it at once, reconcile on each one.
func (c *control) reconcileInterval() time.Duration {
	if c.g.experts.Fence() != 0 || c.peers.IsSuccessor() {
		return tickInterval
	}
	ticks := 1 + c.entryCounts.live/entriesPerTick
	return min(time.Duration(ticks)*tickInterval, maxReconcileInterval)
}

// reconcile updates what is published, and sends the heartbeats that are due.
func (c *control) reconcile(now time.Duration) {
	c.reconciledAt = now
	for _, id := range c.registry.Expire(now) {
		c.changed = true
		_ = level.Info(c.logger).Log("msg", "The registration of a backend server has expired.", "server", id)
	}
	for _, s := range c.g.fleet.takeNewlyLeaving() {
		c.markLeaving(s, now)
		c.heartbeatDue = true
	}
	live := c.peers.Live(now)
	c.logPeerChanges(live)
	c.registry.SetStoreReachable(!c.isStoreUnreachable(live, now), now)
	maybeLive := append(c.peers.MaybeLive(now), c.g.settings.IP)
	c.g.fleet.setEntries(maybeLive)
	c.updateQuarantines(maybeLive, now)
	counts := entryCounts{live: len(live) + 1, maybeLive: len(maybeLive)}
	c.changed = c.changed || counts != c.entryCounts
	if c.changed && c.servingTable(now) != nil {
		c.changed = false
		c.entryCounts = counts
		c.g.fleet.setServers(c.registry.Registrations(), c.domainsOut, c.table, counts, now)
		for _, service := range c.g.fleet.takeUnconfirmed() {
			go c.g.confirmOpen(service)
		}
	}
	c.g.fleet.setOthersInFlight(c.peerLoads.Retain(live), c.peerLoads, now)
	limitsChanged := c.g.fleet.setPeerReports(c.peerLoads, c.reportedImpairments(live), now)
	// The other entries go by what the coordinator reports.
	c.heartbeatDue = c.heartbeatDue || limitsChanged && c.g.experts.Fence() != 0
	c.publishView(live, now)
	c.decideStoreReads(live, now)
	c.requestPeerState(live, now)
	c.sendHeartbeats(live, now)
}

// logPeerChanges logs the entries that are newly heard from, and those that have gone silent.
func (c *control) logPeerChanges(live []*api.PeerBeat) {
	same := len(live) == len(c.liveVMs)
	for _, b := range live {
		same = same && c.liveVMs[b.GetVm()]
	}
	if same {
		return
	}
	liveVMs := make(map[string]bool, len(live))
	for _, b := range live {
		liveVMs[b.GetVm()] = true
		if !c.liveVMs[b.GetVm()] {
			_ = level.Info(c.logger).Log("msg", "Another entry is heard.", "vm", b.GetVm(), "failure_domain", b.GetFailureDomain(),
				"serving", b.GetServing(), "live", len(live)+1)
		}
	}
	for vm := range c.liveVMs {
		if !liveVMs[vm] {
			_ = level.Warn(c.logger).Log("msg", "Another entry is silent.", "vm", vm, "live", len(live)+1,
				"result", result.Label(api.ResultCode_UNREACHABLE))
		}
	}
	c.liveVMs = liveVMs
}
