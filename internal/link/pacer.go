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
func (p *HeartbeatSender) SendAllAtNextTick() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for s := range p.sessions {
		s.heartbeatState.sendAtNextTick()
	}
}

// wake triggers the heartbeats that are due immediately.
func (p *HeartbeatSender) wake() {
	select {
	case p.wakeup <- struct{}{}:
	default:
	}
}

func (p *HeartbeatSender) add(s *Session) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sessions[s] = struct{}{}
	if p.running {
		p.wake()
		return
	}
	p.running = true
	go p.run(s.cfg.HeartbeatInterval)
}

// run sends heartbeats as long as there are links.
func (p *HeartbeatSender) run(interval time.Duration) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for onTick := false; p.sendDue(onTick); {
		select {
		case <-ticker.C:
			onTick = true
		case <-p.wakeup:
			onTick = false
		}
	}
}

// sendDue sends the heartbeats that are due, and returns false when there are no links. The handler
// is called once for all of them, after their echoes were read: the receiver assumes that the
// knowledge is newer than the heartbeat that is echoed.
func (p *HeartbeatSender) sendDue(onTick bool) bool {
	if !p.collectDue(onTick) {
		return false
	}
	if len(p.due) == 0 {
		return true
	}
	template := p.due[0].handler.Heartbeat()
	for _, s := range p.due {
		s.queueHeartbeat(proto.CloneOf(template))
	}
	return true
}

// collectDue collects the links whose heartbeats are due, and closes those that have been silent
// for too long.
func (p *HeartbeatSender) collectDue(onTick bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.due = p.due[:0]
	now := clock.Now()
	for s := range p.sessions {
		if s.isClosed() {
			delete(p.sessions, s)
			continue
		}
		if silence := s.heartbeatState.silence(now); silence > s.cfg.DeadAfter {
			// Close calls Handler.Down, which may wait for the control goroutine. That must not
			// block the sender.
			go s.Close(errors.Errorf("the link was silent for %v", silence.Round(time.Millisecond)))
			continue
		}
		if s.heartbeatState.takeDue(now, onTick) {
			p.due = append(p.due, s)
		}
	}
	p.running = len(p.sessions) > 0
	return p.running
}
