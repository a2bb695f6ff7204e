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
	offset     int64
	freshness  time.Duration
	observedAt time.Duration
	members    map[string]*memberAck
	state      AcceptanceState
}

type memberAck struct {
	role      api.Role
	applied   int64
	notBefore time.Duration
	reporter  string // the entry that reported it; empty for the member itself
}

// NewAcceptance follows the change at an offset, from the time it was seen in the
// log. Freshness is the limit that members keep to.
func NewAcceptance(offset int64, freshness, now time.Duration) *Acceptance {
	return &Acceptance{
		offset:     offset,
		freshness:  freshness,
		observedAt: now,
		members:    make(map[string]*memberAck),
	}
}

// ExpectMember names a member of the VM list. Until it is heard it counts as missing.
func (a *Acceptance) ExpectMember(vm string, role api.Role) {
	if _, ok := a.members[vm]; !ok {
		a.members[vm] = &memberAck{role: role, applied: noOffset}
	}
}

// UpdateMember takes what a member says of itself. The time is one on the caller's clock
// before which the member cannot have said it: when the newest heartbeat that it
// echoes was sent, or the request it answers. What was said earlier than what is
// known is ignored.
func (a *Acceptance) UpdateMember(vm string, role api.Role, applied int64, notBefore time.Duration) {
	if known, ok := a.members[vm]; ok && notBefore < known.notBefore {
		return
	}
	a.members[vm] = &memberAck{role: role, applied: applied, notBefore: notBefore}
}

// Offset is that of the change.
func (a *Acceptance) Offset() int64 { return a.offset }

// RemoveMember says that the VM list no longer holds a VM.
func (a *Acceptance) RemoveMember(vm string) { delete(a.members, vm) }

// State returns how far the change has come, and the live members that have not
// shown that they hold it. What was reached once stays reached.
func (a *Acceptance) State(now time.Duration) (AcceptanceState, []string) {
	var entries, holdingEntries, holding int
	missing := make([]string, 0)
	for vm, ack := range a.members {
		holds := a.holdsChange(ack, now)
		if holds {
			holding++
		} else {
			missing = append(missing, vm)
		}
		if ack.role == api.Role_ROLE_ENTRY {
			entries++
			if holds {
				holdingEntries++
			}
		}
	}
	slices.Sort(missing)
	if entries == 0 {
		return a.state, missing
	}
	enough := holdingEntries == entries
	if now-a.observedAt >= a.freshness {
		enough = holdingEntries > entries/2
	}
	if enough && holding > len(a.members)/2 {
		a.state = max(a.state, Accepted)
	}
	if len(missing) == 0 {
		a.state = InForce
	}
	return a.state, missing
}

// holdsChange counts a member only while its word is fresh. The member may since have
// been replaced by a process that knows nothing; that one takes no part in any
// majority until it has been up for longer than the limit (see fresh.Tracker), by
// which time it can only learn of the change from the others.
func (a *Acceptance) holdsChange(ack *memberAck, now time.Duration) bool {
	return ack.applied >= a.offset && now-ack.notBefore <= a.freshness
}
