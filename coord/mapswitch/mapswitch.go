// Package mapswitch switches all ranks of a group from one expert map to another in the same pass
// (one step of all ranks).
//
// Ranks do not compare maps with each other: each carries out its orders on its own. Orders may be
// lost, may be carried out seconds late, and their answers may be lost. A group in which two ranks
// begin a pass with different maps gives wrong output, so the Machine lets a pass begin only when
// it is certain that all ranks use the same map:
//
//  1. Every rank prepares the new map; nothing else happens until all report it as prepared.
//  2. One rank holds the group at a pass one or two ahead.
//  3. Only when the hold is reported is every rank armed for that pass.
//  4. Only when all are reported armed for it, with the same version, is the hold released.
//
// The coordinator may die at any of these points. All that matters is in the reports of the ranks,
// so another coordinator can continue from there. Since a hold is only released with all ranks
// armed, an order of the dead coordinator that is still in transit finds its own map prepared, the
// rank already armed, or the pass begun, and is refused. A hold does not expire either: if nobody
// releases it the group waits, which costs time but no answer.
//
// A coordinator that does not know yet that another has taken over may still act. Before anything
// else, in each epoch, every rank is therefore given the fence of the new coordinator. From then on
// it refuses the old one, on engines that compare fences.
//
// A Machine has no clock, socket or goroutine, and is not safe for concurrent use.
package mapswitch

import "time"

// Arming is a rank's pending switch to another map.
type Arming struct {
	Version int64
	// Step is the first pass for which the rank uses the version.
	Step int64
}

// Status is the report of one rank.
type Status struct {
	// Epoch counts the starts of the group; each starts with map 0, nothing prepared, armed or
	// held.
	Epoch int64
	// Step is the last pass that the rank has begun.
	Step int64
	// Map is the version in use, Prepared the one whose copy is complete; zero for none.
	Map, Prepared int64
	// Armed and Held are nil for none. Held is the pass at which the rank holds the group.
	Armed *Arming
	Held  *int64
	// Stale marks a report that may be some moments old, as when the engine was called directly
	// over the network and not through its rank agent. A rank that has since answered an order to
	// arm it is Armed and not Stale.
	Stale bool
}

// Kind is the type of an order.
type Kind uint8

// Kinds of orders.
const (
	// Prepare makes a rank copy the experts of a version that it lacks.
	Prepare Kind = iota
	// Hold keeps the group from beginning a pass.
	Hold
	// Arm makes a rank use a version from a given pass on.
	Arm
	// Disarm cancels an Arm.
	Disarm
	// ReleaseHold releases a hold.
	ReleaseHold
	// Claim makes the rank refuse coordinators with lower fences, and changes nothing else.
	Claim
)

// String returns the name of the order.
func (k Kind) String() string {
	return [...]string{"prepare", "hold", "arm", "disarm", "go", "claim"}[k]
}

// Order is an order to one rank.
type Order struct {
	Rank    int
	Kind    Kind
	Version int64
	Step    int64
	// Epoch is the group's epoch; the order has no meaning in another one.
	Epoch int64
}

// Config holds the time limits of a Machine. A zero field takes its default.
type Config struct {
	// LongPass is the pass time from which on the group is held at the next pass instead of the one
	// after it. Default 150 ms: the orders of a switch take a few round trips, so the group does
	// not stall, and does not wait for a second long pass either.
	LongPass time.Duration
	// RetryInterval is the time after which an order is sent again if the rank does not report that
	// it was carried out. Default 250 ms, more than the age of a report.
	RetryInterval time.Duration
}

// Machine is the coordinator's state machine for one group.
type Machine struct {
	cfg Config
	// lastSent is the time at which each order was last sent.
	lastSent map[Order]time.Duration
	// passTime is the duration of a pass; zero if unknown.
	passTime time.Duration
	// claimedEpoch is the epoch in which each rank accepted a claim.
	claimedEpoch map[int]int64
}

// New returns a machine that has sent no order.
func New(cfg Config) *Machine {
	if cfg.LongPass == 0 {
		cfg.LongPass = 150 * time.Millisecond
	}
	if cfg.RetryInterval == 0 {
		cfg.RetryInterval = 250 * time.Millisecond
	}
	return &Machine{cfg: cfg, lastSent: make(map[Order]time.Duration), claimedEpoch: make(map[int]int64)}
}

