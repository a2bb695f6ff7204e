package gateway

import (
	"time"

	"github.com/go-kit/log/level"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/decide/place"
	"github.com/apricothub/apricothub/internal/result"
)

// serverOutcome is what became of a request at a backend server.
type serverOutcome uint8

const (
	// outcomeServed says that the server gave its answer.
	outcomeServed serverOutcome = iota
	// outcomeRefused says that the server did not take the request.
	outcomeRefused
	// outcomeFailed says that it failed the request.
	outcomeFailed
	// outcomeUnreachable says that no connection to it stood.
	outcomeUnreachable
	// outcomeUnknown says nothing about the server, as when the caller has gone.
	outcomeUnknown
)

// endAttempt says that a request which was placed has ended.
func (f *fleet) endAttempt(id string, outcome serverOutcome, took, now time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.servers[id]
	if s == nil {
		return
	}
	s.ownInFlight = max(s.ownInFlight-1, 0)
	switch outcome {
	case outcomeServed:
		f.ejector.RecordSuccess(id)
		if s.workTime == 0 {
			s.workTime = took
		}
		s.workTime += (took - s.workTime) / workTimeSamples
	case outcomeFailed:
		f.logEjection(s, "it fails requests", f.ejector.RecordFailure(id, now))
	case outcomeUnreachable:
		f.logEjection(s, "it cannot be reached", f.ejector.RecordUnreachable(id, now))
	case outcomeRefused, outcomeUnknown:
	}
	f.table.Ended(id, now, place.Outcome{
		Latency: took,
		Refused: outcome == outcomeRefused,
		Failed:  outcome == outcomeFailed || outcome == outcomeUnreachable,
	})
	if outcome == outcomeFailed || outcome == outcomeUnreachable {
		f.updatePlacement(now)
	}
}

// logEjection logs that a server is out by what it just did.
func (f *fleet) logEjection(s *server, cause string, duration time.Duration) {
	if duration == 0 {
		return
	}
	f.ejections.Inc(1)
	_ = level.Warn(f.logger).Log("msg", "A backend server is left out for a while.", "server", s.ID, "service", s.Service,
		"failure_domain", s.FailureDomain, "cause", cause, "for_ms", duration.Milliseconds(),
		"result", result.Label(api.ResultCode_BACKEND_FAILED))
}

// countRequest counts a request of a service towards the retry budget.
func (f *fleet) countRequest(service string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.retryBudget(service).CountRequest()
}

// spendRetry says whether one more attempt for a request of a service may be made.
func (f *fleet) spendRetry(service string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.retryBudget(service).SpendRetry()
}

func (f *fleet) retryBudget(service string) *place.RetryBudget {
	b := f.budgets[service]
	if b == nil {
		b = &place.RetryBudget{Ratio: f.limits.retryRatio * retryBudgetShare}
		f.budgets[service] = b
	}
	// What all entries may save up together is shared out among those that may live.
	b.Reserve = max(1, f.limits.retryReserve*retryBudgetShare/float64(f.maybeLive))
	return b
}
