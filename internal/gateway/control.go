package gateway

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/coord/keyed"
	"github.com/apricothub/apricothub/coord/peering"
	"github.com/apricothub/apricothub/coord/registry"
	"github.com/apricothub/apricothub/internal/clock"
	"github.com/apricothub/apricothub/internal/experts"
	"github.com/apricothub/apricothub/internal/result"
	"github.com/apricothub/apricothub/internal/routing"
	"github.com/apricothub/apricothub/platform"
)

// tick is how often the control goroutine looks at what time alone changes: silent entries,
// lapsed registrations, beats that are due.
const tick = 50 * time.Millisecond

// view is what traffic goes by. It is never changed: the control goroutine publishes a new
// one in its place.
type view struct {
	// table is nil until the configuration is known.
	table *routing.Table
	// addresses are where callers may connect, of all entries that serve.
	addresses []string
	// entries is the number of live entries, this one included.
	entries int
	// ready says that this entry takes new connections.
	ready bool
	// coordinates says that this entry is the one to coordinate expert maps, engines are the
	// engines that have experts.
	coordinates bool
	// followed says that another entry coordinates with a higher number.
	followed bool
	engines  []experts.Engine
	// configAt is when the configuration was last known to be the newest, serversAt when the
	// registrations were.
	configAt, serversAt time.Duration
}

// control owns what the process believes: the configuration, the backend servers and the
// other entries. Only its own goroutine touches it.
type control struct {
	g      *Gateway
	logger log.Logger

	operators, servers *keyed.Table
	registry           *registry.Registry
	peers              *peering.Table
	roll               peering.MemberPruner
	table              *routing.Table
	// out are the failure domains that operators have taken out.
	out map[string]bool
	// operatorsAt and serversAt are when the store last answered.
	operatorsAt, serversAt time.Duration
	// operatorsChangedAt and serversChangedAt are the offsets behind the last records that
	// changed what is believed.
	operatorsChangedAt, serversChangedAt int64
	// serversAway says that the store did not answer the last read of registrations.
	serversAway bool
	changed     bool
	urgent      bool
	askedAt     time.Duration
	asking      bool
	sequence    uint64
	census      census
	// met says that the entries that ever were are known, by the store; started is when this
	// process did.
	met     bool
	started time.Duration
	// heard are the VMs of the entries that live.
	heard map[string]bool
}

func newControl(g *Gateway, logger log.Logger, now time.Duration) *control {
	c := &control{
		g: g, logger: logger,
		operators: keyed.New(), servers: keyed.New(),
		registry: registry.New(), peers: peering.New(g.settings.IP, peering.Config{}),
		out: make(map[string]bool), started: now,
	}
	for _, seed := range g.settings.Seeds {
		c.peers.AddPeer(seed, now)
	}
	return c
}

// run is the control goroutine.
func (c *control) run(ctx context.Context) error {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case n := <-c.g.news:
			c.takeNews(n)
		case b := <-c.g.beats:
			c.peers.HandleHeartbeat(b, clock.Now())
		case s := <-c.g.states:
			c.takeState(s)
		case ask := <-c.g.stateRequests:
			ask.reply <- c.state(ask)
		case read := <-c.g.rosters:
			c.takeRoster(read, clock.Now())
		case <-c.g.leave:
			c.urgent = true
			c.g.leave = nil
		case <-ticker.C:
		}
		c.settle(clock.Now())
	}
}

// takeNews takes in what a follower has read.
func (c *control) takeNews(n news) {
	table := c.operators
	if n.topic == platform.TopicServers {
		table = c.servers
		c.serversAway = n.err != nil
		if n.err == nil {
			// Before the records: what lapsed in an outage is kept for a while from now on.
			c.registry.SetStoreReachable(true, n.at)
		}
	}
	if n.err != nil {
		return
	}
	if n.topic == platform.TopicServers {
		c.serversAt = n.at
	} else {
		c.operatorsAt = n.at
	}
	c.take(n.topic, table, n.listing, n.records, n.at)
}

