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

// rounds bounds the orders that follow each other at one look: a switch takes three rounds,
// and more only after orders that did not arrive.
const rounds = 8

// group is one lock-step group as its coordinator sees it.
type group struct {
	c       *Coordinator
	name    string
	machine *mapswitch.Machine
	epoch   int64
	layers  *balance.LayerPlanner
	shape   balance.Shape
	// counts are the last counts of each rank, by engine; a rank that starts anew counts
	// from zero.
	counts map[string][]int64
	born   map[string]int64
	// held are the experts that each rank holds, by engine, of the version in use.
	held map[string]heldExperts
	// target is the version to change to, zero for none, and plan its map.
	target int64
	plan   []balance.LayerMap
	// began is when the target was set.
	began time.Duration
	// pass is the time of a pass, pause the longest one between events that callers accept.
	pass, pause time.Duration
	// step is the last pass begun that was reported, at lookedAt.
	step     int64
	lookedAt time.Duration
	// closedAt is when the group was first seen not to be open, zero while it is.
	closedAt time.Duration
}

type heldExperts struct {
	epoch, version int64
	sets           [][]int32
}

func newGroup(c *Coordinator, name string) *group {
	return &group{
		c: c, name: name, machine: mapswitch.New(mapswitch.Config{}),
		counts: make(map[string][]int64), born: make(map[string]int64), held: make(map[string]heldExperts),
	}
}

// knows says whether the experts that an engine holds are known.
func (g *group) knows(id string) bool {
	_, ok := g.held[id]
	return ok
}

// look takes in the ranks' replies and does what is next. It returns whether the next look must
// not wait: the group is being switched, is forming, or has just been claimed.
func (g *group) look(ctx context.Context, members []*member) bool {
	now := clock.Now()
	status := statuses(members)
	if status == nil || !g.begin(members) {
		return g.forming(now)
	}
	g.closedAt = 0
	if g.c.followedBy(status) {
		g.c.fenced = true
		return false
	}
	slices.SortFunc(members, func(a, b *member) int { return int(a.reply.GetState().GetRank() - b.reply.GetState().GetRank()) })
	passes := g.measure(members, now)
	g.machine.SetPassTime(g.pass)
	g.observe(members, passes)
	current := g.current(members)
	if g.target == 0 && current != nil {
		g.choose(current, now)
	}
	return g.drive(ctx, members, status)
}

// forming says that a group which is not open has not been so for long.
func (g *group) forming(now time.Duration) bool {
	if g.closedAt == 0 {
		g.closedAt = now
	}
	return now-g.closedAt < formTime
}

// begin makes the group's plan once its shape is known, and anew in a new epoch.
func (g *group) begin(members []*member) bool {
	state := members[0].reply.GetState()
	e := members[0].engine.Shape
	shape := balance.Shape{LayerSets: e.LayerSets, Experts: e.Experts, Ranks: int(state.GetSize()), SlotsPerRank: e.Slots, MaxNewExperts: e.Spare}
	if g.epoch != state.GetEpoch() {
		g.epoch = state.GetEpoch()
		g.target, g.plan = 0, nil
		g.pass, g.lookedAt, g.step = 0, 0, 0
		clear(g.held)
	}
	if g.layers != nil && g.shape == shape {
		return true
	}
	layers, err := balance.NewLayerPlanner(shape, balance.LayerPlannerConfig{CopyTime: loadTime(e)})
	if err != nil {
		return false
	}
	g.layers, g.shape = layers, shape
	return true
}

// loadTime is the time in which a rank copies one expert.
func loadTime(e *routing.Engine) time.Duration {
	if e.LinkMbps <= 0 {
		return 0
	}
	const bitsPerByte = 8
	return time.Duration(e.ExpertMB * bitsPerByte / e.LinkMbps * float64(time.Second))
}

// pressedPart is the part of the pause that callers accept from which on a pass is long:
// beyond it a few more requests, or a little more skew, make streams late.
const pressedPart = 0.6

// pressed says that passes are long against the pauses that callers accept.
func (g *group) pressed() bool {
	return g.pause > 0 && float64(g.pass) > pressedPart*float64(g.pause)
}

