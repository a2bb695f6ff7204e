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

// observeInterval is the time between queries for the popularity of experts.
const observeInterval = time.Second

// placementSet holds the placements of expert maps by version. A version is the hash of its
// placement, so that two coordinators can never give the same version to two maps.
type placementSet struct {
	settings  *api.Group
	byVersion map[uint64]*balance.Placement
}

func newPlacementSet(settings *api.Group) *placementSet {
	return &placementSet{settings: settings, byVersion: make(map[uint64]*balance.Placement)}
}

// add stores a placement and returns its version.
func (s *placementSet) add(p *balance.Placement) uint64 {
	h := sha256.New()
	_ = binary.Write(h, binary.BigEndian, []int64{int64(p.Experts), int64(p.Ranks), int64(p.SlotsPerRank)})
	_ = binary.Write(h, binary.BigEndian, p.Slots)
	version := binary.BigEndian.Uint64(h.Sum(nil)) >> 1
	s.byVersion[version] = p
	return version
}

// addReceived stores a placement from another agent if its hash matches its version.
func (s *placementSet) addReceived(c *api.MapContent) {
	p := &balance.Placement{
		Experts:      int(s.settings.GetExperts()),
		Ranks:        int(s.settings.GetSize()),
		SlotsPerRank: int(s.settings.GetSlotsPerRank()),
		Slots:        c.GetSlots(),
	}
	if !isValid(p) {
		return
	}
	if version := s.add(p); version != c.GetMapVersion() {
		delete(s.byVersion, version)
	}
}

func isValid(p *balance.Placement) bool {
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

// content returns a placement as a message; nil for a map that came with the engine.
func (s *placementSet) content(version uint64) *api.MapContent {
	p := s.byVersion[version]
	if p == nil {
		return nil
	}
	return &api.MapContent{MapVersion: version, Slots: p.Slots}
}

// retain drops the placements of all other versions.
func (s *placementSet) retain(versions map[uint64]bool) {
	for version := range s.byVersion {
		if !versions[version] {
			delete(s.byVersion, version)
		}
	}
}

// rebalancer decides on new expert maps for the coordinator.
type rebalancer struct {
	placements *placementSet
	logger     log.Logger
	balancer   *balance.Balancer
	version    uint64 // of the placement of the balancer
	lastTokens []float64
	rankWork   *rankWorkTracker
	slowRanks  []balance.SlowRank // as last observed
}

func newRebalancer(placements *placementSet, logger log.Logger) *rebalancer {
	return &rebalancer{placements: placements, logger: logger, rankWork: newRankWorkTracker(int(placements.settings.GetSize()))}
}

// observe records the engine's running counts of tokens by expert, and sets another map as the
// coordinator's target when it is worth its cost.
func (r *rebalancer) observe(now time.Duration, tokens []float64, c *expertmap.Coordinator) {
	if len(tokens) != int(r.placements.settings.GetExperts()) {
		return
	}
	delta := countDeltas(tokens, r.lastTokens)
	r.lastTokens = tokens
	status := c.Status()
	if status.Phase != expertmap.Active || !isTargetActive(status) {
		return
	}
	if !r.syncBalancer(now, status.Target) {
		return
	}
	r.balancer.Observe(now, delta)
	if work := r.rankWork.workSinceLast(); work != nil {
		r.balancer.ObserveRanks(work)
		r.slowRanks = r.balancer.SlowRanks()
	}
	placement, ok := r.balancer.Decide(now)
	if !ok {
		return
	}
	r.version = r.placements.add(placement)
	_ = r.logger.Log("msg", "Experts are moved to follow their popularity and the pace of ranks.", "map", r.version, "stretch", r.balancer.Stretch())
	c.SetTarget(now, r.version)
}

// isTargetActive reports whether the newest released steps run under the target map. While a map
// is still being loaded, no other map is decided on.
func isTargetActive(status expertmap.CoordinatorStatus) bool {
	if len(status.Plan) == 0 {
		return false
	}
	last := status.Plan[len(status.Plan)-1]
	return last.Map == status.Target && status.ReleasedEnd >= last.Start
}

// syncBalancer makes the balancer continue from the map that the group runs: its own last map, one
// of an earlier coordinator, or the placement that engines start with.
func (r *rebalancer) syncBalancer(now time.Duration, target uint64) bool {
	if r.balancer != nil && target == r.version {
		return true
	}
	placement := r.placements.byVersion[target]
	if placement == nil {
		settings := r.placements.settings
		initial, err := balance.NewPlacement(int(settings.GetExperts()), int(settings.GetSize()), int(settings.GetSlotsPerRank()))
		if err != nil {
			return false
		}
		placement = initial
	}
	r.balancer = balance.New(balance.Config{}, placement, now)
	r.version = target
	return true
}

// countDeltas returns the increase of running counts. An engine that restarted counts from 0.
func countDeltas(current, previous []float64) []float64 {
	delta := make([]float64, len(current))
	for i, n := range current {
		delta[i] = n
		if previous != nil && n >= previous[i] {
			delta[i] = n - previous[i]
		}
	}
	return delta
}

// pollExperts asks the engine for the popularity of experts and the work of its ranks. The
// coordinator uses both. Other agents report only the work of their ranks, which only they know.
func (g *group) pollExperts(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		sleep(ctx, observeInterval)
		if g.rebalancer == nil && n%observationsPerRankReport != 0 {
			continue
		}
		counts, err := g.backend.queryExperts(ctx)
		if err != nil {
			continue
		}
		g.post(ctx, func() { g.handleCounts(counts) })
	}
}

