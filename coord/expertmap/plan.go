package expertmap

import (
	"time"

	"github.com/apricothub/apricothub/api"
)

// HandleMessage takes in a message from an agent. Others are ignored.
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

// isCurrent says that an answer belongs to this ballot and to the incarnation that
// was sealed under it.
func (c *Coordinator) isCurrent(from *member, ballot uint64, incarnation string) bool {
	return c.phase == Active && ballot == c.ballot && incarnation == from.incarnation
}

func (c *Coordinator) handleSealAck(now time.Duration, from *member, ack *api.SealAck) {
	if c.phase != Sealing || ack.GetBallot() != c.ballot {
		return
	}
	if from.sealed {
		// The agent was replaced after its promise, and sealed again by a copy of the
		// message: the promise of the first is void, so only a new ballot will do.
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

// handleNack reacts to a refusal of this ballot: a higher one has been promised, the agent
// was replaced, or another coordinator holds the same ballot.
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

// activate lays the plan when all have promised: the steps that engines were given
// keep their maps, and all others are free.
func (c *Coordinator) activate(now time.Duration) {
	var given ranges
	for _, vm := range c.config.Members {
		m := c.members[vm]
		// An agent tells of what it is about to give its engine. If it dies before, a
		// lower ballot may give those steps another map, and this report is out of date:
		// the ballot is lost with the agent's promise, and the next one sees the truth.
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

// fillGaps closes gaps from base on with the map before them, or the one after at
// the start. No engine was given those steps, and none can be under an older
// ballot any more.
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

// lastPlannedMap is the map at the end of the plan; 0 for none.
func (c *Coordinator) lastPlannedMap() uint64 {
	if len(c.plan) == 0 {
		return 0
	}
	return c.plan[len(c.plan)-1].Map
}

// isSwitching says that another map is wanted than the plan ends with.
func (c *Coordinator) isSwitching() bool {
	return c.target != 0 && c.target != c.lastPlannedMap()
}

// isTargetLoaded says that all agents have the wanted map.
func (c *Coordinator) isTargetLoaded() bool {
	for _, m := range c.members {
		if !m.loaded[c.target] {
			return false
		}
	}
	return true
}

// extendPlan plans further steps when less than half of those ahead are left, or when
// the wanted map has been loaded everywhere. Half is kept, so that the round of
// assign, acknowledge and release ends long before the ranks get there.
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

// lastPlannedStep keeps the plan's last range, for its map, when the ranks have run it all.
func (c *Coordinator) lastPlannedStep() uint64 {
	return oldestNeededStep(c.plan.end())
}

func (c *Coordinator) sendAssigns(now time.Duration) {
	c.lastSentAt = now
	for _, vm := range c.config.Members {
		c.sendAssign(vm, c.members[vm])
	}
}

// handleAssignAck releases what all agents have acknowledged under this ballot. Released
// earlier, a range could meet an agent that has restarted and promised a higher
// ballot, whose coordinator gives the same step another map.
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
