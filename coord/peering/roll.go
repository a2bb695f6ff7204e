package peering

import "time"

// Member is an entry as listed in the platform's store: its VM, and its IP at the time.
type Member struct{ VM, IP string }

const (
	// removeAfter is the silence after which a member is removed from the list. It is many times
	// longer than a VM is frozen or takes to start, so that few live members are removed and must
	// add themselves again.
	removeAfter = 10 * time.Minute
	// maxRemovals limits the members removed at a time, since each removal is a call to the store.
	maxRemovals = 16
)

// MemberPruner follows the member list in the store and selects the members to remove from it. It
// is not safe for concurrent use.
//
// VMs are replaced all day, each under a new name. Without removals the list would grow without
// limit, all entries would read it, and each would probe VMs that are long gone. A live entry that
// was removed adds itself again when it next reads the list.
type MemberPruner struct {
	// silentSince is the time since which a listed member has not been live.
	silentSince map[Member]time.Duration
}

// SelectRemovals processes the list as read, and returns the members to remove from it.
func (r *MemberPruner) SelectRemovals(members []Member, live map[string]bool, now time.Duration) []Member {
	silentSince := make(map[Member]time.Duration)
	var remove []Member
	for _, member := range members {
		if live[member.IP] {
			continue
		}
		since, known := r.silentSince[member]
		if !known {
			since = now
		}
		silentSince[member] = since
		if now-since >= removeAfter && len(remove) < maxRemovals {
			remove = append(remove, member)
		}
	}
	r.silentSince = silentSince
	return remove
}