// passWeight is the weight of the newest look in the average time of a pass.
const passWeight = 0.5

// measure follows the time of a pass and returns the number of passes since the last look.
func (g *group) measure(members []*member, now time.Duration) int64 {
	g.pause = members[0].engine.Pause
	step := members[0].reply.GetState().GetStep()
	passes := step - g.step
	if g.lookedAt > 0 && passes > 0 {
		each := (now - g.lookedAt) / time.Duration(passes)
		if g.pass == 0 {
			g.pass = each
		}
		g.pass += time.Duration(passWeight * float64(each-g.pass))
	}
	if passes != 0 {
		g.step, g.lookedAt = step, now
	}
	return passes
}

// observe sums what all ranks' requests chose since the last look.
func (g *group) observe(members []*member, passes int64) {
	sums := make([][]float64, g.shape.LayerSets)
	for i := range sums {
		sums[i] = make([]float64, g.shape.Experts)
	}
	for _, m := range members {
		id, counts := m.engine.ID, m.reply.GetCounts()
		if len(counts) != g.shape.LayerSets*g.shape.Experts {
			continue
		}
		last := g.counts[id]
		g.counts[id] = counts
		if last == nil || g.born[id] != m.reply.GetState().GetBorn() {
			g.born[id] = m.reply.GetState().GetBorn()
			continue
		}
		for i, n := range counts {
			sums[i/g.shape.Experts][i%g.shape.Experts] += float64(max(n-last[i], 0))
		}
	}
	g.layers.Observe(passes, sums)
	paces := make([]float64, len(members))
	for rank, m := range members {
		paces[rank] = m.reply.GetState().GetPace()
	}
	g.layers.ObserveSlowdowns(paces)
}

// current returns the maps in use, or nil until all ranks have told theirs.
func (g *group) current(members []*member) []balance.LayerMap {
	maps := make([]balance.LayerMap, g.shape.LayerSets)
	for i := range maps {
		maps[i] = make(balance.LayerMap, g.shape.Ranks)
	}
	complete := true
	for rank, m := range members {
		state := m.reply.GetState()
		if sets := m.reply.GetExperts(); len(sets) == g.shape.LayerSets && m.reply.GetExpertsVersion() == state.GetMap() {
			told := heldExperts{epoch: state.GetEpoch(), version: state.GetMap()}
			for _, set := range sets {
				told.sets = append(told.sets, set.GetExperts())
			}
			g.held[m.engine.ID] = told
		}
		told, ok := g.held[m.engine.ID]
		if !ok || told.version != state.GetMap() || told.epoch != state.GetEpoch() {
			delete(g.held, m.engine.ID)
			complete = false
			continue
		}
		for set, experts := range told.sets {
			maps[set][rank] = experts
		}
	}
	if !complete {
		return nil
	}
	return maps
}

// switchTime is the least time that a change of maps takes beside its copies.
const switchTime = 150 * time.Millisecond

// choose sets a target when a change of maps is worth it.
func (g *group) choose(current []balance.LayerMap, now time.Duration) {
	g.layers.SetSwitchTime(max(switchTime, time.Duration(g.machine.LeadPasses())*g.pass))
	change := g.layers.Plan(current, g.pressed())
	if change == nil {
		return
	}
	g.target, g.plan, g.began = g.c.version(), change.Maps, now
	_ = level.Info(g.c.logger).Log("msg", "Experts are moved to follow their popularity.", "group", g.name, "epoch", g.epoch,
		"version", g.target, "pass", g.pass, "pressed", g.pressed(), "skew", change.SkewBefore, "skew_after", change.SkewAfter,
		"loads", change.MaxCopies, "fence", g.c.fence.Load())
}

// drive gives the orders that are next, and goes on with what the ranks answer.
func (g *group) drive(ctx context.Context, members []*member, status []mapswitch.Status) bool {
	busy := false
	for range rounds {
		d := g.machine.Decide(clock.Now(), status, g.target)
		busy = busy || d.InProgress
		if d.NeedsNewTarget {
			g.renew(members)
		}
		if !d.InProgress && g.target != 0 {
			g.done()
		}
		if len(d.Orders) == 0 || g.c.fenced {
			break
		}
		g.order(ctx, members, d.Orders)
		if status = statuses(members); status == nil {
			break
		}
	}
	return busy
}

