package gateway

import (
	"time"

	"github.com/apricothub/apricothub/coord/registry"
	"github.com/apricothub/apricothub/decide/arrivals"
)

// limitArrivals sets how many requests per second this entry sends to a server.
//
// A cold server, or one that turns cold without reporting it, is overloaded when other servers fail
// and their work moves to it. The limit is for all entries together. Each entry keeps to its share
// without asking the others, also while the server counts as warm, since a server's report about
// itself may be stale.
func (f *fleet) limitArrivals(s *server, now time.Duration) {
	if s.service.ColdRate <= 0 {
		s.arrivals = nil
		return
	}
	limit := arrivals.Limit{Rate: s.service.ColdRate, MaxRatio: f.limits.coldMaxRatio, Slack: f.limits.coldSlack}
	if s.arrivals == nil {
		s.arrivals = arrivals.NewShare(limit, f.maybeLive, f.rng.Float64(), f.removedAt[s.ID]+arrivals.StartDelay, now)
		return
	}
	s.arrivals.Set(limit, f.maybeLive, now)
}

// noteRemovals records which servers are no longer registered. One that returns within a second must
// not get the requests of a new share in addition to those of the old one.
func (f *fleet) noteRemovals(registrations []registry.Registration, now time.Duration) {
	for id, at := range f.removedAt {
		if now-at > arrivals.StartDelay {
			delete(f.removedAt, id)
		}
	}
	for id := range f.servers {
		f.removedAt[id] = now
	}
	for _, r := range registrations {
		if f.servers[r.ID] != nil {
			delete(f.removedAt, r.ID)
		}
	}
}
