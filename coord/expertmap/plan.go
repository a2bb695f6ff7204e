package expertmap

import (
	"time"

	"github.com/apricothub/apricothub/api"
)

// HandleMessage processes a message from an agent. Other messages are ignored.
func (c *Coordinator) HandleMessage(now time.Duration, m *api.GroupMessage) {
	from := c.members[m.GetFromVm()]
	if m.GetGroup() != c.config.Group || from == nil {
		return
	}
	switch body := m.GetBody().(type) {
	case *api.GroupMessage_SealAck:
		c.handleSealAck(now, from, body.SealAck)
	case *api.GroupMessage_LoadAck:
		if c.isCurrent(from, body.LoadAck.GetBallot(), body.LoadAck.GetIncarnation()) {
			from.loaded[body.LoadAck.GetMapVersion()] = true
			c.extendPlan(now)
		}
	case *api.GroupMessage_AssignAck:
		if c.isCurrent(from, body.AssignAck.GetBallot(), body.AssignAck.GetIncarnation()) {
			c.handleAssignAck(from, body.AssignAck)
		}
	case *api.GroupMessage_ReleaseAck:
		if c.isCurrent(from, body.ReleaseAck.GetBallot(), body.ReleaseAck.GetIncarnation()) {
			from.givenEnd = max(from.givenEnd, body.ReleaseAck.GetGivenEnd())
			c.SetStep(now, body.ReleaseAck.GetStep())
		}
	case *api.GroupMessage_Nack:
		c.handleNack(now, from, body.Nack)
	}
}

// isCurrent reports whether an answer belongs to this ballot and to the incarnation that was sealed
// under it.
func (c *Coordinator) isCurrent(from *member, ballot uint64, incarnation string) bool {
	return c.phase == Active && ballot == c.ballot && incarnation == from.incarnation
}

func (c *Coordinator) handleSealAck(now time.Duration, from *member, ack *api.SealAck) {
	if c.phase != Sealing || ack.GetBallot() != c.ballot {
		return
	}
	if from.sealed {
		// The agent was replaced after it answered the seal, and its successor answered a repeated
		// seal. The promise of the first incarnation is void, so a new ballot is needed.
		if from.incarnation != ack.GetIncarnation() {
			c.campaign(now)
		}
		return
	}
	given, ok := rangesFromAPI(ack.GetGiven())
	if !ok {
		return
	}
	from.sealed, from.incarnation = true, ack.GetIncarnation()
	from.given, from.step = given, ack.GetStep()
	for _, m := range c.members {
		if !m.sealed {
			return
		}
	}
	c.activate(now)
}

// handleNack handles a refusal of this ballot: the agent has promised a higher one, the agent was
// replaced, or another coordinator uses the same ballot.
func (c *Coordinator) handleNack(now time.Duration, from *member, nack *api.Nack) {
	c.highestBallot = max(c.highestBallot, nack.GetBallot())
	if nack.GetRefused() != c.ballot || (c.phase != Sealing && c.phase != Active) {
		return
	}
	if nack.GetBallot() >= c.ballot {
		c.backOff(now)
		return
	}
	if from.sealed && nack.GetIncarnation() != from.incarnation {
		c.campaign(now)
	}
}

// activate builds the plan when all agents have answered the seal. Steps that engines were given
// keep their maps; all others can be assigned freely.
func (c *Coordinator) activate(now time.Duration) {
	var given ranges
	for _, vm := range c.config.Members {
		m := c.members[vm]
		// An agent also reports what it is about to give its engine. If it dies before that, a
		// lower ballot may give those steps another map, and the report is out of date. The agent's
		// promise is lost with it, so this ballot cannot succeed; the next one reads the actual
		// state.
		if given.conflicts(m.given) {
			c.conflictingSeals++
			c.backOff(now)
			return
		}
		given = given.plus(m.given)
		c.step = max(c.step, m.step)
	}
	c.base = oldestNeededStep(c.step)
	c.plan = fillGaps(given.clip(c.base, given.end()), c.base)
	c.phase = Active
	c.lostRaces = 0
	c.lastHeartbeatAt = now
	c.sendLoads()
	if len(c.plan) > 0 {
		c.sendAssigns(now)
	}
	c.extendPlan(now)
}

// fillGaps closes gaps from base on with the map before them, or with the one after them at the
// start. No engine was given those steps, and none can be under an older ballot any more.
func fillGaps(given ranges, base uint64) ranges {
	var out ranges
	filledEnd := base
	for _, r := range given {
		if r.Start > filledEnd {
			version := r.Map
			if len(out) > 0 {
				version = out[len(out)-1].Map
			}
			out = append(out, Range{Start: filledEnd, End: r.Start, Map: version})
		}
		out = append(out, r)
		filledEnd = r.End
	}
	return out.joined()
}

// lastPlannedMap returns the map at the end of the plan, or 0 if the plan is empty.
func (c *Coordinator) lastPlannedMap() uint64 {
	if len(c.plan) == 0 {
		return 0
	}
	return c.plan[len(c.plan)-1].Map
}

// isSwitching reports whether the target differs from the map at the end of the plan.
func (c *Coordinator) isSwitching() bool {
	return c.target != 0 && c.target != c.lastPlannedMap()
}

// isTargetLoaded reports whether all agents have loaded the target map.
func (c *Coordinator) isTargetLoaded() bool {
	for _, m := range c.members {
		if !m.loaded[c.target] {
			return false
		}
	}
	return true
}

// extendPlan plans further steps when less than half of those ahead are left, or when all agents
// have loaded the target map. Half is kept so that the round of assign, acknowledge and release
// ends long before the ranks get there.
func (c *Coordinator) extendPlan(now time.Duration) {
	if c.phase != Active {
		return
	}
	c.plan = c.plan.clip(min(oldestNeededStep(c.step), c.lastPlannedStep()), c.plan.end())
	start, nextMap := max(c.plan.end(), c.base), c.lastPlannedMap()
	canSwitch := c.isSwitching() && c.isTargetLoaded()
	if canSwitch {
		nextMap = c.target
	}
	if nextMap == 0 || (!canSwitch && start >= c.step+c.config.LookaheadSteps/2) {
		return
	}
	end := max(c.step+c.config.LookaheadSteps, start+c.config.LookaheadSteps/2)
	c.plan = append(c.plan, Range{Start: start, End: end, Map: nextMap}).joined()
	c.sendAssigns(now)
}

// lastPlannedStep keeps the plan's last range, for its map, when the ranks have run all of it.
func (c *Coordinator) lastPlannedStep() uint64 {
	return oldestNeededStep(c.plan.end())
}

func (c *Coordinator) sendAssigns(now time.Duration) {
	c.lastSentAt = now
	for _, vm := range c.config.Members {
		c.sendAssign(vm, c.members[vm])
	}
}

// handleAssignAck releases what all agents have acknowledged under this ballot. Released earlier, a
// range could reach an agent that has restarted and promised a higher ballot, whose coordinator
// gives the same step another map.
func (c *Coordinator) handleAssignAck(from *member, ack *api.AssignAck) {
	acked, ok := rangesFromAPI(ack.GetRanges())
	if !ok {
		return
	}
	from.ackedEnd = max(from.ackedEnd, acked.end())
	ackedByAll := c.plan.end()
	for _, m := range c.members {
		ackedByAll = min(ackedByAll, m.ackedEnd)
	}
	if ackedByAll <= c.releasedEnd {
		return
	}
	c.releasedEnd = ackedByAll
	for _, vm := range c.config.Members {
		c.sendRelease(vm, c.members[vm])
	}
}
