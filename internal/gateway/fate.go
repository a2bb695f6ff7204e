package gateway

import (
	"time"

	"github.com/go-kit/log/level"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/decide/place"
	"github.com/apricothub/apricothub/internal/result"
)

// serverOutcome is the outcome of an attempt as it counts for the backend server.
type serverOutcome uint8

const (
	// outcomeServed: the server answered.
	outcomeServed serverOutcome = iota
	// outcomeRefused: the server did not accept the request.
	outcomeRefused
	// outcomeReplaced: another server answered at its address.
	outcomeReplaced
	// outcomeFailed: the server failed the request.
	outcomeFailed
	// outcomeUnreachable: no connection to the server could be made.
	outcomeUnreachable
	// outcomeUnknown: the attempt shows nothing about the server, as when the caller has gone.
	outcomeUnknown
)

// endAttempt records the end of an attempt at a server that was picked before.
func (f *fleet) endAttempt(id string, outcome serverOutcome, took, now time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.servers[id]
	if s == nil {
		return
	}
	s.ownInFlight = max(s.ownInFlight-1, 0)
	f.resting.RecordEnd(id)
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
	case outcomeReplaced:
		s.replacedUntil = now + maxOutdatedTime
		_ = level.Info(f.logger).Log("msg", "A backend server was replaced at its address.", "server", s.ID,
			"service", s.Service, "failure_domain", s.FailureDomain)
	case outcomeRefused, outcomeUnknown:
	}
	f.table.Ended(id, now, place.Outcome{
		Latency: took,
		Refused: outcome == outcomeRefused || outcome == outcomeReplaced,
		Failed:  outcome == outcomeFailed || outcome == outcomeUnreachable,
	})
	if outcome == outcomeFailed || outcome == outcomeUnreachable || outcome == outcomeReplaced {
		f.updatePlacement(now)
	}
}

// maxOutdatedTime is how long a server that another one has replaced at its address gets no requests:
// longer than its registration lasts, unless the store is away.
const maxOutdatedTime = 5 * time.Second

// logEjection counts and logs that a server was ejected for the given duration; zero means that it
// was not.
func (f *fleet) logEjection(s *server, cause string, duration time.Duration) {
	if duration == 0 {
		return
	}
	f.ejections.Inc(1)
	_ = level.Warn(f.logger).Log("msg", "A backend server is left out for a while.", "server", s.ID, "service", s.Service,
		"failure_domain", s.FailureDomain, "cause", cause, "for_ms", duration.Milliseconds(),
		"result", result.Label(api.ResultCode_BACKEND_FAILED))
}