func (c *control) take(topic string, table *keyed.Table, listing *platform.Listing, records []keyed.Record, now time.Duration) {
	var changes []keyed.Change
	if listing != nil {
		changes = table.Replace(listing.Records, listing.End)
	}
	for _, r := range records {
		if change := table.Apply(r); change != nil {
			changes = append(changes, *change)
		}
	}
	for _, change := range changes {
		if topic == platform.TopicServers {
			if !c.serverChanged(change, now) {
				continue
			}
			c.serversChangedAt = max(c.serversChangedAt, change.Offset+1)
		} else {
			c.operatorsChanged(change)
			c.operatorsChangedAt = max(c.operatorsChangedAt, change.Offset+1)
		}
		c.changed = true
		// Entries that do not read the store themselves wait for this.
		c.urgent = true
	}
}

func (c *control) operatorsChanged(change keyed.Change) {
	key := platform.ParseOperatorKey(change.Key)
	switch {
	case key.FailureDomain != "":
		if change.Deleted() {
			delete(c.out, key.FailureDomain)
		} else {
			c.out[key.FailureDomain] = true
		}
		_ = level.Info(c.logger).Log("msg", "A failure domain was marked.", "failure_domain", key.FailureDomain,
			"out", !change.Deleted(), "offset", change.Offset)
	case key.Config && !change.Deleted():
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

// serverChanged takes in a change of a registration, and returns whether it says anything new.
func (c *control) serverChanged(change keyed.Change, now time.Duration) bool {
	if change.Deleted() {
		c.registry.Remove(change.Key, now)
		_ = level.Info(c.logger).Log("msg", "A registration is gone.", "server", change.Key, "offset", change.Offset)
		return true
	}
	s, err := platform.DecodeServer(change.Key, change.Value)
	if err != nil {
		_ = level.Warn(c.logger).Log("msg", "A registration is passed over.", "server", change.Key, "offset", change.Offset,
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

// settle brings what is published up to date, and sends the beats that are due.
func (c *control) settle(now time.Duration) {
	for _, id := range c.registry.Expire(now) {
		c.changed = true
		_ = level.Info(c.logger).Log("msg", "A backend server did not register again.", "server", id)
	}
	live := c.peers.Live(now)
	c.logLive(live)
	c.registry.SetStoreReachable(!c.storeAway(live, now), now)
	n := census{live: len(live) + 1, mayLive: c.peers.MaybeLiveCount(now) + 1}
	c.changed = c.changed || n != c.census
	if c.changed && c.inForce(now) != nil {
		c.changed = false
		c.census = n
		c.g.fleet.set(c.registry.Registrations(), c.out, c.table, n, now)
	}
	c.g.fleet.setOthers(othersOf(live), c.pacesOf(live), now)
	c.publish(live, now)
	self := &api.PeerBeat{Ip: c.g.settings.IP, FailureDomain: c.g.settings.FailureDomain, Serving: c.g.view.Load().ready}
	c.chooseReads(self, live, now)
	c.askPeers(live, now)
	c.beat(live, now)
}

// meetTime is how long a new process waits at most for the store to tell which entries there
// are. Within three beats of the others it has heard of each: a beat names eight.
const meetTime = 500 * time.Millisecond

// inForce returns the configuration to serve by, nil for none yet.
//
// Load: all entries are killed at once and start again. Harm prevented: each takes itself for
// the only one and sends the whole of what all may, to servers that bear little, in retries
// and in connections. It serves nothing until it knows which entries there may be.
func (c *control) inForce(now time.Duration) *routing.Table {
	if !c.met && now-c.started < meetTime {
		return nil
	}
	return c.table
}

// logLive logs the entries that are heard of from now on, and those that have gone silent.
func (c *control) logLive(live []*api.PeerBeat) {
	same := len(live) == len(c.heard)
	for _, b := range live {
		same = same && c.heard[b.GetVm()]
	}
	if same {
		return
	}
	heard := make(map[string]bool, len(live))
	for _, b := range live {
		heard[b.GetVm()] = true
		if !c.heard[b.GetVm()] {
			_ = level.Info(c.logger).Log("msg", "Another entry is heard.", "vm", b.GetVm(), "failure_domain", b.GetFailureDomain(),
				"serving", b.GetServing(), "live", len(live)+1)
		}
	}
	for vm := range c.heard {
		if !heard[vm] {
			_ = level.Warn(c.logger).Log("msg", "Another entry is silent.", "vm", vm, "live", len(live)+1,
				"result", result.Label(api.ResultCode_UNREACHABLE))
		}
	}
	c.heard = heard
}

// othersOf sums the other entries' requests by backend server.
func othersOf(live []*api.PeerBeat) map[string]int {
	others := make(map[string]int)
	for _, b := range live {
		for _, l := range b.GetLoads() {
			others[l.GetId()] += int(l.GetInFlight())
		}
	}
	return others
}

// publish makes the view that traffic goes by.
func (c *control) publish(live []*api.PeerBeat, now time.Duration) {
	table := c.inForce(now)
	ready := table != nil && !c.g.leaving.Load() && c.g.fleet.usable()
	v := &view{
		table: table, entries: len(live) + 1, ready: ready,
		configAt: c.operatorsAt, serversAt: c.serversAt,
	}
	for _, b := range live {
		if b.GetServing() {
			v.addresses = append(v.addresses, b.GetCallersAddress())
		}
	}
	self := &api.PeerBeat{Ip: c.g.settings.IP, Serving: ready, Leaving: c.g.leaving.Load(), Fence: c.g.experts.Fence()}
	v.coordinates = peering.SelectCoordinator(self, c.mayCoordinate(live, now)) == c.g.settings.IP
	for _, b := range live {
		v.followed = v.followed || b.GetFence() > self.GetFence()
	}
	if table != nil && (v.coordinates || self.GetFence() != 0) {
		v.engines = c.engines()
	}
	if ready {
		v.addresses = append(v.addresses, c.g.settings.Listen.Callers)
	}
	old := c.g.view.Load()
	if old == nil || old.ready != ready {
		_ = level.Info(c.logger).Log("msg", "Readiness has changed.", "ready", ready, "config_known", table != nil,
			"leaving", c.g.leaving.Load(), "servers_usable", c.g.fleet.usable())
		c.urgent = true
	}
	if old == nil || !slices.Equal(old.addresses, v.addresses) {
		_ = level.Info(c.logger).Log("msg", "The entries that serve have changed.", "addresses", len(v.addresses), "live", v.entries)
	}
	c.g.view.Store(v)
}

// mostOthers bounds the entries that a beat names, so that a beat fits into one datagram.
const mostOthers = 8

// beat sends this entry's beat to those that it is due to.
func (c *control) beat(live []*api.PeerBeat, now time.Duration) {
	due := c.peers.TakeDue(now, c.urgent)
	c.urgent = false
	if len(due) == 0 {
		return
	}
	c.sequence++
	b := &api.PeerBeat{
		Vm: c.g.settings.VM, FailureDomain: c.g.settings.FailureDomain, Ip: c.g.settings.IP,
		Incarnation: c.g.incarnation, Sequence: c.sequence, CallersAddress: c.g.settings.Listen.Callers,
		Serving: c.g.view.Load().ready, Leaving: c.g.leaving.Load(),
		OperatorsNext: c.operators.NextOffset(), ServersNext: c.servers.NextOffset(), Fence: c.g.experts.Fence(),
		OperatorsAgeMs: -1, ServersAgeMs: -1,
		OperatorsChanged: c.operatorsChangedAt, ServersChanged: c.serversChangedAt,
	}
	if c.g.reads.Load() {
		b.OperatorsAgeMs = (now - c.operatorsAt).Milliseconds()
		b.ServersAgeMs = (now - c.serversAt).Milliseconds()
	}
	for _, l := range c.g.fleet.loads() {
		b.Loads = append(b.Loads, &api.ServerLoad{Id: l.id, InFlight: uint32(l.inFlight)})
	}
	for id, pace := range c.g.experts.Impairments() {
		b.Paces = append(b.Paces, &api.ServerPace{Id: id, Pace: float32(pace.Slowdown), Closed: pace.Closed})
	}
	others := make(map[string]bool)
	for i := range min(len(live), mostOthers) {
		others[live[(int(c.sequence)*mostOthers+i)%len(live)].GetIp()] = true
	}
	b.Others = slices.Sorted(maps.Keys(others))
	c.g.sendBeat(b, due)
}
