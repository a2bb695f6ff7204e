package gateway

import (
	"time"

	"github.com/apricothub/apricothub/internal/experts"
)

// closedServers counts the servers that are reported closed.
type closedServers struct {
	// byService counts them by service, of total servers. unknown counts those that this entry does not
	// know, such as previous registrations of engines.
	byService, total map[string]int
	unknown          int
}

// countClosed counts the servers that are reported closed. The caller holds the lock.
func (f *fleet) countClosed(impairments map[string]experts.Impairment) closedServers {
	c := closedServers{byService: make(map[string]int), total: make(map[string]int)}
	for id, impairment := range impairments {
		switch s := f.servers[id]; {
		case !impairment.Closed:
		case s == nil:
			c.unknown++
		default:
			c.byService[s.Service]++
		}
	}
	if c.unknown == 0 && len(c.byService) == 0 {
		return c
	}
	for _, s := range f.servers {
		c.total[s.Service]++
	}
	return c
}

const (
	// maxUnreportedTime is how long after an engine was first known here the coordinator may not have
	// reported on it: the time between two reads of the registrations, and a poll of the engines.
	maxUnreportedTime = time.Second
	// mostlyClosedRatio is the fraction of a service's servers from which on, if they are reported
	// closed, also those count as closed that this process has known from its start.
	mostlyClosedRatio = 2.0 / 3
)

// isRank reports whether a server is an engine of a lock-step group.
func (s *server) isRank() bool { return s.service.Engine != nil && s.service.Engine.Experts > 0 }

// isJoiningClosedGroup reports whether a server is an engine of a lock-step group that has registered
// so recently that the coordinator may not know it, while others of its service are closed.
//
// After a power loss engines register one after the other, under new IDs, and join a group that forms
// again. If such an engine counted as open, this entry would take it for all that the service has
// left, and refuse what it expects to wait too long for it. An entry that has just started knows
// which engines are new only if most of the others are closed: the service may have several groups,
// of which one is out.
func (s *server) isJoiningClosedGroup(closed closedServers, now time.Duration) bool {
	if !s.isRank() || now-s.joinedAt >= maxUnreportedTime {
		return false
	}
	n := closed.byService[s.Service] + closed.unknown
	if s.isFirst {
		return float64(n) > mostlyClosedRatio*float64(closed.total[s.Service])
	}
	return n > 0
}
