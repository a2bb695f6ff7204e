package gateway

import (
	"time"

	"github.com/go-kit/log/level"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/decide/place"
	"github.com/apricothub/apricothub/internal/result"
)

// fate is what became of a request at a backend server.
type fate uint8

const (
	// fateServed says that the server gave its answer.
	fateServed fate = iota
	// fateRefused says that the server did not take the request.
	fateRefused
	// fateFailed says that it failed the request.
	fateFailed
	// fateUnreachable says that no connection to it stood.
	fateUnreachable
	// fateUnknown says nothing about the server, as when the caller has gone.
	fateUnknown
)

// done says that a request which was placed has ended.
func (f *fleet) done(id string, what fate, took, now time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.servers[id]
	if s == nil {
		return
	}
	s.own = max(s.own-1, 0)
	switch what {
	case fateServed:
		f.judge.RecordSuccess(id)
		if s.work == 0 {
			s.work = took
		}
		s.work += (took - s.work) / workWeight
	case fateFailed:
		f.ejected(s, "it fails requests", f.judge.RecordFailure(id, now))
	case fateUnreachable:
		f.ejected(s, "it cannot be reached", f.judge.RecordUnreachable(id, now))
	case fateRefused, fateUnknown:
	}
	f.table.Ended(id, now, place.Outcome{
		Latency: took,
		Refused: what == fateRefused,
		Failed:  what == fateFailed || what == fateUnreachable,
	})
	if what == fateFailed || what == fateUnreachable {
		f.refresh(now)
	}
}

// ejected logs that a server is out by what it just did.
func (f *fleet) ejected(s *server, cause string, out time.Duration) {
	if out == 0 {
		return
	}
	f.leftOut.Inc(1)
	_ = level.Warn(f.logger).Log("msg", "A backend server is left out for a while.", "server", s.ID, "service", s.Service,
		"failure_domain", s.FailureDomain, "cause", cause, "for_ms", out.Milliseconds(),
		"result", result.Label(api.ResultCode_BACKEND_FAILED))
}

// first counts a request of a service towards the retry budget.
func (f *fleet) first(service string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.budget(service).CountRequest()
}

// again says whether one more attempt for a request of a service may be made.
func (f *fleet) again(service string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.budget(service).SpendRetry()
}

func (f *fleet) budget(service string) *place.RetryBudget {
	b := f.budgets[service]
	if b == nil {
		b = &place.RetryBudget{Ratio: f.bounds.retryRatio * retryShare}
		f.budgets[service] = b
	}
	// What all entries may save up together is shared out among those that may live.
	b.Reserve = max(1, f.bounds.retrySlack*retryShare/float64(f.mayLive))
	return b
}
