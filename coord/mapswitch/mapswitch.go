// Package mapswitch takes all ranks of a group from one expert map to another in the same
// pass.
//
// The ranks do not compare maps: they do as they are ordered, each by itself. Orders may be
// lost, may be carried out seconds late, and their answers may be lost. A group in which two
// ranks begin a pass with different maps gives wrong output, so that the Machine never lets
// a pass begin of which it is not certain:
//
//  1. every rank prepares the new map; nothing goes on until all report it as prepared;
//  2. one rank holds the group at a pass some way ahead;
//  3. only when the hold is reported every rank is armed for that pass;
//  4. only when all are reported armed for it, with the same version, the hold is let go.
//
// Whoever coordinates may die at any of these points. All that matters stands in what the
// ranks report, so that another one goes on from there; and since a hold is only let go with
// all ranks armed, an order of the dead one that is still on its way finds either its own
// map prepared, armed already, or the pass begun, and is refused. The hold that nobody lets
// go cannot lapse either: the group then waits, which costs time and no answer.
//
// A coordinator that has not heard that it was followed may still act. Before anything else
// every rank is therefore told the number of the new one, in each epoch: from then on it
// refuses the old one, on engines that compare numbers.
//
// A Machine holds no clock, socket or goroutine, and is not safe for use by several
// goroutines at once.
package mapswitch

import "time"

// Arming is a rank's order to change maps.
type Arming struct {
	Version int64
	// Step is the pass with which the rank uses the version.
	Step int64
}

// Status is what one rank reports.
type Status struct {
	// Epoch counts the group's starts; each one begins with map 0 and nothing else.
	Epoch int64
	// Step is the last pass that the rank has begun.
	Step int64
	// Map is the version in use, Prepared the one whose copy is complete; zero for none.
	Map, Prepared int64
	// Armed and Held are nil for none. Held is the pass at which the rank holds the group.
	Armed *Arming
	Held  *int64
	// Stale says that the report may be of some moments ago, as when the rank was asked from
	// afar. A rank that has since answered an order to arm it is Armed and not Stale.
	Stale bool
}

// Kind says what an order does.
type Kind uint8

// The orders.
const (
	// Prepare has a rank copy the experts of a version that it lacks.
	Prepare Kind = iota
	// Hold keeps the group from beginning a pass.
	Hold
	// Arm has a rank use a version from a pass on.
	Arm
	// Disarm takes that back.
	Disarm
	// ReleaseHold lets go of a hold.
	ReleaseHold
	// Claim changes nothing but that the rank refuses coordinators with lower numbers.
	Claim
)

// String names the order.
func (k Kind) String() string {
	return [...]string{"prepare", "hold", "arm", "disarm", "go", "claim"}[k]
}

// Order is an order to one rank.
type Order struct {
	Rank    int
	Kind    Kind
	Version int64
	Step    int64
	// Epoch is the group's; in another one the order means nothing.
	Epoch int64
}

// Config holds the limits of a machine. A zero field takes its default.
type Config struct {
	// LongPass is the time of a pass from which on the group is held at the next one, and not at
	// the one after it. Default 150 ms: the orders of a switch take a few round trips, so that
	// the group does not come to stand, and does not wait for a second long pass either.
	LongPass time.Duration
	// RetryInterval is the time after which an order is given again when the rank does not report
	// that it was carried out. Default 250 ms, above a report's age.
	RetryInterval time.Duration
}

// Machine is the coordinator's side for one group.
type Machine struct {
	cfg Config
	// lastSent is when each order was given last.
	lastSent map[Order]time.Duration
	// passTime is the time of a passTime, zero for unknown.
	passTime time.Duration
	// claimedEpoch is the epoch in which each rank has taken a claim.
	claimedEpoch map[int]int64
}

// New returns a machine that has given no order.
func New(cfg Config) *Machine {
	if cfg.LongPass == 0 {
		cfg.LongPass = 150 * time.Millisecond
	}
	if cfg.RetryInterval == 0 {
		cfg.RetryInterval = 250 * time.Millisecond
	}
	return &Machine{cfg: cfg, lastSent: make(map[Order]time.Duration), claimedEpoch: make(map[int]int64)}
}

// Decision is what to do next.
type Decision struct {
	Orders []Order
	// NeedsNewTarget says that the ranks are held with different versions prepared, as after two
	// coordinators at once. A version that is new to all ranks must become the target.
	NeedsNewTarget bool
	// InProgress says that a switch is under way, so that no other target may be chosen.
	InProgress bool
}

// Decide decides by the reports of all ranks of a group, in their order. The target is the
// version to change to, zero for none. Reports of different epochs decide nothing.
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

