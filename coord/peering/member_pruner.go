package peering

import "time"

// Member is an entry as it made itself known to others: its VM, and the IP it had then.
type Member struct{ VM, IP string }

const (
	// removeAfter is the silence after which a name is taken off the list: many times longer
	// than a VM is frozen or starts, so that few names are written again.
	removeAfter = 10 * time.Minute
	// maxRemovals bounds the names that are taken off at a time, each of which is a call.
	maxRemovals = 16
)

// MemberPruner follows the list of names that entries have written, and tells which are to be taken
// off it. It is not safe for use by several goroutines at once.
//
// Load: VMs that are replaced all day, each under a name of its own. Harm prevented: a list
// that grows for ever, is read by all, and has each entry look for those that are long gone.
// An entry whose name was taken off although it lives writes it again once it reads the list.
type MemberPruner struct {
	// silentSince is since when a name has been read without its entry being heard.
	silentSince map[Member]time.Duration
}

// SelectRemovals takes in the list, and returns names to take off it.
func (r *MemberPruner) SelectRemovals(members []Member, live map[string]bool, now time.Duration) []Member {
	silentSince := make(map[Member]time.Duration)
	var remove []Member
	for _, n := range members {
		if live[n.IP] {
			continue
		}
		since, known := r.silentSince[n]
		if !known {
			since = now
		}
		silentSince[n] = since
		if now-since >= removeAfter && len(remove) < maxRemovals {
			remove = append(remove, n)
		}
	}
	r.silentSince = silentSince
	return remove
}
