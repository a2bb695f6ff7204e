package agent

import "time"

// silentAfter is how long an engine must leave its agent's polls unanswered before it is shown as
// silent. A busy engine answers some of them late; one that is dead or hangs answers none. Silence
// is shown to operators only; the placement of work depends on the outcomes of requests.
const silentAfter = 5 * time.Second

// silence tracks whether the engine answers polls. The executor's lock guards it.
type silence struct {
	failing      bool
	failingSince time.Duration // of the first poll without an answer
	logged       bool
}

// isSilent reports whether the engine has not answered for long enough to be shown as silent.
func (s *silence) isSilent(now time.Duration) bool {
	return s.failing && now-s.failingSince >= silentAfter
}

// recordPoll records how a poll of the engine ended, and logs when the engine becomes silent and
// when it answers again.
func (e *executor) recordPoll(now time.Duration, err error) {
	e.mu.Lock()
	s := &e.silence
	if err == nil {
		wasLogged := s.logged
		*s = silence{}
		e.mu.Unlock()
		if wasLogged {
			_ = e.logger.Log("msg", "The engine answers again.")
		}
		return
	}
	if !s.failing {
		s.failing, s.failingSince = true, now
	}
	logNow := s.isSilent(now) && !s.logged
	s.logged = s.logged || logNow
	e.mu.Unlock()
	if logNow {
		_ = e.logger.Log("level", "warn", "msg", "The engine does not answer.", "result", backendFailedLabel, "err", err)
	}
}