func (g *group) handleCounts(counts expertCounts) {
	report := newRankReport(int(g.settings.GetFirstRank()), g.engineStep, counts.Ranks)
	if g.rebalancer != nil {
		g.rebalancer.rankWork.addReport(g.self.GetVm(), report)
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

// attachMaps adds to a message the placements that its receiver may lack: to a load, the map to be
// loaded; to the answer to a seal, the maps that the engines were given, so that a new coordinator
// can continue with them.
func (g *group) attachMaps(m *api.GroupMessage) {
	switch body := m.GetBody().(type) {
	case *api.GroupMessage_Load:
		body.Load.Content = g.placements.content(body.Load.GetMapVersion())
	case *api.GroupMessage_SealAck:
		seen := make(map[uint64]bool)
		body.SealAck.Maps = nil
		for _, r := range body.SealAck.GetGiven() {
			content := g.placements.content(r.GetMapVersion())
			if content != nil && !seen[r.GetMapVersion()] {
				body.SealAck.Maps = append(body.SealAck.Maps, content)
			}
			seen[r.GetMapVersion()] = true
		}
	}
}

// storeMaps stores the placements that came with a message.
func (g *group) storeMaps(m *api.GroupMessage) {
	if content := m.GetLoad().GetContent(); content != nil {
		g.placements.addReceived(content)
	}
	for _, content := range m.GetSealAck().GetMaps() {
		g.placements.addReceived(content)
	}
}

// loadBytes returns the bytes that this VM's ranks must fetch to change from one map to another.
func (s *placementSet) loadBytes(from, to uint64) int64 {
	p := s.byVersion[to]
	if p == nil {
		return 0
	}
	first, ranks := int(s.settings.GetFirstRank()), int(s.settings.GetRanks())
	own := p.Slots[first*p.SlotsPerRank : (first+ranks)*p.SlotsPerRank]
	moves := len(own)
	if before := s.byVersion[from]; before != nil {
		moves = balance.Moves(ranksOnly(before, first, ranks), ranksOnly(p, first, ranks))
	}
	return int64(moves) * s.settings.GetExpertBytes()
}

// ranksOnly returns the placement of some of the ranks.
func ranksOnly(p *balance.Placement, first, ranks int) *balance.Placement {
	q := *p
	q.Ranks = ranks
	q.Slots = p.Slots[first*p.SlotsPerRank : (first+ranks)*p.SlotsPerRank]
	return &q
}
