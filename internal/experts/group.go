package experts

import (
	"context"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/coord/mapswitch"
	"github.com/apricothub/apricothub/decide/balance"
	"github.com/apricothub/apricothub/internal/clock"
	"github.com/apricothub/apricothub/internal/ranks"
	"github.com/apricothub/apricothub/internal/result"
	"github.com/apricothub/apricothub/internal/routing"
)

// maxOrderRounds limits the rounds of orders in one poll. A switch takes three rounds, and more
// only if orders were lost.
const maxOrderRounds = 8

// group is the coordinator's state of a lock-step group.
type group struct {
	c       *Coordinator
	name    string
	machine *mapswitch.Machine
	epoch   int64
	planner *balance.LayerPlanner
	shape   balance.Shape
	// lastCounts holds the latest counts of each rank by engine ID, passesSinceCounts the passes
	// since counts were last read.
	lastCounts        map[string]rankCounts
	passesSinceCounts int64
	// loaded holds the experts of each rank in the map in use, by engine ID.
	loaded map[string]loadedExperts
	// targetVersion is the version to switch to, zero for none, and targetMaps its map.
	targetVersion int64
	targetMaps    []balance.LayerMap
	// targetOrder is the encoded target, nil for one that an earlier coordinator has prepared.
	// hasTakenOver means that this coordinator has looked for such a target. needsWholeMap are the
	// engines, by ID, whose rank agents do not hold the map that the target was planned from.
	targetOrder   *ranks.MapOrder
	hasTakenOver  bool
	needsWholeMap map[string]bool
	// targetSetAt is when the target was set.
	targetSetAt time.Duration
	// passTime is the moving average of the duration of a pass, maxPause the longest pause between
	// two events of a stream that callers accept.
	passTime, maxPause time.Duration
	// lastStep is the latest pass reported as begun, lastStepAt when it was reported.
	lastStep   int64
	lastStepAt time.Duration
	// closedSince is when the group was first seen closed; zero while it is open.
	closedSince time.Duration
	// recorder decides when the popularity of experts is recorded. isRecording means that a record is
	// being written, and recordWritten delivers its outcome.
	recorder      balance.Recorder
	isRecording   bool
	recordWritten chan error
}

type loadedExperts struct {
	epoch, version int64
	sets           [][]int32
}

func newGroup(c *Coordinator, name string) *group {
	return &group{
		c: c, name: name, machine: mapswitch.New(mapswitch.Config{}),
		lastCounts: make(map[string]rankCounts), loaded: make(map[string]loadedExperts),
		recordWritten: make(chan error, 1),
	}
}

// knowsExperts reports whether the experts that an engine holds are known.
func (g *group) knowsExperts(id string) bool {
	_, ok := g.loaded[id]
	return ok
}

// update applies the ranks' replies and takes the group's next step. It reports whether the group
// must be polled again soon: it switches maps, is forming, or has just been claimed.
func (g *group) update(ctx context.Context, members []*member) bool {
	now := clock.Now()
	status := statuses(members)
	if status == nil || !g.ensurePlanner(members) {
		if isClosed(members) {
			g.noteCounts(members)
		}
		return g.isForming(now)
	}
	g.closedSince = 0
	if g.c.isSuperseded(status) {
		g.c.fenced = true
		return false
	}
	slices.SortFunc(members, func(a, b *member) int { return int(a.reply.GetState().GetRank() - b.reply.GetState().GetRank()) })
	passes := g.updatePassTime(members, now)
	g.machine.SetPassTime(max(g.passTime, slowestOwnPart(members)))
	g.planner.Expect(g.c.recordedPopularity[g.name])
	g.observe(members, passes)
	g.recordPopularity(ctx, now)
	g.takeOverTarget(status)
	current := g.currentMaps(members)
	if g.targetVersion == 0 && current != nil {
		g.planChange(current, members[0].reply.GetState().GetMap(), now)
	}
	return g.advanceSwitch(ctx, members, status)
}

