package config

import (
	"slices"
	"time"

	"github.com/apricothub/apricothub/api"
)

// AcceptanceState says how far a change has come.
type AcceptanceState int

const (
	// Pending: too few members have shown that they hold the change.
	Pending AcceptanceState = iota
	// Accepted: the change can no longer be lost sight of.
	Accepted
	// InForce: every live member has applied the change.
	InForce
)

func (s AcceptanceState) String() string {
	switch s {
	case Accepted:
		return "accepted"
	case InForce:
		return "in force"
	}
	return "pending"
}

// Acceptance follows one change that stands in the log until all members hold it.
//
// A change is accepted once every live entry holds it or, when one of them stays
// silent past the freshness limit, a majority does; in either case also a majority
// of all members. Package fresh lets a process go on in an outage of the log by
// hearing either of these majorities, and both meet both kinds of acceptance in
// at least one member.
//
// Waiting for every live entry guards against replacement: members keep nothing
// on disk, so a bare majority can be replaced by processes that know nothing.
type Acceptance struct {
	offset    int64
	freshness time.Duration
	since     time.Duration
	members   map[string]*memberAck
	reached   AcceptanceState
}

type memberAck struct {
	role    api.Role
	applied int64
	at      time.Duration
	by      string // the entry that reported it; empty for the member itself
}

// NewAcceptance follows the change at an offset, from the time it was seen in the
// log. Freshness is the limit that members keep to.
func NewAcceptance(offset int64, freshness, now time.Duration) *Acceptance {
	return &Acceptance{
		offset:    offset,
		freshness: freshness,
		since:     now,
		members:   make(map[string]*memberAck),
	}
}

// Expect names a member of the VM list. Until it is heard it counts as missing.
func (a *Acceptance) Expect(vm string, role api.Role) {
	if _, ok := a.members[vm]; !ok {
		a.members[vm] = &memberAck{role: role, applied: nothing}
	}
}

// Member takes what a member says of itself. The time is one on the caller's clock
// before which the member cannot have said it: when the newest heartbeat that it
// echoes was sent, or the request it answers. What was said earlier than what is
// known is ignored.
func (a *Acceptance) Member(vm string, role api.Role, applied int64, at time.Duration) {
	if known, ok := a.members[vm]; ok && at < known.at {
		return
	}
	a.members[vm] = &memberAck{role: role, applied: applied, at: at}
}

// Offset is that of the change.
func (a *Acceptance) Offset() int64 { return a.offset }

// Gone says that the VM list no longer holds a VM.
func (a *Acceptance) Gone(vm string) { delete(a.members, vm) }

// State returns how far the change has come, and the live members that have not
// shown that they hold it. What was reached once stays reached.
func (a *Acceptance) State(now time.Duration) (AcceptanceState, []string) {
	var entries, entriesHold, hold int
	missing := make([]string, 0)
	for vm, ack := range a.members {
		holds := a.holds(ack, now)
		if holds {
			hold++
		} else {
			missing = append(missing, vm)
		}
		if ack.role == api.Role_ROLE_ENTRY {
			entries++
			if holds {
				entriesHold++
			}
		}
	}
	slices.Sort(missing)
	if entries == 0 {
		return a.reached, missing
	}
	enough := entriesHold == entries
	if now-a.since >= a.freshness {
		enough = entriesHold > entries/2
	}
	if enough && hold > len(a.members)/2 {
		a.reached = max(a.reached, Accepted)
	}
	if len(missing) == 0 {
		a.reached = InForce
	}
	return a.reached, missing
}

// holds counts a member only while its word is fresh. The member may since have
// been replaced by a process that knows nothing; that one takes no part in any
// majority until it has been up for longer than the limit (see fresh.Tracker), by
// which time it can only learn of the change from the others.
func (a *Acceptance) holds(ack *memberAck, now time.Duration) bool {
	return ack.applied >= a.offset && now-ack.at <= a.freshness
}
