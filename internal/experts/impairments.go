package experts

import "github.com/apricothub/apricothub/api"

// minSlowdown is the slowdown from which on an engine counts as slow. It is well above the
// differences between healthy engines.
const minSlowdown = 1.3

// Impairment describes an engine that is slow or takes no work.
type Impairment struct {
	// Slowdown is the ratio of the engine's time for its work to its usual time.
	Slowdown float64
	// Closed reports whether the engine takes no work because its group is broken.
	Closed bool
}

// Impairments returns the engines that are slow or closed, by ID. It is safe for concurrent use,
// and the map must not be changed.
func (c *Coordinator) Impairments() map[string]Impairment {
	if impairments := c.impairments.Load(); impairments != nil {
		return *impairments
	}
	return nil
}

// impairmentsOf returns the engines that are slow or closed, by ID, as the responses show to one poll.
//
// An engine that does not answer, or names no group, stays closed if it was, until a rank of its group
// says that the group is open; and it counts as closed if a closed group lacks a rank, since it may be
// that rank. After a power loss engines answer one after the other, and a busy coordinator may hear none
// in time. Those not heard would otherwise look like the only open ones: entries would size their queues
// by these few and refuse the rest, or send what is queued to engines that refuse it.
func (c *Coordinator) impairmentsOf(engines []Engine, responses []rankResponse) map[string]Impairment {
	impairments := make(map[string]Impairment)
	reports := newGroupReports()
	groupOf := make(map[string]string, len(engines))
	for i, resp := range responses {
		id, state := engines[i].ID, resp.reply.GetState()
		groupOf[id] = state.GetGroup()
		if groupOf[id] == "" {
			groupOf[id] = c.groupOf[id]
		}
		reports.add(state)
		if isClosedRank(state) || state.GetPace() >= minSlowdown {
			impairments[id] = Impairment{Slowdown: max(state.GetPace(), 1), Closed: isClosedRank(state)}
		}
	}
	c.groupOf = groupOf
	lacksRank, old := reports.lackRank(), c.Impairments()
	for i, resp := range responses {
		id := engines[i].ID
		staysClosed := old[id].Closed && !reports.open[groupOf[id]]
		if resp.reply.GetState().GetGroup() == "" && (lacksRank || staysClosed) {
			impairments[id] = Impairment{Slowdown: max(impairments[id].Slowdown, 1), Closed: true}
		}
	}
	return impairments
}

// isClosedRank reports whether an engine says that it is a rank of a group that is not open.
func isClosedRank(state *api.RankState) bool { return state.GetGroup() != "" && !state.GetOpen() }

// groupReports is what the engines that answered a poll say of their groups, by name.
type groupReports struct {
	// open are the groups of which a rank says that they are open.
	open map[string]bool
	// closedRanks counts the ranks that say the opposite, sizes holds the sizes of their groups.
	closedRanks, sizes map[string]int32
}

func newGroupReports() *groupReports {
	return &groupReports{open: make(map[string]bool), closedRanks: make(map[string]int32), sizes: make(map[string]int32)}
}

func (r *groupReports) add(state *api.RankState) {
	switch group := state.GetGroup(); {
	case isClosedRank(state):
		r.closedRanks[group]++
		r.sizes[group] = state.GetSize()
	case group != "":
		r.open[group] = true
	}
}

// lackRank reports whether a closed group has ranks that did not answer.
func (r *groupReports) lackRank() bool {
	for group, size := range r.sizes {
		if r.closedRanks[group] < size {
			return true
		}
	}
	return false
}
