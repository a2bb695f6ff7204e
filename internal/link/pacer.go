package link

import (
	"sync"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"github.com/apricothub/apricothub/internal/clock"
)

// HeartbeatSender sends the heartbeats of all links of a process with a single timer. With a timer
// and a query of the control state for each link, an idle entry spends most of its CPU time on
// wakeups.
type HeartbeatSender struct {
	wakeup chan struct{}

	mu       sync.Mutex
	sessions map[*Session]struct{}
	running  bool
	due      []*Session // links whose heartbeats are being sent
}

// NewHeartbeatSender returns a sender without links. All links that share it must have the same
// handler.
func NewHeartbeatSender() *HeartbeatSender {
	return &HeartbeatSender{wakeup: make(chan struct{}, 1), sessions: make(map[*Session]struct{})}
}

// SendAllAtNextTick makes heartbeats due on all links at the next tick. It is called for updates
// that heartbeats carry.
func (h *HeartbeatSender) SendAllAtNextTick() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for s := range h.sessions {
		s.heartbeatState.sendAtNextTick()
	}
}

// wake triggers the heartbeats that are due immediately.
func (h *HeartbeatSender) wake() {
	select {
	case h.wakeup <- struct{}{}:
	default:
	}
}

func (h *HeartbeatSender) add(s *Session) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sessions[s] = struct{}{}
	if h.running {
		h.wake()
		return
	}
	h.running = true
	go h.run(s.cfg.HeartbeatInterval)
}

// run sends heartbeats as long as there are links.
func (h *HeartbeatSender) run(interval time.Duration) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for onTick := false; h.sendDue(onTick); {
		select {
		case <-ticker.C:
			onTick = true
		case <-h.wakeup:
			onTick = false
		}
	}
}

// sendDue sends the heartbeats that are due, and returns false when there are no links. The handler
// is called once for all of them, after their echoes were read: the receiver assumes that the
// knowledge is newer than the heartbeat that is echoed.
func (h *HeartbeatSender) sendDue(onTick bool) bool {
	if !h.collectDue(onTick) {
		return false
	}
	if len(h.due) == 0 {
		return true
	}
	template := h.due[0].handler.Heartbeat()
	for _, s := range h.due {
		s.queueHeartbeat(proto.CloneOf(template))
	}
	return true
}

// collectDue collects the links whose heartbeats are due, and closes those that have been silent
// for too long.
func (h *HeartbeatSender) collectDue(onTick bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.due = h.due[:0]
	now := clock.Now()
	for s := range h.sessions {
		if s.isClosed() {
			delete(h.sessions, s)
			continue
		}
		if silence := s.heartbeatState.silence(now); silence > s.cfg.DeadAfter {
			// Close calls Handler.Down, which may wait for the control goroutine. That must not
			// block the sender.
			go s.Close(errors.Errorf("the link was silent for %v", silence.Round(time.Millisecond)))
			continue
		}
		if s.heartbeatState.takeDue(now, onTick) {
			h.due = append(h.due, s)
		}
	}
	h.running = len(h.sessions) > 0
	return h.running
}
