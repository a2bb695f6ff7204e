package link

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/internal/clock"
)

// probeStep is the time between looks for the answer to a probe.
const probeStep = time.Millisecond

// begin and end count a piece of work on the link.
func (s *Session) begin() {
	if s.rhythm.begin(clock.Now()) {
		s.cfg.Pacer.wake()
	}
}

func (s *Session) end() { s.rhythm.end(clock.Now()) }

// Prove says whether the link was heard, in both directions, within the time after which
// a link with work is suspect. An idle link that was not is asked first. Without that,
// work that must not repeat would be sent to a process that has been gone for as long as
// the long interval, and end as "unknown", more often than over a brisk link.
func (s *Session) Prove(ctx context.Context) bool {
	s.begin()
	defer s.end()
	limit := clock.Now() + s.cfg.Suspect
	for {
		now := clock.Now()
		if s.rhythm.quiet(now) <= s.cfg.Suspect {
			return true
		}
		if now > limit {
			return false
		}
		timer := time.NewTimer(probeStep)
		select {
		case <-timer.C:
		case <-s.closed:
			timer.Stop()
			return false
		case <-ctx.Done():
			timer.Stop()
			return false
		}
	}
}

// Report has a message go out with the next heartbeat, in the place of one that has not
// gone yet.
func (s *Session) Report(m *api.Control) { s.reports.Store(m) }

// noteHeartbeat returns a time before which the heartbeat cannot have been made.
func (s *Session) noteHeartbeat(beat *api.Heartbeat, now time.Duration) time.Duration {
	said, urgent := s.rhythm.noted(beat, now)
	if urgent {
		s.cfg.Pacer.wake()
	}
	return said
}

// beat has a heartbeat sent. One that still waits means that the link takes nothing; its
// number is not echoed, and the link falls silent by that.
func (s *Session) beat(beat *api.Heartbeat) {
	s.rhythm.stamp(beat, clock.Now())
	if s.cfg.Beats != nil {
		s.cfg.Beats.Inc(1)
	}
	select {
	case s.beats <- &api.Control{Body: &api.Control_Heartbeat{Heartbeat: beat}}:
	default:
	}
}

// writeControl sends control messages, and all that wait by one write.
func (s *Session) writeControl() {
	var buf []byte
	for {
		var err error
		buf, err = s.gather(buf[:0])
		if err != nil || len(buf) == 0 {
			s.Close(errors.Wrap(err, "a message cannot be sent"))
			return
		}
		if err := s.control.write(buf); err != nil {
			s.Close(errors.Wrap(err, "the link takes no more"))
			return
		}
		if cap(buf) > keepBuffer {
			buf = nil
		}
	}
}

// gather waits for a message and appends it and those that wait behind it. It returns
// nothing once the link is closed.
func (s *Session) gather(buf []byte) ([]byte, error) {
	var m *api.Control
	select {
	case m = <-s.send:
	case m = <-s.beats:
	case <-s.closed:
		return nil, nil
	}
	for {
		var err error
		if m.GetHeartbeat() != nil {
			if report := s.reports.Swap(nil); report != nil {
				if buf, err = appendMessage(buf, report); err != nil {
					return nil, err
				}
			}
		}
		if buf, err = appendMessage(buf, m); err != nil || len(buf) > joinLimit {
			return buf, err
		}
		select {
		case m = <-s.send:
		case m = <-s.beats:
		default:
			return buf, nil
		}
	}
}
