package admit

import "time"

// guaranteeRecoveryPerSecond is the fraction of a guarantee that is restored per second after a
// reduction. A caller stays at one entry for some seconds, and a customer's demand moves between
// entries as fast.
const guaranteeRecoveryPerSecond = 0.1

// guarantee is the number of requests of a customer that may run from this entry whatever its
// slots.
//
// All callers of a customer within its share may use this entry, while a customer beyond its share
// uses all free slots at every entry. The slots of this entry are then too few for the first
// customer's share, and without a guarantee its requests wait or are refused while others run
// beyond their shares. The whole share is therefore sent to the agents, whose queues serve by share
// over all entries. An agent without a slot for a guaranteed request shows that the customer uses
// its share through other entries too: each such refusal halves the guarantee, down to an even part
// of the share per entry.
func (o *offer) guarantee(now time.Duration, c *customer) int {
	c.guaranteeRatio = min(c.guaranteeRatio+guaranteeRecoveryPerSecond*(now-c.guaranteeUpdatedAt).Seconds(), 1)
	c.guaranteeUpdatedAt = now
	// Nothing can be guaranteed where no backend server takes requests, or where urgency limits them.
	if o.availability != Available || o.urgency.isLimited() {
		return 0
	}
	return int(float64(o.totalSlots) * c.share * c.guaranteeRatio)
}

// reduceGuarantee halves a customer's guarantee after an agent had no slot for a guaranteed
// request.
func (o *offer) reduceGuarantee(now time.Duration, c *customer) {
	o.guarantee(now, c)
	c.guaranteeRatio = max(c.guaranteeRatio/2, 1/float64(max(o.entries, 1)))
}

// isGuaranteed reports whether the guarantee allows the customer one more running request.
func (o *offer) isGuaranteed(now time.Duration, c *customer) bool {
	return c.running < o.guarantee(now, c)
}

// SetTotalCapacity sets how many requests for an offer all backend servers can hold, and the number
// of live entries. Until it is called, no share is guaranteed beyond this entry's slots.
func (a *Admitter) SetTotalCapacity(key string, capacity, entries int) {
	o := a.offer(key)
	o.totalSlots = max(capacity, 0)
	o.entries = entries
}

// Shares returns each customer's fraction of the total capacity if all customers were active: its
// plan's fraction of all shares, times its fraction of the plan's weights. Agents use it as the
// weight of a customer in their queues.
func Shares(plans []PlanShare, customers []CustomerShare) map[string]float64 {
	byPlan := make(map[string]float64, len(plans))
	totalShare := 0.0
	for _, p := range plans {
		byPlan[p.Name] = p.Share
		totalShare += p.Share
	}
	weights := make(map[string]float64, len(plans))
	for _, c := range customers {
		weights[c.Plan] += c.Weight
	}
	shares := make(map[string]float64, len(customers))
	for _, c := range customers {
		if totalShare > 0 && weights[c.Plan] > 0 {
			shares[c.Name] = byPlan[c.Plan] / totalShare * c.Weight / weights[c.Plan]
		}
	}
	return shares
}