// done ends a target that is in use.
func (g *group) done() {
	_ = level.Info(g.c.logger).Log("msg", "A new expert map is in use.", "group", g.name, "epoch", g.epoch,
		"version", g.target, "took_ms", (clock.Now() - g.began).Milliseconds())
	g.target, g.plan = 0, nil
	clear(g.held)
}

// renew makes the maps in use a target under a new version, which costs no copies: it gets a
// group going that others left held.
func (g *group) renew(members []*member) {
	current := g.current(members)
	if current == nil {
		return
	}
	g.target, g.plan, g.began = g.c.version(), current, clock.Now()
	_ = level.Info(g.c.logger).Log("msg", "The expert map is given a new version.", "group", g.name, "epoch", g.epoch,
		"version", g.target, "fence", g.c.fence.Load())
}

// order gives orders to the ranks, all at once, and takes in their answers.
func (g *group) order(ctx context.Context, members []*member, orders []mapswitch.Order) {
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
	layers := wireMap(g.plan)
	answers := g.c.askAll(ctx, engines, func(e Engine) *api.RankRequest {
		o, ok := byRank[rankOf[e.ID]]
		if !ok {
			return nil
		}
		if o.Kind == mapswitch.Claim {
			o.Version = g.c.noVersion()
		}
		sent := ranks.OrderToWire(o, g.c.fence.Load(), nil)
		if o.Kind == mapswitch.Prepare {
			sent = ranks.OrderToWire(o, g.c.fence.Load(), layers)
		}
		return &api.RankRequest{Order: sent}
	})
	g.logOrders(byRank, answers)
	for rank, a := range answers {
		o, ok := byRank[rank]
		if !ok {
			continue
		}
		members[rank].take(o, a)
		if a.reply.GetState() != nil && a.reply.GetResult() == api.OrderResult_ORDER_UNKNOWN && !a.direct {
			g.machine.OrderUnanswered(o)
		}
		if o.Kind == mapswitch.Claim && a.reply.GetResult() == api.OrderResult_ORDER_TAKEN {
			g.machine.ClaimAccepted(rank, o.Epoch)
		}
	}
}

// logOrders logs orders to ranks: one line for those of a kind that were taken, which are many
// and alike, and one for each that was not.
func (g *group) logOrders(byRank map[int]mapswitch.Order, answers []answer) {
	taken := make(map[mapswitch.Order]int)
	for rank, o := range byRank {
		a := answers[rank]
		if a.reply.GetResult() == api.OrderResult_ORDER_TAKEN {
			o.Rank = 0
			taken[o]++
			continue
		}
		_ = level.Warn(g.c.logger).Log("msg", "A rank did not take an order.", "group", g.name, "rank", rank, "kind", o.Kind,
			"version", o.Version, "step", o.Step, "epoch", o.Epoch, "fence", g.c.fence.Load(), "outcome", a.reply.GetResult(),
			"direct", a.direct, "err", a.err, "result", result.Label(api.ResultCode_CONFLICT))
	}
	for o, n := range taken {
		_ = level.Info(g.c.logger).Log("msg", "Ranks have taken an order.", "group", g.name, "ranks", n, "kind", o.Kind,
			"version", o.Version, "step", o.Step, "epoch", o.Epoch, "fence", g.c.fence.Load())
	}
}

// take takes in what came back for an order.
func (m *member) take(o mapswitch.Order, a answer) {
	if a.reply.GetState() != nil {
		m.reply.State = a.reply.GetState()
		m.late = a.direct
	}
	if a.direct && o.Kind == mapswitch.Arm && a.reply.GetResult() == api.OrderResult_ORDER_TAKEN {
		// What the engine says of itself from afar is older than its answer.
		m.reply.State.ArmedVersion, m.reply.State.ArmedStep = o.Version, o.Step
		m.late = false
	}
}

func wireMap(plan []balance.LayerMap) [][][]int32 {
	layers := make([][][]int32, len(plan))
	for i, set := range plan {
		layers[i] = set
	}
	return layers
}
