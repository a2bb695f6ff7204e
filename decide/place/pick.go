package place

import (
	"slices"
	"time"

	"github.com/apricothub/apricothub/api"
)

// Pick chooses the backend server for a request. The code is OK with a VM; or
// NO_BACKEND, COLD or SATURATED with none, in which case the request has not run
// and may wait at the entry. Call Started when the request is sent.
//
// Load: thousands of requests a second at each of many entries, by reports up to
// seconds old. Harm prevented: the herd on the one that looked idle, and a scan
// of all backend servers for each request. Two choices need no more than two
// look-ups, and bring the longest queue from logarithmic down to log log of the
// number of backend servers; a third would gain little.
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

// withinAffinitySlack says whether affinity may take a server in place of the least full.
//
// Load: a hot prefix or adapter, such as every price rationale of one customer.
// Harm prevented: one backend server overloaded while others idle.
func (t *Table) withinAffinitySlack(holder, best *server) bool {
	return holder.utilization() <= best.utilization()+t.cfg.AffinitySlack
}

// betterOfTwo returns the less full of two random servers of a list, or one of them that
// must warm up.
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

// warmUpMaxUtilization is the fullness below which a server's load leaves the choice to the needs
// of others. Above it the less full of two is the better in any case.
const warmUpMaxUtilization = 0.5

// preferForWarmUp says that a server bears only a part of its full limit now and has no
// work, while the other choice is not busy.
//
// Load: a backend server in cold start, or a failure domain that has returned, while
// the others are half empty. Harm prevented: with a limit of 1 or 2 the first request
// makes it as full as it may be, so that it is never the less full of two; it gets no
// work, warms up by none, and is still cold when the load comes. It was drawn at the
// odds of its part, which keeps entries from all sending it their first.
func (s *server) preferForWarmUp(other *server, req *Request) bool {
	if s.limit() >= s.report.FullLimit || s.load() > 0 || s.tooSlow(req) {
		return false
	}
	return other.utilization() < warmUpMaxUtilization
}

// extraCandidates is the number of servers beyond the avoided ones that choose extraCandidates at. At
// most a few servers are too slow at a time, or nearly all are.
const extraCandidates = 4

// randomServer returns a random server that was not tried and can end the request in
// time; or, if none it looks at can, one that was not tried; or nil.
//
// Load: one backend server many times slower than the others, or some in cold
// start, and requests that have waited. Harm prevented: work that is begun and
// thrown away at the deadline. When all look too slow the estimates may be wrong,
// and backend servers in cold start only warm up by work: then the work is given.
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

// deadlineMargin is the ratio of the time left to the usual time of the work at a
// backend server below which the server is too slow. Sizes spread: with a ratio of
// 1 half of the requests would be late, and one of 2 keeps work from backend
// servers in cold start, which then do not warm up.
const deadlineMargin = 1.5

// tooSlow says whether a request is not expected to end in time at a server, with
// its wait there. A small size is not counted on: answers may be longer than asked.
func (s *server) tooSlow(req *Request) bool {
	if req.TimeLeft == 0 {
		return false
	}
	queueFactor := max(s.utilization(), 1)
	relativeSize := max(req.RelativeSize, 1)
	return deadlineMargin*float64(s.workTime())*queueFactor*relativeSize > float64(req.TimeLeft)
}

// unreportedLimitRatio is the part of its limit that a server counts as having until its
// first report.
const unreportedLimitRatio = 0.1

// drawByLimit says whether a server that bears only a part of its full limit now is
// taken, at odds of that part.
//
// Load: a backend server in cold start, or one whose failure domain ramps up, beside
// full-sized ones. Harm prevented: every entry finds it empty at the same moment and
// sends what it alone could bear, so that most of it waits there.
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

// affinityHolder returns the least full open server that holds the request's prompt
// prefix, or else its adapter; nil for none.
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

// openFor says whether a server may get work for an offer.
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
