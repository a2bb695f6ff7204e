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
	t.reopen(now)
	o, ok := t.offers[req.Offer]
	if !ok {
		return "", api.ResultCode_NO_BACKEND
	}
	best := t.twoChoices(o.lists[open], &req)
	if best == nil && req.Guaranteed {
		best = t.twoChoices(o.lists[full], &req)
	}
	if best == nil {
		return "", o.refusal()
	}
	if holder := t.holder(o, &req); holder != nil && t.near(holder, best) {
		best = holder
	}
	if req.Prefix != 0 {
		t.prefixes.put(req.Prefix, best.id)
	}
	return best.VM, api.ResultCode_OK
}

// near says whether affinity may take a server in place of the least full.
//
// Load: a hot prefix or adapter, such as every price rationale of one customer.
// Harm prevented: one backend server overloaded while others idle.
func (t *Table) near(holder, best *server) bool {
	return holder.fullness() <= best.fullness()+t.cfg.AffinitySlack
}

// twoChoices returns the less full of two random servers of a list, or one of them that
// must warm up.
func (t *Table) twoChoices(list []*server, req *Request) *server {
	first := t.choose(list, req)
	if first == nil {
		return nil
	}
	second := t.choose(list, req)
	switch {
	case second == nil || first.warmsUpBeside(second, req):
		return first
	case second.warmsUpBeside(first, req) || second.fullness() < first.fullness():
		return second
	}
	return first
}

// lowLoad is the fullness below which a server's load leaves the choice to the needs
// of others. Above it the less full of two is the better in any case.
const lowLoad = 0.5

// warmsUpBeside says that a server bears only a part of its full limit now and has no
// work, while the other choice is not busy.
//
// Load: a backend server in cold start, or a failure domain that has returned, while
// the others are half empty. Harm prevented: with a limit of 1 or 2 the first request
// makes it as full as it may be, so that it is never the less full of two; it gets no
// work, warms up by none, and is still cold when the load comes. It was drawn at the
// odds of its part, which keeps entries from all sending it their first.
func (s *server) warmsUpBeside(other *server, req *Request) bool {
	if s.limit() >= s.report.FullLimit || s.load() > 0 || s.tooSlow(req) {
		return false
	}
	return other.fullness() < lowLoad
}

// looks is the number of servers beyond the avoided ones that choose looks at. At
// most a few servers are too slow at a time, or nearly all are.
const looks = 4

// choose returns a random server that was not tried and can end the request in
// time; or, if none it looks at can, one that was not tried; or nil.
//
// Load: one backend server many times slower than the others, or some in cold
// start, and requests that have waited. Harm prevented: work that is begun and
// thrown away at the deadline. When all look too slow the estimates may be wrong,
// and backend servers in cold start only warm up by work: then the work is given.
func (t *Table) choose(list []*server, req *Request) *server {
	n := len(list)
	if n == 0 {
		return nil
	}
	var slow *server
	at := t.rng.IntN(n)
	for range min(n, len(req.Avoid)+looks) {
		s := list[at]
		at = (at + 1) % n
		if s.tried(req) {
			continue
		}
		if !s.tooSlow(req) && t.drawn(s) {
			return s
		}
		slow = s
	}
	return slow
}

// slowMargin is the ratio of the time left to the usual time of the work at a
// backend server below which the server is too slow. Sizes spread: with a ratio of
// 1 half of the requests would be late, and one of 2 keeps work from backend
// servers in cold start, which then do not warm up.
const slowMargin = 1.5

// tooSlow says whether a request is not expected to end in time at a server, with
// its wait there. A small size is not counted on: answers may be longer than asked.
func (s *server) tooSlow(req *Request) bool {
	if req.Left == 0 {
		return false
	}
	turns := max(s.fullness(), 1)
	size := max(req.Size, 1)
	return slowMargin*float64(s.workTime())*turns*size > float64(req.Left)
}

// unheardPart is the part of its limit that a server counts as having until its
// first report.
const unheardPart = 0.1

// drawn says whether a server that bears only a part of its full limit now is
// taken, at odds of that part.
//
// Load: a backend server in cold start, or one whose failure domain ramps up, beside
// full-sized ones. Harm prevented: every entry finds it empty at the same moment and
// sends what it alone could bear, so that most of it waits there.
func (t *Table) drawn(s *server) bool {
	full := s.report.FullLimit
	part := unheardPart
	if full > 0 {
		part = float64(s.limit()) / float64(full)
	}
	return part >= 1 || t.rng.Float64() < part
}

func (s *server) tried(req *Request) bool {
	return len(req.Avoid) > 0 && slices.Contains(req.Avoid, s.VM)
}

// holder returns the least full open server that holds the request's prompt
// prefix, or else its adapter; nil for none.
func (t *Table) holder(o *offer, req *Request) *server {
	if req.Prefix != 0 {
		if s := t.prefixHolder(o, req); s != nil {
			return s
		}
	}
	if req.Adapter == "" {
		return nil
	}
	a, ok := t.offers[req.Adapter]
	if !ok {
		return nil
	}
	s := t.twoChoices(a.lists[open], req)
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
		s := t.numbered[slot.server]
		if s == nil || !s.openFor(o) || s.tried(req) || s.tooSlow(req) {
			continue
		}
		if best == nil || s.fullness() < best.fullness() {
			best = s
		}
	}
	return best
}

// openFor says whether a server may get work for an offer.
func (s *server) openFor(o *offer) bool {
	if s.counted.state != open {
		return false
	}
	for i := range s.places {
		if s.places[i].offer == o {
			return true
		}
	}
	return false
}
