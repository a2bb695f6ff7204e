package peering

import "time"

// Name is an entry as it made itself known to others: its VM, and the IP it had then.
type Name struct{ VM, IP string }

const (
	// goneAfter is the silence after which a name is taken off the list: many times longer
	// than a VM is frozen or starts, so that few names are written again.
	goneAfter = 10 * time.Minute
	// mostGone bounds the names that are taken off at a time, each of which is a call.
	mostGone = 16
)

// Roll follows the list of names that entries have written, and tells which are to be taken
// off it. It is not safe for use by several goroutines at once.
//
// Load: VMs that are replaced all day, each under a name of its own. Harm prevented: a list
// that grows for ever, is read by all, and has each entry look for those that are long gone.
// An entry whose name was taken off although it lives writes it again once it reads the list.
type Roll struct {
	// silent is since when a name has been read without its entry being heard.
	silent map[Name]time.Duration
}

// Read takes in the list, and returns names to take off it.
func (r *Roll) Read(names []Name, live map[string]bool, now time.Duration) []Name {
	silent := make(map[Name]time.Duration)
	var gone []Name
	for _, n := range names {
		if live[n.IP] {
			continue
		}
		since, known := r.silent[n]
		if !known {
			since = now
		}
		silent[n] = since
		if now-since >= goneAfter && len(gone) < mostGone {
			gone = append(gone, n)
		}
	}
	r.silent = silent
	return gone
}
