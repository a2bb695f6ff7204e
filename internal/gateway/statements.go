package gateway

import (
	"math"
	"time"

	"github.com/go-kit/log/level"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/coord/registry"
	"github.com/apricothub/apricothub/internal/result"
	"github.com/apricothub/apricothub/platform"
)

// recordStatements records what a server says of itself in an answer. sentAt is when the request was sent.
func (f *fleet) recordStatements(answered registry.Server, a platform.Answer, sentAt, now time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.servers[answered.ID]
	if s == nil || s.StartedAtUnixMs != answered.StartedAtUnixMs {
		return
	}
	// Only what the server itself has served shows that it has no limit any more.
	limitChanged := (a.RateLimit != nil || a.Signed) && f.rateLimits.RecordAnswer(s.hash, a.RateLimit, sentAt, now)
	if limitChanged {
		f.limitsStated.Inc(1)
		f.logRateLimit(s)
	}
	if a.Leaving && !s.saysLeaving {
		s.saysLeaving = true
		f.newlyLeaving = append(f.newlyLeaving, registry.Start{ID: s.ID, StartedAtUnixMs: s.StartedAtUnixMs})
		f.updatePlacement(now)
	}
	wasResting := f.resting.Wait(s.ID, now) > 0
	beginsToRest := f.resting.RecordAnswer(s.ID, a.Rest, sentAt, now)
	if limitChanged || wasResting != (f.resting.Wait(s.ID, now) > 0) {
		f.updatePlacement(now)
	}
	if beginsToRest {
		f.restsAsked.Inc(1)
		_ = level.Info(f.logger).Log("msg", "A backend server asks for rest.", "server", s.ID, "service", s.Service,
			"failure_domain", s.FailureDomain, "rest_ms", a.Rest.Milliseconds())
	}
	if a.Rest > 0 {
		f.refuseQueued(s.Service, now)
	}
}

// takeNewlyLeaving returns the servers that have said in an answer that they leave, each of them once.
func (f *fleet) takeNewlyLeaving() []registry.Start {
	f.mu.Lock()
	defer f.mu.Unlock()
	leaving := f.newlyLeaving
	f.newlyLeaving = nil
	return leaving
}

// refuseQueued refuses the queued requests of a service whose time in the queue ends before any of its
// servers has rested. The caller holds the lock.
func (f *fleet) refuseQueued(service string, now time.Duration) {
	for id, q := range f.queue {
		if q.request.service != service {
			continue
		}
		restLeft := f.restLeft(service, now)
		if now+restLeft <= q.waitUntil {
			continue
		}
		f.admitter.Cancel(now, id)
		f.resolve(id, admission{err: refusalUntilRested(restLeft)})
	}
}

// restLeft returns the time until the first server of a service has rested; zero if one does not rest.
// The caller holds the lock.
func (f *fleet) restLeft(service string, now time.Duration) time.Duration {
	p := f.pausedServices[service]
	if p.available > 0 || len(p.paused) == 0 {
		return 0
	}
	left := time.Duration(math.MaxInt64)
	for _, s := range p.paused {
		left = min(left, f.resting.RestLeft(s.ID, now))
	}
	return left
}

// isPaused reports whether this entry may send a server nothing now by what the server has said itself.
// The caller holds the lock.
func (f *fleet) isPaused(s *server, now time.Duration) bool {
	return f.resting.Wait(s.ID, now) > 0 || f.isThrottled(s, now)
}

// pausedService holds the servers of a service that are usable but for what they have said themselves.
type pausedService struct {
	// paused are those that rest or have a rate limit, available is the number of the others.
	paused    []*server
	available int
}

// countPaused counts a usable server towards its service. The caller holds the lock.
func (f *fleet) countPaused(s *server, now time.Duration) {
	p := f.pausedServices[s.Service]
	if _, limited := f.rateLimits.Rate(s.hash); limited || f.resting.Wait(s.ID, now) > 0 {
		p.paused = append(p.paused, s)
	} else {
		p.available++
	}
	f.pausedServices[s.Service] = p
}

// maxRestWaitRatio limits the rest of a server for which a request is queued to this fraction of the
// longest wait: others are sent only once the first request after the rest has been answered.
const maxRestWaitRatio = 0.5

// refusePaused returns a refusal if only servers that rest or have a rate limit are left to a service, and
// a request is not expected to be sent within maxWait; nil otherwise. The caller holds the lock.
func (f *fleet) refusePaused(service string, maxWait, now time.Duration) *result.Error {
	p := f.pausedServices[service]
	if len(p.paused) == 0 || p.available > 0 {
		return nil
	}
	// perSecond is the sum of this entry's shares in requests per second, nextTurn the time until the
	// first of them allows a request.
	perSecond, nextTurn := 0.0, time.Duration(math.MaxInt64)
	for _, s := range p.paused {
		rest := f.resting.RestLeft(s.ID, now)
		if _, limited := f.rateLimits.Rate(s.hash); !limited {
			if float64(rest) <= maxRestWaitRatio*float64(maxWait) {
				return nil
			}
			continue
		}
		if share, turn := f.rateLimits.Share(s.hash, now); share > 0 {
			perSecond += share
			nextTurn = min(nextTurn, max(turn, rest))
		}
	}
	refused := refusalUntilRested(f.restLeft(service, now))
	if perSecond == 0 {
		// Other entries may have shares. The caller may find one of them when it comes back.
		return refused
	}
	queued := f.queued[service]
	// One more than those that are queued, since a more urgent request may still come.
	wait := nextTurn + time.Duration(float64(queued+1)/perSecond*float64(time.Second))
	if nextTurn == 0 && queued == 0 || wait <= maxWait {
		return nil
	}
	refused.RetryAfter = wait
	return refused
}

// refusalUntilRested returns a refusal whose caller should not come back before a server has rested, after
// restLeft; zero if none of them rests.
func refusalUntilRested(restLeft time.Duration) *result.Error {
	refused := result.New(api.ResultCode_SATURATED)
	refused.NotBefore = restLeft
	return refused
}
