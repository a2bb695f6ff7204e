package agent

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"time"

	"github.com/go-kit/log"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/coord/expertmap"
	"github.com/apricothub/apricothub/decide/balance"
	"github.com/apricothub/apricothub/internal/clock"
)

// observeEvery is the time between questions about the popularity of experts.
const observeEvery = time.Second

// maps holds the placements behind the versions of expert maps. A version is the hash
// of its placement, so that two coordinators can never give one version to two maps.
type maps struct {
	settings *api.Group
	known    map[uint64]*balance.Placement
}

func newMaps(settings *api.Group) *maps {
	return &maps{settings: settings, known: make(map[uint64]*balance.Placement)}
}

// add keeps a placement and returns its version.
func (m *maps) add(p *balance.Placement) uint64 {
	h := sha256.New()
	_ = binary.Write(h, binary.BigEndian, []int64{int64(p.Experts), int64(p.Ranks), int64(p.SlotsPerRank)})
	_ = binary.Write(h, binary.BigEndian, p.Slots)
	version := binary.BigEndian.Uint64(h.Sum(nil)) >> 1
	m.known[version] = p
	return version
}

// learn takes a placement from another agent, if it is what its version says.
func (m *maps) learn(c *api.MapContent) {
	p := &balance.Placement{
		Experts:      int(m.settings.GetExperts()),
		Ranks:        int(m.settings.GetSize()),
		SlotsPerRank: int(m.settings.GetSlotsPerRank()),
		Slots:        c.GetSlots(),
	}
	if !valid(p) {
		return
	}
	if version := m.add(p); version != c.GetMapVersion() {
		delete(m.known, version)
	}
}

func valid(p *balance.Placement) bool {
	if len(p.Slots) != p.Ranks*p.SlotsPerRank {
		return false
	}
	for _, expert := range p.Slots {
		if expert < 0 || int(expert) >= p.Experts {
			return false
		}
	}
	return true
}

// content returns a placement as it travels; nil for a map that came with the engine.
func (m *maps) content(version uint64) *api.MapContent {
	p := m.known[version]
	if p == nil {
		return nil
	}
	return &api.MapContent{MapVersion: version, Slots: p.Slots}
}

// keepOnly forgets the placements that no range of steps uses any more.
func (m *maps) keepOnly(versions map[uint64]bool) {
	for version := range m.known {
		if !versions[version] {
			delete(m.known, version)
		}
	}
}

// rebalancer decides, beside the coordinator, on new expert maps.
type rebalancer struct {
	maps     *maps
	logger   log.Logger
	balancer *balance.Balancer
	version  uint64 // of the balancer's placement
	seen     []float64
	ranks    *rankCounts
	slow     []balance.SlowRank // as last observed
}

func newRebalancer(m *maps, logger log.Logger) *rebalancer {
	return &rebalancer{maps: m, logger: logger, ranks: newRankCounts(int(m.settings.GetSize()))}
}

// observe takes the engine's running counts of tokens by expert, and asks the
// coordinator for another map when one is worth its cost.
func (r *rebalancer) observe(now time.Duration, tokens []float64, c *expertmap.Coordinator) {
	if len(tokens) != int(r.maps.settings.GetExperts()) {
		return
	}
	delta := difference(tokens, r.seen)
	r.seen = tokens
	status := c.Status()
	if status.Phase != expertmap.Active || !running(status) {
		return
	}
	if !r.follow(now, status.Target) {
		return
	}
	r.balancer.Observe(now, delta)
	if work := r.ranks.since(); work != nil {
		r.balancer.ObserveRanks(work)
		r.slow = r.balancer.SlowRanks()
	}
	placement, ok := r.balancer.Decide(now)
	if !ok {
		return
	}
	r.version = r.maps.add(placement)
	_ = r.logger.Log("msg", "Experts are moved to follow their popularity and the pace of ranks.", "map", r.version, "stretch", r.balancer.Stretch())
	c.SetTarget(now, r.version)
}

// running says that the newest steps released run under the map last wanted. While a
// map is still being loaded another is not decided on.
func running(status expertmap.CoordinatorStatus) bool {
	if len(status.Plan) == 0 {
		return false
	}
	last := status.Plan[len(status.Plan)-1]
	return last.Map == status.Target && status.ReleasedEnd >= last.Start
}

