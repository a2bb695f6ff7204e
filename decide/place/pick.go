package place

import (
	"slices"
	"time"

	"github.com/apricothub/apricothub/api"
)

// Pick chooses the backend server for a request. The code is OK with a VM; or NO_BACKEND, COLD or
// SATURATED without one, in which case the request has not run and may be queued at the entry. Call
// Started when the request is sent.
//
// Each of many entries picks for thousands of requests per second, by reports up to seconds old.
// Choosing the least loaded server would cause the herd effect and a scan of all backend servers
// for each request. The better of two random choices needs two look-ups at most and reduces the
// longest queue from logarithmic to log log of the number of backend servers; a third choice would
// gain little.
func (t *Table) Pick(now time.Duration, req Request) (string, api.ResultCode) {
	t.endBackoffs(now)
	o, ok := t.offers[req.Offer]
	if !ok {
		return "", api.ResultCode_NO_BACKEND
	}
	best := t.betterOfTwo(o.byState[open], &req)
	if best == nil && req.WithinShare {
		best = t.betterOfTwo(o.byState[full], &req)
	}
	if best == nil {
		return "", o.refusal()
	}
	if holder := t.affinityHolder(o, &req); holder != nil && t.withinAffinitySlack(holder, best) {
		best = holder
	}
	if req.Prefix != 0 {
		t.prefixes.put(req.Prefix, best.id)
	}
	return best.VM, api.ResultCode_OK
}

// withinAffinitySlack reports whether a server may be chosen for its affinity in place of the less
// utilized one. Without this limit, a hot prefix or adapter, such as one used by every request of a
// customer, would overload one backend server while others idle.
func (t *Table) withinAffinitySlack(holder, best *server) bool {
	return holder.utilization() <= best.utilization()+t.cfg.AffinitySlack
}

// betterOfTwo returns the less utilized of two random servers of a list, or the one that
// preferForWarmUp prefers; nil for none.
func (t *Table) betterOfTwo(list []*server, req *Request) *server {
	first := t.randomServer(list, req)
	if first == nil {
		return nil
	}
	second := t.randomServer(list, req)
	switch {
	case second == nil || first.preferForWarmUp(second, req):
		return first
	case second.preferForWarmUp(first, req) || second.utilization() < first.utilization():
		return second
	}
	return first
}

// warmUpMaxUtilization is the utilization of the other choice below which a server that needs
// requests to warm up is preferred. Above it, the less utilized of the two is always the better
// choice.
const warmUpMaxUtilization = 0.5

// preferForWarmUp reports whether a server has a reduced limit and no requests, while the other
// choice is not busy.
//
// Without this, a backend server in cold start, or in a failure domain that has returned, gets
// nothing while the others are half empty: with a limit of 1 or 2, its first request fills it, so
// it is never the less utilized of two. It would not warm up, and would still be cold when the load
// comes. The server was drawn with a probability according to its limit, which keeps the entries
// from all sending their first request to it.
func (s *server) preferForWarmUp(other *server, req *Request) bool {
	if s.limit() >= s.report.FullLimit || s.load() > 0 || s.tooSlow(req) {
		return false
	}
	return other.utilization() < warmUpMaxUtilization
}

// extraCandidates is the number of servers that randomServer checks beyond the number of avoided
// ones. At most a few servers are too slow at a time, or nearly all are.
const extraCandidates = 4

// randomServer returns a random server that is not avoided and can end the request in time; or, if
// no checked server can, one that is not avoided; or nil.
//
// A backend server that is many times slower than the others, or in cold start, could not finish a
// request that was queued for long, and the work would be wasted at the deadline. When all servers
// look too slow, the estimates may be wrong, and servers in cold start warm up only by requests;
// then one of them gets the request.
func (t *Table) randomServer(list []*server, req *Request) *server {
	n := len(list)
	if n == 0 {
		return nil
	}
	var fallback *server
	index := t.rng.IntN(n)
	for range min(n, len(req.Avoid)+extraCandidates) {
		s := list[index]
		index = (index + 1) % n
		if s.isExcluded(req) {
			continue
		}
		if !s.tooSlow(req) && t.drawByLimit(s) {
			return s
		}
		fallback = s
	}
	return fallback
}

// deadlineMargin is the ratio of the time left to the average work time of a backend server below
// which the server is too slow. Request sizes vary: with a ratio of 1 half of the requests would be
// late, and a ratio of 2 keeps requests from backend servers in cold start, which then do not warm
// up.
const deadlineMargin = 1.5

// tooSlow reports whether a request is not expected to end in time at a server, including its
// queueing time there. A size below the average is not relied on: answers may be longer than
// requested.
func (s *server) tooSlow(req *Request) bool {
	if req.TimeLeft == 0 {
		return false
	}
	queueFactor := max(s.utilization(), 1)
	relativeSize := max(req.RelativeSize, 1)
	return deadlineMargin*float64(s.workTime())*queueFactor*relativeSize > float64(req.TimeLeft)
}

// unreportedLimitRatio is the ratio of its limit that a server is assumed to have until its first
// report.
const unreportedLimitRatio = 0.1

// drawByLimit reports whether a server with a reduced limit is chosen, at random with the ratio of
// its limit to the full one as the probability.
//
// Otherwise every entry would find a backend server that is in cold start, or whose failure domain
// ramps up, empty at the same moment and send it what it can take from one entry alone; most of
// these requests would be queued there.
func (t *Table) drawByLimit(s *server) bool {
	full := s.report.FullLimit
	limitRatio := unreportedLimitRatio
	if full > 0 {
		limitRatio = float64(s.limit()) / float64(full)
	}
	return limitRatio >= 1 || t.rng.Float64() < limitRatio
}

func (s *server) isExcluded(req *Request) bool {
	return len(req.Avoid) > 0 && slices.Contains(req.Avoid, s.VM)
}

// affinityHolder returns the least utilized open server that holds the request's prompt prefix, or
// else the better of two random ones that have loaded its adapter; nil for none.
func (t *Table) affinityHolder(o *offer, req *Request) *server {
	if req.Prefix != 0 {
		if s := t.prefixHolder(o, req); s != nil {
			return s
		}
	}
	if req.Adapter == "" {
		return nil
	}
	adapter, ok := t.offers[req.Adapter]
	if !ok {
		return nil
	}
	s := t.betterOfTwo(adapter.byState[open], req)
	if s == nil || !s.openFor(o) {
		return nil
	}
	return s
}

func (t *Table) prefixHolder(o *offer, req *Request) *server {
	var best *server
	for _, slot := range t.prefixes.set(req.Prefix) {
		if slot.prefix != req.Prefix {
			continue
		}
		s := t.byID[slot.server]
		if s == nil || !s.openFor(o) || s.isExcluded(req) || s.tooSlow(req) {
			continue
		}
		if best == nil || s.utilization() < best.utilization() {
			best = s
		}
	}
	return best
}

// openFor reports whether a server may get requests for an offer.
func (s *server) openFor(o *offer) bool {
	if s.contribution.state != open {
		return false
	}
	for i := range s.memberships {
		if s.memberships[i].offer == o {
			return true
		}
	}
	return false
}