// OrderUnanswered says that nobody knows whether an order was carried out. It is given again as soon
// as the rank reports that it was not.
//
// Load: engines that leave some of their orders unanswered. Harm prevented: a group that is held
// waits for each of them as long as for a report that may be old.
func (m *Machine) OrderUnanswered(o Order) { delete(m.lastSent, o) }

// ClaimAccepted says that a rank has taken a claim. What it is reported to be must have been read
// after that.
func (m *Machine) ClaimAccepted(rank int, epoch int64) { m.claimedEpoch[rank] = epoch }

// claimRanks has every rank refuse coordinators with lower numbers.
//
// Safeguard: the ranks' reports are of different moments. Without this, the coordinator before
// may in between hold the group, arm all ranks and let go; the one rank that was read after
// that is taken for the only one armed and is disarmed, and the pass begins with two maps.
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

// SetPassTime tells how long a pass takes at present; zero for unknown.
func (m *Machine) SetPassTime(pass time.Duration) { m.passTime = pass }

// defaultLeadPasses is the number of passes that a switch looks ahead.
const defaultLeadPasses = 2

// LeadPasses is the number of passes between the last one begun and the one that is held.
func (m *Machine) LeadPasses() int64 {
	if m.passTime >= m.cfg.LongPass {
		return 1
	}
	return defaultLeadPasses
}

// isHoldPending says that an order to hold is on its way. Another one for a later pass would
// follow it with each report.
func (m *Machine) isHoldPending(now time.Duration) bool {
	for order, sentAt := range m.lastSent {
		if order.Kind == Hold && now-sentAt < m.cfg.RetryInterval {
			return true
		}
	}
	return false
}

// armAndReleaseHold brings a held group to the point where all ranks are armed, and lets go.
//
// Safeguard: the hold is let go in no other case, whoever placed it. Without that an order
// to arm, given before and carried out late, would reach one rank of a group that goes on
// with the old map.
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
		// Safeguard: a late report does not count. The rank may have been disarmed since,
		// and would go on with the old map when the hold is let go.
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
// Safeguard: nobody is disarmed by late reports. They may be of a time before all ranks were
// armed, and the hold may have been let go since: the one rank would go on with the old map.
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

// armedWithoutHold watches over ranks that are armed for a pass at which nothing holds the
// group. All of them armed alike is the usual way: the hold was let go, and the pass is still
// ahead. Otherwise the group is held at once at the pass in question, where it may still be
// in time.
//
// Safeguard: nobody is disarmed, also when the group is held at a later pass, as by an order
// that arrived late: the pass may begin at any moment.
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

// holdFreeRank holds the group at a pass by a rank that does not hold it at another one.
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

// appendIfDue adds an order, unless it was given a moment ago.
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

// isTargetOutdated says that a rank has had a version that a target is not higher than: it would
// refuse to prepare it.
func isTargetOutdated(ranks []Status, target int64) bool {
	for _, s := range ranks {
		if target <= s.Map || s.Prepared > target || s.Armed != nil && s.Armed.Version >= target {
			return true
		}
	}
	return false
}

// nextVersion is the version that a rank would change to.
func nextVersion(s Status) int64 {
	if s.Armed != nil {
		return s.Armed.Version
	}
	if s.Prepared > s.Map {
		return s.Prepared
	}
	return 0
}

func sameEpoch(ranks []Status) bool {
	for _, s := range ranks {
		if s.Epoch != ranks[0].Epoch {
			return false
		}
	}
	return true
}

// earliestHold returns the rank that holds the group at the next pass, or -1.
func earliestHold(ranks []Status) int {
	holder := -1
	for rank, s := range ranks {
		if s.Held != nil && (holder < 0 || *s.Held < *ranks[holder].Held) {
			holder = rank
		}
	}
	return holder
}

// earliestArmed returns what is armed for the lowest pass, or nil.
func earliestArmed(ranks []Status) *Arming {
	var earliest *Arming
	for _, s := range ranks {
		if s.Armed != nil && (earliest == nil || s.Armed.Step < earliest.Step) {
			earliest = s.Armed
		}
	}
	return earliest
}

func allUse(ranks []Status, version int64) bool {
	for _, s := range ranks {
		if s.Map != version {
			return false
		}
	}
	return true
}

func allPrepared(ranks []Status, version int64) bool {
	for _, s := range ranks {
		if s.Prepared != version {
			return false
		}
	}
	return true
}

func lastStep(ranks []Status) int64 {
	last := int64(0)
	for _, s := range ranks {
		last = max(last, s.Step)
	}
	return last
}