// isForming reports whether a group that is not open has been closed for a short time only.
func (g *group) isForming(now time.Duration) bool {
	if g.closedSince == 0 {
		g.closedSince = now
	}
	return now-g.closedSince < formingTime
}

// ensurePlanner creates the planner if there is none for the group's shape, and clears what belongs
// to an earlier epoch. It returns false if no planner fits the shape.
func (g *group) ensurePlanner(members []*member) bool {
	state := members[0].reply.GetState()
	cfg := members[0].engine.Config
	shape := balance.Shape{LayerSets: cfg.LayerSets, Experts: cfg.Experts, Ranks: int(state.GetSize()), SlotsPerRank: cfg.SlotsPerRank, MaxNewExperts: cfg.MaxNewExperts}
	if g.epoch != state.GetEpoch() {
		g.epoch = state.GetEpoch()
		g.clearTarget()
		g.passTime, g.lastStepAt, g.lastStep = 0, 0, 0
		clear(g.loaded)
	}
	if g.planner != nil && g.shape == shape {
		return true
	}
	planner, err := balance.NewLayerPlanner(shape, balance.LayerPlannerConfig{CopyTime: copyTime(cfg)})
	if err != nil {
		return false
	}
	if g.planner != nil {
		g.forgetShape()
	}
	g.planner, g.shape = planner, shape
	return true
}

// forgetShape drops everything whose indexes mean sets, experts or ranks of the shape so far.
func (g *group) forgetShape() {
	g.clearTarget()
	clear(g.loaded)
	clear(g.lastCounts)
	g.passesSinceCounts = 0
	g.recorder = balance.Recorder{}
}

// copyTime returns the time that a rank takes to load a copy of one expert.
func copyTime(cfg *routing.Engine) time.Duration {
	if cfg.LinkMbps <= 0 {
		return 0
	}
	const bitsPerByte = 8
	return time.Duration(cfg.ExpertMB * bitsPerByte / cfg.LinkMbps * float64(time.Second))
}

// currentMaps returns the maps in use, or nil until all ranks have reported theirs. It also returns nil while they
// do not fit the shape, as when the configuration comes before the engines that it describes.
func (g *group) currentMaps(members []*member) []balance.LayerMap {
	maps := make([]balance.LayerMap, g.shape.LayerSets)
	for i := range maps {
		maps[i] = make(balance.LayerMap, g.shape.Ranks)
	}
	complete := true
	for rank, m := range members {
		state := m.reply.GetState()
		if sets := m.reply.GetExperts(); len(sets) == g.shape.LayerSets && m.reply.GetExpertsVersion() == state.GetMap() {
			rankExperts := loadedExperts{epoch: state.GetEpoch(), version: state.GetMap()}
			for _, set := range sets {
				rankExperts.sets = append(rankExperts.sets, set.GetExperts())
			}
			g.loaded[m.engine.ID] = rankExperts
		}
		rankExperts, ok := g.loaded[m.engine.ID]
		if !ok || rankExperts.version != state.GetMap() || rankExperts.epoch != state.GetEpoch() {
			delete(g.loaded, m.engine.ID)
			complete = false
			continue
		}
		for set, experts := range rankExperts.sets {
			maps[set][rank] = experts
		}
	}
	if !complete || !g.shape.Fits(maps) {
		return nil
	}
	return maps
}

// minSwitchTime is the least time that a switch of maps takes in addition to its copies.
const minSwitchTime = 150 * time.Millisecond

// setTarget sets the version to switch to and its map. base is the version that all ranks use now,
// current its map.
func (g *group) setTarget(maps []balance.LayerMap, base int64, current []balance.LayerMap) {
	g.targetVersion, g.targetMaps, g.targetSetAt = g.c.newVersion(), maps, clock.Now()
	g.targetOrder = ranks.NewMapOrder(layersOf(maps), base, layersOf(current))
	g.needsWholeMap = make(map[string]bool)
}

