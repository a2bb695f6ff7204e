package link

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/internal/clock"
)

// probePollInterval is the time between looks for the answer to a probe.
const probePollInterval = time.Millisecond

// beginWork and end count a piece of work on the link.
func (s *Session) beginWork() {
	if s.heartbeatState.beginWork(clock.Now()) {
		s.cfg.HeartbeatSender.wake()
	}
}

func (s *Session) endWork() { s.heartbeatState.endWork(clock.Now()) }

// Probe says whether the link was heard, in both directions, within the time after which
// a link with work is suspect. An idle link that was not is asked first. Without that,
// work that must not repeat would be sent to a process that has been gone for as long as
// the long interval, and end as "unknown", more often than over a brisk link.
func (s *Session) Probe(ctx context.Context) bool {
	s.beginWork()
	defer s.endWork()
	deadline := clock.Now() + s.cfg.SuspectAfter
	for {
		now := clock.Now()
		if s.heartbeatState.sinceConfirmed(now) <= s.cfg.SuspectAfter {
			return true
		}
		if now > deadline {
			return false
		}
		timer := time.NewTimer(probePollInterval)
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

// PostWithHeartbeat has a message go out with the next heartbeat, in the place of one that has not
// gone yet.
func (s *Session) PostWithHeartbeat(m *api.Control) { s.withHeartbeat.Store(m) }

// receiveHeartbeat returns a time before which the heartbeat cannot have been made.
func (s *Session) receiveHeartbeat(heartbeat *api.Heartbeat, now time.Duration) time.Duration {
	notBefore, urgent := s.heartbeatState.heartbeatReceived(heartbeat, now)
	if urgent {
		s.cfg.HeartbeatSender.wake()
	}
	return notBefore
}

// queueHeartbeat has a heartbeat sent. One that still waits means that the link takes nothing; its
// number is not echoed, and the link falls silent by that.
func (s *Session) queueHeartbeat(heartbeat *api.Heartbeat) {
	s.heartbeatState.complete(heartbeat, clock.Now())
	if s.cfg.HeartbeatsOut != nil {
		s.cfg.HeartbeatsOut.Inc(1)
	}
	select {
	case s.heartbeats <- &api.Control{Body: &api.Control_Heartbeat{Heartbeat: heartbeat}}:
	default:
	}
}

// writeControl sends control messages, and all that wait by one write.
func (s *Session) writeControl() {
	var buf []byte
	for {
		var err error
		buf, err = s.collectMessages(buf[:0])
		if err != nil || len(buf) == 0 {
			s.Close(errors.Wrap(err, "a message cannot be sent"))
			return
		}
		if err := s.control.write(buf); err != nil {
			s.Close(errors.Wrap(err, "the link takes no more"))
			return
		}
		if cap(buf) > maxKeptBuffer {
			buf = nil
		}
	}
}

// collectMessages waits for a message and appends it and those that wait behind it. It returns
// nothing once the link is closed.
func (s *Session) collectMessages(buf []byte) ([]byte, error) {
	var m *api.Control
	select {
	case m = <-s.outgoing:
	case m = <-s.heartbeats:
	case <-s.closed:
		return nil, nil
	}
	for {
		var err error
		if m.GetHeartbeat() != nil {
			if message := s.withHeartbeat.Swap(nil); message != nil {
				if buf, err = appendMessage(buf, message); err != nil {
					return nil, err
				}
			}
		}
		if buf, err = appendMessage(buf, m); err != nil || len(buf) > maxCoalescedBytes {
			return buf, err
		}
		select {
		case m = <-s.outgoing:
		case m = <-s.heartbeats:
		default:
			return buf, nil
		}
	}
}
