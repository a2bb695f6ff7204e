package expertmap

import (
	"time"

	"github.com/apricothub/apricothub/api"
)

// Step takes in a message from an agent. Others are ignored.
func (c *Coordinator) Step(now time.Duration, m *api.GroupMessage) {
	from := c.members[m.GetFromVm()]
	if m.GetGroup() != c.config.Group || from == nil {
		return
	}
	switch body := m.GetBody().(type) {
	case *api.GroupMessage_SealAck:
		c.sealAck(now, from, body.SealAck)
	case *api.GroupMessage_LoadAck:
		if c.counts(from, body.LoadAck.GetBallot(), body.LoadAck.GetIncarnation()) {
			from.loaded[body.LoadAck.GetMapVersion()] = true
			c.extend(now)
		}
	case *api.GroupMessage_AssignAck:
		if c.counts(from, body.AssignAck.GetBallot(), body.AssignAck.GetIncarnation()) {
			c.assignAck(from, body.AssignAck)
		}
	case *api.GroupMessage_ReleaseAck:
		if c.counts(from, body.ReleaseAck.GetBallot(), body.ReleaseAck.GetIncarnation()) {
			from.givenTo = max(from.givenTo, body.ReleaseAck.GetGivenEnd())
			c.Progress(now, body.ReleaseAck.GetStep())
		}
	case *api.GroupMessage_Nack:
		c.nack(now, from, body.Nack)
	}
}

// counts says that an answer belongs to this ballot and to the incarnation that
// was sealed under it.
func (c *Coordinator) counts(from *member, ballot uint64, incarnation string) bool {
	return c.phase == Active && ballot == c.ballot && incarnation == from.incarnation
}

func (c *Coordinator) sealAck(now time.Duration, from *member, ack *api.SealAck) {
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
	given, ok := fromAPI(ack.GetGiven())
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

// nack reacts to a refusal of this ballot: a higher one has been promised, the agent
// was replaced, or another coordinator holds the same ballot.
func (c *Coordinator) nack(now time.Duration, from *member, nack *api.Nack) {
	c.seen = max(c.seen, nack.GetBallot())
	if nack.GetRefused() != c.ballot || (c.phase != Sealing && c.phase != Active) {
		return
	}
	if nack.GetBallot() >= c.ballot {
		c.lose(now)
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
			c.differences++
			c.lose(now)
			return
		}
		given = given.plus(m.given)
		c.step = max(c.step, m.step)
	}
	c.base = floorOf(c.step)
	c.plan = filled(given.clip(c.base, given.end()), c.base)
	c.phase = Active
	c.losses = 0
	c.beatAt = now
	c.sendLoads()
	if len(c.plan) > 0 {
		c.propose(now)
	}
	c.extend(now)
}

// filled closes gaps from base on with the map before them, or the one after at
// the start. No engine was given those steps, and none can be under an older
// ballot any more.
func filled(given ranges, base uint64) ranges {
	var out ranges
	at := base
	for _, r := range given {
		if r.Start > at {
			version := r.Map
			if len(out) > 0 {
				version = out[len(out)-1].Map
			}
			out = append(out, Range{Start: at, End: r.Start, Map: version})
		}
		out = append(out, r)
		at = r.End
	}
	return out.joined()
}

// current is the map at the end of the plan; 0 for none.
func (c *Coordinator) current() uint64 {
	if len(c.plan) == 0 {
		return 0
	}
	return c.plan[len(c.plan)-1].Map
}

// switching says that another map is wanted than the plan ends with.
func (c *Coordinator) switching() bool {
	return c.target != 0 && c.target != c.current()
}

// targetLoaded says that all agents have the wanted map.
func (c *Coordinator) targetLoaded() bool {
	for _, m := range c.members {
		if !m.loaded[c.target] {
			return false
		}
	}
	return true
}

// extend plans further steps when less than half of those ahead are left, or when
// the wanted map has been loaded everywhere. Half is kept, so that the round of
// assign, acknowledge and release ends long before the ranks get there.
func (c *Coordinator) extend(now time.Duration) {
	if c.phase != Active {
		return
	}
	c.plan = c.plan.clip(min(floorOf(c.step), c.lastStep()), c.plan.end())
	start, next := max(c.plan.end(), c.base), c.current()
	change := c.switching() && c.targetLoaded()
	if change {
		next = c.target
	}
	if next == 0 || (!change && start >= c.step+c.config.Ahead/2) {
		return
	}
	end := max(c.step+c.config.Ahead, start+c.config.Ahead/2)
	c.plan = append(c.plan, Range{Start: start, End: end, Map: next}).joined()
	c.propose(now)
}

// lastStep keeps the plan's last range, for its map, when the ranks have run it all.
func (c *Coordinator) lastStep() uint64 {
	return floorOf(c.plan.end())
}

func (c *Coordinator) propose(now time.Duration) {
	c.sentAt = now
	for _, vm := range c.config.Members {
		c.sendAssign(vm, c.members[vm])
	}
}

// assignAck releases what all agents have acknowledged under this ballot. Released
// earlier, a range could meet an agent that has restarted and promised a higher
// ballot, whose coordinator gives the same step another map.
func (c *Coordinator) assignAck(from *member, ack *api.AssignAck) {
	held, ok := fromAPI(ack.GetRanges())
	if !ok {
		return
	}
	from.ackedTo = max(from.ackedTo, held.end())
	all := c.plan.end()
	for _, m := range c.members {
		all = min(all, m.ackedTo)
	}
	if all <= c.releasedTo {
		return
	}
	c.releasedTo = all
	for _, vm := range c.config.Members {
		c.sendRelease(vm, c.members[vm])
	}
}
