package link

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/internal/clock"
)

// probePollInterval is the interval at which a probe checks for its answer.
const probePollInterval = time.Millisecond

// beginWork and endWork count a request on the link.
func (s *Session) beginWork() {
	if s.heartbeatState.beginWork(clock.Now()) {
		s.cfg.HeartbeatSender.wake()
	}
}

func (s *Session) endWork() { s.heartbeatState.endWork(clock.Now()) }

// Probe reports whether the link was confirmed in both directions within SuspectAfter, the time
// after which a link with work is suspect. An idle link that was not is probed first. Without the
// probe, work that must not be repeated could be sent to a process that has been gone for up to the
// idle interval, and would end with an unknown outcome more often than over an active link.
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

// PostWithHeartbeat sends a message with the next heartbeat. It replaces a message that still waits
// for one.
func (s *Session) PostWithHeartbeat(m *api.Control) { s.withHeartbeat.Store(m) }

// receiveHeartbeat handles a heartbeat and returns a time before which the peer cannot have sent
// it.
func (s *Session) receiveHeartbeat(heartbeat *api.Heartbeat, now time.Duration) time.Duration {
	notBefore, urgent := s.heartbeatState.heartbeatReceived(heartbeat, now)
	if urgent {
		s.cfg.HeartbeatSender.wake()
	}
	return notBefore
}

// queueHeartbeat queues a heartbeat. If another one is still queued, the connection accepts no data
// and the new one is dropped. Its number is then never echoed, so the link counts as silent.
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

// writeControl sends control messages, all queued ones with one write.
func (s *Session) writeControl() {
	var buf []byte
	for {
		var err error
		buf, err = s.collectMessages(buf[:0])
		if err != nil || len(buf) == 0 {
			s.Close(errors.Wrap(err, "encode a control message"))
			return
		}
		if err := s.control.write(buf); err != nil {
			s.Close(errors.Wrap(err, "write control messages"))
			return
		}
		if cap(buf) > maxKeptBuffer {
			buf = nil
		}
	}
}

// collectMessages waits for a message and appends it and all messages queued behind it. It returns
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
