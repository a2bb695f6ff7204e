package test

import (
	"fmt"
	"time"

	"github.com/go-faster/errors"

	"github.com/apricothub/apricothub/test/harness"
)

// served returns how many requests callers have been served so far.
func (s *siteSoak) served() (drafts, pushed int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.drafts, s.pushed
}

// waitForService waits until callers are served as before the faults.
func (s *siteSoak) waitForService() {
	s.t.Helper()
	s.waitUntilCurrent()
	drafts, pushed := s.served()
	harness.Eventually(s.t, recoveryTimeout, fmt.Sprintf("seed %d: callers are served after the faults", s.seed), func() error {
		if d, p := s.served(); d < drafts+20 || p < pushed+20 {
			return errors.Errorf("%d drafts and %d pushes since", d-drafts, p-pushed)
		}
		return nil
	})
}

// waitUntilCurrent waits until all gateways use the newest configuration and know each other.
func (s *siteSoak) waitUntilCurrent() {
	s.t.Helper()
	for _, g := range s.gateways {
		harness.Eventually(s.t, siteTimeout, fmt.Sprintf("seed %d: %s uses the newest configuration and knows all gateways", s.seed, g.vm), func() error {
			state, err := g.state()
			if err != nil {
				return err
			}
			if !state.Ready || state.Config != s.version || state.Entries != len(s.gateways) {
				return errors.Errorf("its state is %+v", state)
			}
			return nil
		})
	}
}

// checkStopAndDomainOut checks, after the faults, that a graceful shutdown cuts no stream, and that
// a failure domain that is taken out gets no new requests after the in-force limit.
func (s *siteSoak) checkStopAndDomainOut() {
	s.t.Helper()
	stopAt := time.Now()
	g := s.gateways[s.seed%uint64(len(s.gateways))]
	if status := g.Terminate(); status != 0 {
		s.t.Errorf("seed %d: a graceful shutdown ended with status %d", s.seed, status)
	}
	g.Restart()
	s.waitUntilCurrent()
	s.mu.Lock()
	for _, cut := range s.cut {
		if cut.began.After(stopAt) {
			s.t.Errorf("seed %d: draft %s at %s, begun %v after the stop of %s, ended after %d bytes: %s",
				s.seed, cut.path, cut.address, cut.began.Sub(stopAt), g.ip, len(cut.text), cut.failure)
		} else if cut.ended.After(stopAt) {
			s.t.Logf("seed %d: draft %s at %s, begun %v before the stop, ended %v after it, after %d bytes: %s",
				s.seed, cut.path, cut.address, stopAt.Sub(cut.began), cut.ended.Sub(stopAt), len(cut.text), cut.failure)
		}
	}
	s.mu.Unlock()
	out := int(s.seed) % len(domains)
	s.store.Put("keyed.op", "evacuate/"+domains[out], "{}")
	time.Sleep(gatewayInForceLimit)
	quietSince := time.Now()
	time.Sleep(outDuration)
	for _, run := range s.group.Runs() {
		if run.Rank%len(domains) == out && run.StartedAt.After(quietSince) {
			s.t.Errorf("seed %d: the engine of rank %d got request %s in a domain that is out", s.seed, run.Rank, run.Request)
		}
	}
	if last := s.arrivals["i-"+domains[out]].last(); last > quietSince.Sub(s.startedAt) {
		s.t.Errorf("seed %d: a backend server got a request %v after the in-force limit of its domain's mark", s.seed, last-quietSince.Sub(s.startedAt))
	}
	s.store.Put("keyed.op", "evacuate/"+domains[out], "")
}

// check compares what callers and backend servers saw with the guarantees.
func (s *siteSoak) check(stalls time.Duration) {
	s.t.Helper()
	checkRuns(s.t, s.pushes, s.outcomes, s.attemptIDs)
	for _, fault := range s.group.State().Faults {
		s.t.Errorf("seed %d: %s", s.seed, fault)
	}
	if err := s.history.Check(gatewayInForceLimit+recoveryTime, time.Minute); err != nil {
		s.t.Errorf("seed %d: %v", s.seed, err)
	}
	if s.missingRetryAfter > 0 {
		s.t.Errorf("seed %d: %d refusals have no Retry-After", s.seed, s.missingRetryAfter)
	}
	window := time.Second - stalls - maxLinkDelay
	for id, a := range s.arrivals {
		if count, start := a.maxInWindow(window); count > maxColdPerSecond {
			s.t.Errorf("seed %d: %s got %d requests within a second from %s on, want at most %v", s.seed, id, count, start.Round(time.Millisecond), maxColdPerSecond)
		}
	}
	for _, run := range s.group.Runs() {
		s.retries.recordArrivalAt(run.Request, run.StartedAt)
	}
	s.retries.check(s.t)
	state := s.group.State()
	s.t.Logf("seed %d: %d drafts and %d pushes served, %d passes, %d versions of maps, faults %v",
		s.seed, s.drafts, s.pushed, state.Passes, state.Versions, s.faultCounts)
}
