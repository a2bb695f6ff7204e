package gateway

import (
	"time"

	"github.com/go-faster/errors"
	"github.com/go-kit/log/level"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/decide/retry"
	"github.com/apricothub/apricothub/decide/silence"
	"github.com/apricothub/apricothub/decide/straggler"
)

var (
	errSilentVM   = errors.New("the VM of the backend server is silent")
	errNoProgress = errors.New("the request made no progress for too long")
	errSlowServer = errors.New("the backend server is slow and delays the others of its group")
)

// move is the move of a running request to another backend server.
type move struct {
	to placement
	// token is the token of the retry budget for it.
	token retry.Token
	// cause is why the request moves, for the log; outcome is what that counts for at the server that
	// it leaves.
	cause   error
	outcome serverOutcome
}

// pickMoveTarget picks another server for a request that makes no progress at its server, or whose
// server is too slow; nil if the request stays. events counts the events that its caller has. End the
// attempt at the returned server with endAttempt.
//
// Without this, the callers of requests at frozen VMs and hanging servers would wait until they
// leave, and the server would run the requests for nobody when it is back.
func (f *fleet) pickMoveTarget(id string, t *task, p silence.Progress, events int, now time.Duration) *move {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.moveCause(id, t, p, events, now)
	if m == nil || m.cause != errSilentVM && !f.shutdown.MayStart(t.service, t.limit) {
		// During a planned stop, a request that begins anew too late has no answer, and one that stays may have one.
		return nil
	}
	token, ok := f.retries.spend(t.service, now)
	if !ok {
		return nil
	}
	s, code := f.pick(pickRequest{service: t.service, tried: t.tried, timeLeft: timeLeft(t.deadline, now)}, now)
	if code != api.ResultCode_OK {
		f.retries.giveBack(t.service, token)
		return nil
	}
	m.to, m.token = s, token
	f.silenceDetector.RecordMove(now)
	return m
}

// moveCause returns why a request is to move now, or nil if it stays. The caller holds the lock.
func (f *fleet) moveCause(id string, t *task, p silence.Progress, events int, now time.Duration) *move {
	free, capacity := f.table.Slots(offer(t.service), now)
	service := silence.Service{Name: t.service, LockStep: f.engines[t.service], FreeSlots: free, Slots: capacity, Entries: f.entries}
	reason := f.silenceDetector.MoveReason(id, service, p, now)
	switch {
	case reason == silence.SilentVM && f.retries.canSpend(t.service, now):
		// Probes track a silent VM, so the attempt itself does not count against the server.
		return &move{cause: errSilentVM, outcome: outcomeUnknown}
	case reason == silence.Stuck && f.retries.canSpend(t.service, now):
		return &move{cause: errNoProgress, outcome: outcomeFailed}
	case f.leavesSlowServer(id, t, p, events, now) && f.silenceDetector.MayMove(service, now) && f.retries.hasSpare(t.service, now):
		return &move{cause: errSlowServer, outcome: outcomeUnknown}
	}
	return nil
}

// leavesSlowServer reports whether a request is to leave a server that delays the others of its group.
// The caller holds the lock.
func (f *fleet) leavesSlowServer(id string, t *task, p silence.Progress, events int, now time.Duration) bool {
	s := f.servers[id]
	if s == nil || s.service.Engine == nil {
		return false
	}
	return f.stragglers.Leaves(id, straggler.Request{
		HasBegun: p.HasBegun, Waited: now - p.Since, Objective: p.Objective, MaxPause: p.MaxPause,
		EventsLeft: t.eventsLeft(events, s.service.Engine.StepsPerPass),
	}, straggler.Pass{Slowdown: s.slowdown, OwnPart: s.service.Engine.OwnPart()})
}

// eventsLeft returns how many events are expected until the answer is whole, given how many the caller
// has and how many tokens an event holds; -1 for unknown, also if the answer is longer than expected.
func (t *task) eventsLeft(events, tokensPerEvent int) int {
	if t.ExpectedTokens == 0 || tokensPerEvent == 0 {
		return -1
	}
	expected := (t.ExpectedTokens + tokensPerEvent - 1) / tokensPerEvent
	if events >= expected {
		return -1
	}
	return expected - events
}

// isStraggler reports whether a server gets no new work because it is too slow, or because its speed
// swings. hasFast holds the services with a server that is neither. The caller holds the lock.
func (f *fleet) isStraggler(id string, s *server, hasFast map[string]bool, now time.Duration) bool {
	isTooSlow := s.isTooSlow(hasFast)
	if f.stragglers.Observe(id, isTooSlow, now) {
		f.logStraggler(s, isTooSlow, now)
	}
	return isTooSlow || hasFast[s.Service] && f.stragglers.IsHeld(id, now)
}

// logStraggler logs that a server has become too slow for any request, or fast enough again. The
// caller holds the lock.
func (f *fleet) logStraggler(s *server, isTooSlow bool, now time.Duration) {
	if isTooSlow {
		_ = level.Info(f.logger).Log("msg", "A backend server is too slow for requests. Those that run there may leave it.", "server", s.ID,
			"service", s.Service, "failure_domain", s.FailureDomain, "pace", s.slowdown, "in_flight", s.ownInFlight)
		return
	}
	_ = level.Info(f.logger).Log("msg", "A backend server is fast enough for requests again.", "server", s.ID,
		"service", s.Service, "failure_domain", s.FailureDomain, "held_back", f.stragglers.IsHeld(s.ID, now))
}
