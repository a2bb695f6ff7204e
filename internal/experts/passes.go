package experts

import "time"

// longPassFraction is the fraction of the accepted pause from which on a pass counts as long.
// Beyond it, a few more requests or a little more skew make streams late.
const longPassFraction = 0.6

// isPassLong reports whether passes are long, compared with the pauses that callers accept.
func (g *group) isPassLong() bool {
	return g.maxPause > 0 && float64(g.passTime) > longPassFraction*float64(g.maxPause)
}

// passTimeWeight is the weight of the newest sample in the moving average of the pass time.
const passTimeWeight = 0.5

// updatePassTime updates the moving average of the pass time and returns the number of passes since
// the last poll, which is zero in the first one: passes before it say nothing about the counts.
func (g *group) updatePassTime(members []*member, now time.Duration) int64 {
	g.maxPause = members[0].engine.MaxPause
	step := members[0].reply.GetState().GetStep()
	if g.lastStepAt == 0 {
		g.lastStep, g.lastStepAt = step, now
		return 0
	}
	passes := step - g.lastStep
	if passes > 0 {
		sample := (now - g.lastStepAt) / time.Duration(passes)
		if g.passTime == 0 {
			g.passTime = sample
		}
		g.passTime += time.Duration(passTimeWeight * float64(sample-g.passTime))
	}
	if passes != 0 {
		g.lastStep, g.lastStepAt = step, now
	}
	return passes
}

// slowestOwnPart returns the least time that the slowest rank takes of its own in a pass; zero if
// unknown. The moving average of passes shows a rank that has just become slow only when its first
// pass is over, and a switch that looks two passes ahead would wait for a second one.
func slowestOwnPart(members []*member) time.Duration {
	slowest := time.Duration(0)
	for _, m := range members {
		slowest = max(slowest, time.Duration(m.reply.GetState().GetPace()*float64(m.engine.Config.OwnPart())))
	}
	return slowest
}
