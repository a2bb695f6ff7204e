package admit

import "time"

// guaranteeRecoveryPerSecond is the part of a guarantee that comes back in a second after a
// cut: a caller keeps to one entry for some seconds, and a customer's demand
// moves between entries as fast.
const guaranteeRecoveryPerSecond = 0.1

// guarantee is how many requests of a customer may run from this entry whatever
// its slots.
//
// Load: a customer within its share whose callers all keep to this entry, while a
// customer beyond its share fills what is free at every entry. Harm prevented:
// this entry's part is too small for the customer's whole share, and it waits or
// is refused though others run beyond theirs. The whole share is let through, to
// the agents' queues, which serve by share over all entries. An agent that has no
// place even so shows that the customer uses its share elsewhere too: each such
// refusal halves what is let through, down to the even part.
func (o *offer) guarantee(now time.Duration, c *customer) int {
	c.guaranteeRatio = min(c.guaranteeRatio+guaranteeRecoveryPerSecond*(now-c.guaranteeUpdatedAt).Seconds(), 1)
	c.guaranteeUpdatedAt = now
	if o.availability != Available {
		return 0 // Nobody may get what would be let through.
	}
	return int(float64(o.total) * c.share * c.guaranteeRatio)
}

// reduceGuarantee lowers a customer's guarantee after an agent had no place for it.
func (o *offer) reduceGuarantee(now time.Duration, c *customer) {
	o.guarantee(now, c)
	c.guaranteeRatio = max(c.guaranteeRatio/2, 1/float64(max(o.entries, 1)))
}

// isGuaranteed says whether a customer may start one more by its guarantee.
func (o *offer) isGuaranteed(now time.Duration, c *customer) bool {
	return c.running < o.guarantee(now, c)
}

// SetTotalCapacity sets how many requests for an offer all backend servers can hold, and
// the number of live entries. Without it no share is guaranteed beyond this
// entry's slots.
func (a *Admitter) SetTotalCapacity(key string, capacity, entries int) {
	o := a.offer(key)
	o.total = max(capacity, 0)
	o.entries = entries
}

// Shares is each customer's part of the whole capacity if every customer asked:
// its plan's share among the plans, times its weight among the plan's customers.
// An agent takes it as the weight of a customer in its queue.
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
