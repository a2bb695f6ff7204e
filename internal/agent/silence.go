package agent

import "time"

// silentAfter is how long an engine must not have answered its agent's questions to be
// shown as silent. A busy one answers some of them late; one that is dead or hangs answers
// none. Operators alone go by it: work is placed by what becomes of it.
const silentAfter = 5 * time.Second

// silence follows whether the engine answers. The executor's lock guards it.
type silence struct {
	failing      bool
	failingSince time.Duration // of the first question without an answer
	logged       bool
}

// isSilent says that the engine has not answered for isSilent enough to be shown.
func (s *silence) isSilent(now time.Duration) bool {
	return s.failing && now-s.failingSince >= silentAfter
}

// recordPoll takes how a question to the engine ended, and logs when the engine falls
// silent and when it answers again.
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
