package gateway

import (
	"time"

	"github.com/go-kit/log/level"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/coord/registry"
	"github.com/apricothub/apricothub/decide/place"
	"github.com/apricothub/apricothub/internal/experts"
)

// setImpairment sets how slow a server is, and whether it is closed. It reports whether its load limit
// has changed. The caller holds the lock.
func (f *fleet) setImpairment(id string, s *server, impairment experts.Impairment) bool {
	oldLimit, wasClosed := s.inFlightLimit(), s.closed
	s.slowdown, s.closed = impairment.Slowdown, impairment.Closed
	if s.inFlightLimit() == oldLimit && s.closed == wasClosed {
		return false
	}
	_ = level.Info(f.logger).Log("msg", "The load limit of a backend server has changed.", "server", id, "service", s.Service,
		"pace", s.slowdown, "closed", s.closed, "limit", s.inFlightLimit())
	return true
}

// inFlightLimit returns how many requests a server may have in flight.
//
// All ranks of a lock-step group wait in every pass for what a slow engine reads and writes for its
// own requests. So the limit falls with the slowdown, and is zero from a slowdown of about two on.
// The slow engine's share of the experts is moved to other ranks, too.
func (s *server) inFlightLimit() int {
	slowdown := max(s.slowdown, 1)
	return int(float64(s.Concurrency) / (slowdown * slowdown * slowdown))
}

// isTooSlow reports whether a server is too slow for any request. When all servers of a service are
// too slow, none counts as such: slow answers are better than none. hasFast holds the services with
// a server that is fast enough.
func (s *server) isTooSlow(hasFast map[string]bool) bool {
	return s.inFlightLimit() == 0 && hasFast[s.Service]
}

// updatePlacement passes what is known of each server to the placement table. The caller holds the
// lock.
func (f *fleet) updatePlacement(now time.Duration) {
	f.placedAt = now
	// unusable counts the servers of each service that are unavailable or rest.
	unusable := make(map[string]int)
	total := make(map[string]int)
	// hasFast holds the services with an available server that is fast enough.
	hasFast := make(map[string]bool)
	for id, s := range f.servers {
		total[s.Service]++
		if f.isUnavailable(id, now) || f.resting.Wait(id, now) > 0 {
			unusable[s.Service]++
		} else if s.inFlightLimit() > 0 && !s.closed && !s.isLeaving && !f.stragglers.IsHeld(id, now) {
			hasFast[s.Service] = true
		}
	}
	f.pausedServices = make(map[string]pausedService)
	hasPaused := f.rateLimits.Any() || f.resting.Any()
	for id, s := range f.servers {
		if s.arrivals != nil {
			s.arrivals.Tick(now)
		}
		f.reportLoad(s, now)
		// When all servers of a service fail, the cause lies elsewhere, and no server is worse than
		// the others. When the others rest, a server that has failed is better than none.
		isSuspect := s.closed || s.saysLeaving || now < s.replacedUntil || s.isRefusing(now) || f.isStraggler(id, s, hasFast, now) || f.refusing[s.Service] ||
			f.isUnavailable(id, now) && unusable[s.Service] < total[s.Service]
		f.table.SetSuspect(id, isSuspect || f.isPaused(s, now))
		if hasPaused && !isSuspect && !s.isLeaving {
			f.countPaused(s, now)
		}
	}
	f.updateCapacity(now)
}

// refreshPlacement brings the placement table and the slots up to date if that is longer ago than a tick, and
// reports whether it did. The caller holds the lock.
func (f *fleet) refreshPlacement(now time.Duration) bool {
	isDue := now-f.placedAt >= tickInterval
	if isDue {
		f.updatePlacement(now)
	}
	return isDue
}

// tick does what is due at a tick for requests that wait, and tells the shares of cold servers that the process
// runs.
func (f *fleet) tick(now time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.queue) > 0 {
		f.refreshPlacement(now)
		return
	}
	for _, s := range f.servers {
		if s.arrivals != nil {
			s.arrivals.Tick(now)
		}
	}
}

// reportLoad passes a server's load to the placement table. The caller holds the lock.
func (f *fleet) reportLoad(s *server, now time.Duration) {
	limit, fullLimit := s.inFlightLimit(), s.Concurrency
	if slots, limited := f.throttledSlots(s); limited && slots < limit {
		limit, fullLimit = slots, slots
	}
	f.table.Report(s.ID, now, place.Report{
		Limit: limit, FullLimit: fullLimit, Running: s.ownInFlight + s.othersInFlight, WorkTime: s.workTime,
	})
}

// isUnavailable reports whether a server is ejected for failures or its VM is silent. The caller
// holds the lock.
func (f *fleet) isUnavailable(id string, now time.Duration) bool {
	return f.ejector.Ejected(id, now) || f.silenceDetector.IsSilent(id)
}

// pickRequest is a request for a backend server.
type pickRequest struct {
	service  string
	tried    []string
	timeLeft time.Duration
}

// placement is the backend server that a request goes to, with what was known of it then.
type placement struct {
	registry.Server
	// inFlight counts the requests in flight at the server, this one included; limit is the
	// maximum.
	inFlight, limit int
}

// pick chooses a backend server and counts the request as in flight there; end it with endAttempt.
// The caller holds the lock.
func (f *fleet) pick(req pickRequest, now time.Duration) (placement, api.ResultCode) {
	avoid := append([]string(nil), req.tried...)
	skippedCold := false
	for {
		id, code := f.table.Pick(now, place.Request{Offer: offer(req.service), Avoid: avoid, TimeLeft: req.timeLeft})
		if code != api.ResultCode_OK {
			if skippedCold {
				code = api.ResultCode_COLD
			}
			return placement{}, code
		}
		s := f.servers[id]
		if f.isPaused(s, now) {
			f.table.SetSuspect(id, true)
			continue
		}
		if s.arrivals != nil && !s.arrivals.Allow(now) {
			avoid = append(avoid, id)
			skippedCold = true
			continue
		}
		f.rateLimits.Allow(s.hash, now)
		f.resting.RecordSent(id, now)
		s.ownInFlight++
		f.table.Started(id, now)
		return placement{Server: s.Server, inFlight: s.ownInFlight + s.othersInFlight, limit: s.inFlightLimit()}, api.ResultCode_OK
	}
}
