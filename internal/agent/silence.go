package agent

import "time"

// silentAfter is how long an engine must not have answered its agent's questions to be
// shown as silent. A busy one answers some of them late; one that is dead or hangs answers
// none. Operators alone go by it: work is placed by what becomes of it.
const silentAfter = 5 * time.Second

// silence follows whether the engine answers. The executor's lock guards it.
type silence struct {
	failing bool
	since   time.Duration // of the first question without an answer
	told    bool
}

// long says that the engine has not answered for long enough to be shown.
func (s *silence) long(now time.Duration) bool { return s.failing && now-s.since >= silentAfter }

// noteAnswer takes how a question to the engine ended, and logs when the engine falls
// silent and when it answers again.
func (e *executor) noteAnswer(now time.Duration, err error) {
	e.mu.Lock()
	s := &e.silence
	if err == nil {
		told := s.told
		*s = silence{}
		e.mu.Unlock()
		if told {
			_ = e.logger.Log("msg", "The engine answers again.")
		}
		return
	}
	if !s.failing {
		s.failing, s.since = true, now
	}
	tell := s.long(now) && !s.told
	s.told = s.told || tell
	e.mu.Unlock()
	if tell {
		_ = e.logger.Log("level", "warn", "msg", "The engine does not answer.", "result", backendFailed, "err", err)
	}
}
