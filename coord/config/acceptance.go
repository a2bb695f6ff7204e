package config

import (
	"slices"
	"time"

	"github.com/apricothub/apricothub/api"
)

// AcceptanceState is the stage that a published change has reached.
type AcceptanceState int

const (
	// Pending means that too few members have shown that they hold the change.
	Pending AcceptanceState = iota
	// Accepted means that enough members hold the change that it cannot be lost.
	Accepted
	// InForce means that every live member has applied the change.
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

// Acceptance tracks one change in the log until all members have applied it.
//
// A change is accepted once every live entry holds it or, when an entry stays silent past the
// freshness limit, once a majority of the entries does. In either case a majority of all members
// must hold it too. In an outage of the log, package fresh lets a process continue when it hears
// from either of these majorities. Each of them has at least one member in common with both kinds
// of acceptance, so an accepted change is always seen.
//
// Requiring every live entry protects against replacement of processes. Members store nothing on
// disk, so a bare majority could be replaced by processes that don't know the change.
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

// NewAcceptance tracks the change at offset. Now is the time at which the change was seen in the
// log, and freshness is the freshness limit of the members.
func NewAcceptance(offset int64, freshness, now time.Duration) *Acceptance {
	return &Acceptance{
		offset:     offset,
		freshness:  freshness,
		observedAt: now,
		members:    make(map[string]*memberAck),
	}
}

// ExpectMember adds a member of the VM list. The member counts as missing until it reports.
func (a *Acceptance) ExpectMember(vm string, role api.Role) {
	if _, ok := a.members[vm]; !ok {
		a.members[vm] = &memberAck{role: role, applied: noOffset}
	}
}

// UpdateMember records the offset that a member reports to have applied. The member cannot have
// sent the report before notBefore, the time on the caller's clock at which the caller sent the
// request that the report answers or the newest heartbeat that it echoes. A report older than the
// recorded one is ignored.
func (a *Acceptance) UpdateMember(vm string, role api.Role, applied int64, notBefore time.Duration) {
	if known, ok := a.members[vm]; ok && notBefore < known.notBefore {
		return
	}
	a.members[vm] = &memberAck{role: role, applied: applied, notBefore: notBefore}
}

// Offset returns the offset of the change.
func (a *Acceptance) Offset() int64 { return a.offset }

// RemoveMember removes a VM that is no longer on the VM list.
func (a *Acceptance) RemoveMember(vm string) { delete(a.members, vm) }

// State returns the stage that the change has reached, and the live members that have not shown
// that they hold it. The stage never goes back.
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

// holdsChange reports whether a member holds the change according to a report within the freshness
// limit. The member may since have been replaced by a process that doesn't know the change. The new
// process takes part in no majority until it has run for longer than the limit (see fresh.Tracker),
// and by then it can only have learned of the change from the others.
func (a *Acceptance) holdsChange(ack *memberAck, now time.Duration) bool {
	return ack.applied >= a.offset && now-ack.notBefore <= a.freshness
}