// Decision is what the coordinator must do next.
type Decision struct {
	Orders []Order
	// NeedsNewTarget is set when the held ranks have different versions prepared, as after two
	// coordinators acted at once, or when a rank would refuse the target as outdated. A version
	// that is new to all ranks must become the target.
	NeedsNewTarget bool
	// InProgress is set while a switch is in progress, so that no other target may be chosen.
	InProgress bool
}

// Decide returns the next orders, based on the reports of all ranks of a group in rank order. The
// target is the version to switch to, zero for none. Reports of different epochs lead to no orders.
func (m *Machine) Decide(now time.Duration, ranks []Status, target int64) Decision {
	if len(ranks) == 0 || !sameEpoch(ranks) {
		return Decision{InProgress: true}
	}
	if d, claimed := m.claimRanks(now, ranks); !claimed {
		return d
	}
	holder, arming := earliestHold(ranks), earliestArmed(ranks)
	if arming != nil && (holder < 0 || arming.Step < *ranks[holder].Held) {
		return m.armedWithoutHold(now, ranks, *arming)
	}
	if holder >= 0 {
		return m.armAndReleaseHold(now, ranks, holder, target)
	}
	if target == 0 || allUse(ranks, target) {
		return Decision{}
	}
	d := Decision{InProgress: true}
	if isTargetOutdated(ranks, target) {
		d.NeedsNewTarget = true
		return d
	}
	for rank, s := range ranks {
		if s.Prepared != target && s.Map != target {
			d.Orders = m.appendIfDue(d.Orders, now, Order{Rank: rank, Kind: Prepare, Version: target, Epoch: s.Epoch})
		}
	}
	if !allPrepared(ranks, target) {
		return d
	}
	step := lastStep(ranks) + m.LeadPasses()
	if !m.isHoldPending(now) {
		d.Orders = m.appendIfDue(d.Orders, now, Order{Rank: 0, Kind: Hold, Step: step, Epoch: ranks[0].Epoch})
	}
	return d
}

// OrderUnanswered reports that it is unknown whether an order was carried out. It is sent again as
// soon as the rank reports that it was not. Without this, a held group would wait RetryInterval, as
// for a report that may be stale, for each order that an engine leaves unanswered.
func (m *Machine) OrderUnanswered(o Order) { delete(m.lastSent, o) }

// HoldRefused reports that a rank has refused a hold, because its pass had begun. A hold at a later
// pass may be sent at once: without this, a group with short passes, whose reports take as long as
// two of them, would wait RetryInterval for each such refusal.
func (m *Machine) HoldRefused(o Order) { delete(m.lastSent, o) }

// ClaimAccepted reports that a rank has accepted a claim. Its status must have been read after
// that.
func (m *Machine) ClaimAccepted(rank int, epoch int64) { m.claimedEpoch[rank] = epoch }

// claimRanks makes every rank refuse coordinators with lower fences.
//
// The ranks' reports are of different moments. Without the claims, the previous coordinator could,
// in between, hold the group, arm all ranks and release the hold. The one rank that was read after
// that would look like the only one armed and be disarmed, and the pass would begin with two maps.
func (m *Machine) claimRanks(now time.Duration, ranks []Status) (Decision, bool) {
	d := Decision{InProgress: true}
	allClaimed := true
	for rank, s := range ranks {
		if epoch, ok := m.claimedEpoch[rank]; ok && epoch == s.Epoch {
			continue
		}
		allClaimed = false
		d.Orders = m.appendIfDue(d.Orders, now, Order{Rank: rank, Kind: Claim, Epoch: s.Epoch})
	}
	return d, allClaimed
}

// SetPassTime sets the current duration of a pass; zero if unknown.
func (m *Machine) SetPassTime(pass time.Duration) { m.passTime = pass }

// defaultLeadPasses is the number of passes that a switch looks ahead, unless passes are long.
const defaultLeadPasses = 2

// LeadPasses returns the number of passes between the last one begun and the one that is held.
func (m *Machine) LeadPasses() int64 {
	if m.passTime >= m.cfg.LongPass {
		return 1
	}
	return defaultLeadPasses
}