// follow makes the balancer go on from the map that the group runs: its own last one,
// or one of an earlier coordinator, or the spread that engines come with.
func (r *rebalancer) follow(now time.Duration, target uint64) bool {
	if r.balancer != nil && target == r.version {
		return true
	}
	placement := r.maps.known[target]
	if placement == nil {
		settings := r.maps.settings
		spread, err := balance.NewPlacement(int(settings.GetExperts()), int(settings.GetSize()), int(settings.GetSlotsPerRank()))
		if err != nil {
			return false
		}
		placement = spread
	}
	r.balancer = balance.New(balance.Config{}, placement, now)
	r.version = target
	return true
}

// difference is what came to running counts; an engine that restarted counts from 0.
func difference(now, before []float64) []float64 {
	delta := make([]float64, len(now))
	for i, n := range now {
		delta[i] = n
		if before != nil && n >= before[i] {
			delta[i] = n - before[i]
		}
	}
	return delta
}

// watchExperts asks the engine for the popularity of experts and the work of its ranks.
// The coordinator decides by both; others pass on what only they know, their ranks' work.
func (g *group) watchExperts(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		wait(ctx, observeEvery)
		if g.rebalancer == nil && n%rankReportEvery != 0 {
			continue
		}
		counts, err := g.backend.experts(ctx)
		if err != nil {
			continue
		}
		g.post(ctx, func() { g.takeCounts(counts) })
	}
}

func (g *group) takeCounts(counts expertCounts) {
	report := rankReport(int(g.settings.GetFirstRank()), g.seenStep, counts.Ranks)
	if g.rebalancer != nil {
		g.rebalancer.ranks.take(g.self.GetVm(), report)
		g.rebalancer.observe(clock.Now(), counts.Tokens, g.coordinator)
		return
	}
	coordinator := g.agent.Status().Coordinator
	if report == nil || coordinator == "" || coordinator == g.self.GetVm() {
		return
	}
	g.send(expertmap.Envelope{To: coordinator, Message: &api.GroupMessage{
		Group:           g.settings.GetName(),
		FromVm:          g.self.GetVm(),
		FromIncarnation: g.self.GetIncarnation(),
		Body:            &api.GroupMessage_Ranks{Ranks: report},
	}})
}

// attach adds to a message the placements that its receiver may lack: to a load, the
// map to be loaded; to the answer to a seal, the maps that the engines were given, so
// that a coordinator that knows nothing can go on with them.
func (g *group) attach(m *api.GroupMessage) {
	switch body := m.GetBody().(type) {
	case *api.GroupMessage_Load:
		body.Load.Content = g.maps.content(body.Load.GetMapVersion())
	case *api.GroupMessage_SealAck:
		seen := make(map[uint64]bool)
		body.SealAck.Maps = nil
		for _, r := range body.SealAck.GetGiven() {
			content := g.maps.content(r.GetMapVersion())
			if content != nil && !seen[r.GetMapVersion()] {
				body.SealAck.Maps = append(body.SealAck.Maps, content)
			}
			seen[r.GetMapVersion()] = true
		}
	}
}

// detach learns the placements that came with a message.
func (g *group) detach(m *api.GroupMessage) {
	if content := m.GetLoad().GetContent(); content != nil {
		g.maps.learn(content)
	}
	for _, content := range m.GetSealAck().GetMaps() {
		g.maps.learn(content)
	}
}

// loadBytes is what this VM's ranks must fetch to come from one map to another.
func (m *maps) loadBytes(from, to uint64) int64 {
	p := m.known[to]
	if p == nil {
		return 0
	}
	first, ranks := int(m.settings.GetFirstRank()), int(m.settings.GetRanks())
	own := p.Slots[first*p.SlotsPerRank : (first+ranks)*p.SlotsPerRank]
	moves := len(own)
	if before := m.known[from]; before != nil {
		moves = balance.Moves(part(before, first, ranks), part(p, first, ranks))
	}
	return int64(moves) * m.settings.GetExpertBytes()
}

// part is the placement of some ranks alone.
func part(p *balance.Placement, first, ranks int) *balance.Placement {
	q := *p
	q.Ranks = ranks
	q.Slots = p.Slots[first*p.SlotsPerRank : (first+ranks)*p.SlotsPerRank]
	return &q
}