func (g *group) clearTarget() {
	g.targetVersion, g.targetMaps, g.targetOrder = 0, nil, nil
}

// planChange sets a target if the planner finds a change of maps that is worth its cost. base is the
// version in use.
func (g *group) planChange(current []balance.LayerMap, base int64, now time.Duration) {
	g.planner.SetSwitchTime(max(minSwitchTime, time.Duration(g.machine.LeadPasses())*g.passTime))
	change := g.planner.Plan(current, g.isPassLong())
	if change == nil {
		return
	}
	g.setTarget(change.Maps, base, current)
	_ = level.Info(g.c.logger).Log("msg", "Experts are moved to follow their popularity.", "group", g.name, "epoch", g.epoch,
		"version", g.targetVersion, "pass", g.passTime, "pressed", g.isPassLong(), "skew", change.SkewBefore, "skew_after", change.SkewAfter,
		"loads", change.MaxCopies, "fence", g.c.fence.Load())
}

// advanceSwitch sends the next orders and continues with the ranks' responses. It reports whether a
// switch is in progress.
func (g *group) advanceSwitch(ctx context.Context, members []*member, status []mapswitch.Status) bool {
	busy := false
	for range maxOrderRounds {
		decision := g.machine.Decide(clock.Now(), status, g.targetVersion)
		busy = busy || decision.InProgress
		if decision.NeedsNewTarget {
			g.renewVersion(members)
		}
		if !decision.InProgress && g.targetVersion != 0 {
			g.finishSwitch()
		}
		if len(decision.Orders) == 0 || g.c.fenced {
			break
		}
		if g.targetOrder == nil && slices.ContainsFunc(decision.Orders, isPrepare) {
			// A rank no longer has the version that was taken over.
			g.clearTarget()
			break
		}
		g.sendOrders(ctx, members, decision.Orders)
		if status = statuses(members); status == nil {
			break
		}
	}
	return busy
}

func isPrepare(o mapswitch.Order) bool { return o.Kind == mapswitch.Prepare }

// finishSwitch clears a target that has come into use.
func (g *group) finishSwitch() {
	_ = level.Info(g.c.logger).Log("msg", "A new expert map is in use.", "group", g.name, "epoch", g.epoch,
		"version", g.targetVersion, "took_ms", (clock.Now() - g.targetSetAt).Milliseconds())
	g.clearTarget()
	clear(g.loaded)
}

// renewVersion sets the maps in use as target under a new version, which needs no copies. It
// releases a group that an earlier coordinator left held.
func (g *group) renewVersion(members []*member) {
	current := g.currentMaps(members)
	if current == nil {
		return
	}
	g.setTarget(current, members[0].reply.GetState().GetMap(), current)
	_ = level.Info(g.c.logger).Log("msg", "The expert map is given a new version.", "group", g.name, "epoch", g.epoch,
		"version", g.targetVersion, "fence", g.c.fence.Load())
}