// isHoldPending reports whether an order to hold was sent recently. Without this check, every new
// report would lead to another one, for a later pass.
func (m *Machine) isHoldPending(now time.Duration) bool {
	for order, sentAt := range m.lastSent {
		if order.Kind == Hold && now-sentAt < m.cfg.RetryInterval {
			return true
		}
	}
	return false
}

// armAndReleaseHold arms all ranks of a held group, then releases the hold.
//
// The hold is released in no other case, whoever placed it. Otherwise an earlier order to arm that
// is carried out late could reach one rank of a group that continues with the old map.
func (m *Machine) armAndReleaseHold(now time.Duration, ranks []Status, holder int, target int64) Decision {
	d := Decision{InProgress: true}
	step := *ranks[holder].Held
	version := nextVersion(ranks[0])
	consistent := version != 0
	for _, s := range ranks {
		consistent = consistent && nextVersion(s) == version && (s.Armed == nil || s.Armed.Step == step)
	}
	if !consistent {
		return m.reconcile(now, ranks, target)
	}
	armed := 0
	for rank, s := range ranks {
		// A stale report does not count: the rank may have been disarmed since, and would continue
		// with the old map when the hold is released.
		if s.Armed != nil && !s.Stale {
			armed++
			continue
		}
		d.Orders = m.appendIfDue(d.Orders, now, Order{Rank: rank, Kind: Arm, Version: version, Step: step, Epoch: s.Epoch})
	}
	if armed == len(ranks) {
		d.Orders = m.appendIfDue(d.Orders, now, Order{Rank: holder, Kind: ReleaseHold, Step: step, Epoch: ranks[holder].Epoch})
	}
	return d
}

// reconcile brings the ranks of a held group to one prepared version.
//
// No rank is disarmed because of stale reports. They may be from before all ranks were armed, and
// the hold may have been released since: the disarmed rank would continue with the old map.
func (m *Machine) reconcile(now time.Duration, ranks []Status, target int64) Decision {
	d := Decision{InProgress: true}
	for _, s := range ranks {
		if s.Stale {
			return d
		}
	}
	for rank, s := range ranks {
		if s.Armed != nil {
			d.Orders = m.appendIfDue(d.Orders, now, Order{Rank: rank, Kind: Disarm, Version: s.Armed.Version, Epoch: s.Epoch})
		}
	}
	if isTargetOutdated(ranks, target) {
		d.NeedsNewTarget = true
		return d
	}
	for rank, s := range ranks {
		if s.Armed == nil && s.Prepared != target {
			d.Orders = m.appendIfDue(d.Orders, now, Order{Rank: rank, Kind: Prepare, Version: target, Epoch: s.Epoch})
		}
	}
	return d
}

// armedWithoutHold handles ranks that are armed for a pass at which nothing holds the group.
// Normally all of them are armed alike: the hold was released, and the pass is still ahead.
// Otherwise the group is held at once at that pass, which may still be in time.
//
// No rank is disarmed, even if the group is held at a later pass, as by an order that arrived late:
// the pass may begin at any moment.
func (m *Machine) armedWithoutHold(now time.Duration, ranks []Status, arming Arming) Decision {
	d := Decision{InProgress: true}
	for _, s := range ranks {
		switched := s.Armed == nil && s.Map == arming.Version
		if !switched && (s.Armed == nil || *s.Armed != arming) {
			return m.holdFreeRank(now, ranks, arming.Step)
		}
	}
	return d
}

// holdFreeRank holds the group at a pass through the first rank that has no hold.
func (m *Machine) holdFreeRank(now time.Duration, ranks []Status, step int64) Decision {
	d := Decision{InProgress: true}
	for rank, s := range ranks {
		if s.Held == nil {
			d.Orders = m.appendIfDue(d.Orders, now, Order{Rank: rank, Kind: Hold, Step: step, Epoch: s.Epoch})
			return d
		}
	}
	return d
}

// appendIfDue adds an order, unless it was sent within the last RetryInterval.
func (m *Machine) appendIfDue(orders []Order, now time.Duration, o Order) []Order {
	if sentAt, ok := m.lastSent[o]; ok && now-sentAt < m.cfg.RetryInterval {
		return orders
	}
	for order, sentAt := range m.lastSent {
		if now-sentAt > time.Minute {
			delete(m.lastSent, order)
		}
	}
	m.lastSent[o] = now
	return append(orders, o)
}