// sendOrders sends orders to the ranks concurrently and applies their responses.
func (g *group) sendOrders(ctx context.Context, members []*member, orders []mapswitch.Order) {
	byRank := make(map[int]mapswitch.Order, len(orders))
	for _, o := range orders {
		byRank[o.Rank] = o
	}
	engines := make([]Engine, len(members))
	rankOf := make(map[string]int, len(members))
	for rank, m := range members {
		engines[rank] = m.engine
		rankOf[m.engine.ID] = rank
	}
	responses := g.c.callAll(ctx, engines, func(e Engine, direct bool) *api.RankRequest {
		o, ok := byRank[rankOf[e.ID]]
		if !ok {
			return nil
		}
		if o.Kind == mapswitch.Claim {
			o.Version = g.c.reservedVersion()
		}
		msg := ranks.OrderToWire(o, g.c.fence.Load())
		if o.Kind == mapswitch.Prepare {
			g.targetOrder.AddTo(msg, direct || g.needsWholeMap[e.ID])
		}
		return &api.RankRequest{Order: msg}
	})
	g.noteMissingMaps(members, byRank, responses)
	g.logOrders(byRank, responses)
	for rank, resp := range responses {
		o, ok := byRank[rank]
		if !ok {
			continue
		}
		members[rank].applyResponse(o, resp)
		if resp.reply.GetState() != nil && resp.reply.GetResult() == api.OrderResult_ORDER_UNKNOWN && !resp.direct {
			g.machine.OrderUnanswered(o)
		}
		if o.Kind == mapswitch.Hold && resp.reply.GetResult() == api.OrderResult_ORDER_UNFIT {
			g.machine.HoldRefused(o)
		}
		if o.Kind == mapswitch.Claim && resp.reply.GetResult() == api.OrderResult_ORDER_TAKEN {
			g.machine.ClaimAccepted(rank, o.Epoch)
		}
	}
}

// noteMissingMaps records the ranks that must be sent the target whole. Rank agents of an earlier
// version know no changes, and the engine refuses the order without a map that they pass on.
func (g *group) noteMissingMaps(members []*member, byRank map[int]mapswitch.Order, responses []rankResponse) {
	for rank, o := range byRank {
		reply := responses[rank].reply
		if reply.GetNeedsMap() || o.Kind == mapswitch.Prepare && reply.GetResult() == api.OrderResult_ORDER_UNFIT {
			g.needsWholeMap[members[rank].engine.ID] = true
		}
	}
}

// logOrders logs one line for all equal orders that ranks accepted, which are many, and one line
// for each order that was not accepted.
func (g *group) logOrders(byRank map[int]mapswitch.Order, responses []rankResponse) {
	accepted := make(map[mapswitch.Order]int)
	lackMap := 0
	for rank, o := range byRank {
		resp := responses[rank]
		if resp.reply.GetNeedsMap() {
			lackMap++
			continue
		}
		if resp.reply.GetResult() == api.OrderResult_ORDER_TAKEN {
			o.Rank = 0
			accepted[o]++
			continue
		}
		_ = level.Warn(g.c.logger).Log("msg", "A rank did not accept an order.", "group", g.name, "rank", rank, "kind", o.Kind,
			"version", o.Version, "step", o.Step, "epoch", o.Epoch, "fence", g.c.fence.Load(), "outcome", resp.reply.GetResult(),
			"direct", resp.direct, "err", resp.err, "result", result.Label(api.ResultCode_CONFLICT))
	}
	if lackMap > 0 {
		_ = level.Info(g.c.logger).Log("msg", "Rank agents lack the map in use and are sent the new one whole.", "group", g.name,
			"ranks", lackMap, "version", g.targetVersion, "epoch", g.epoch)
	}
	for o, n := range accepted {
		_ = level.Info(g.c.logger).Log("msg", "Ranks accepted an order.", "group", g.name, "ranks", n, "kind", o.Kind,
			"version", o.Version, "step", o.Step, "epoch", o.Epoch, "fence", g.c.fence.Load())
	}
}

// applyResponse updates the rank's state with the response to an order.
func (m *member) applyResponse(o mapswitch.Order, resp rankResponse) {
	if resp.reply.GetState() != nil {
		m.reply.State = resp.reply.GetState()
		m.stale = resp.direct
	}
	if resp.direct && o.Kind == mapswitch.Arm && resp.reply.GetResult() == api.OrderResult_ORDER_TAKEN {
		// The state that an engine reports to another VM is older than its answer to the order.
		m.reply.State.ArmedVersion, m.reply.State.ArmedStep = o.Version, o.Step
		m.stale = false
	}
}

func layersOf(maps []balance.LayerMap) [][][]int32 {
	layers := make([][][]int32, len(maps))
	for i, set := range maps {
		layers[i] = set
	}
	return layers
}
