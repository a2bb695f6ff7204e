package link

import (
	"sync"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"github.com/apricothub/apricothub/internal/clock"
)

// HeartbeatSender sends the heartbeats of all links of a process, by one timer: with a timer and
// a question to the control state for each link, an entry spent most of its processor
// time without work on waking up.
type HeartbeatSender struct {
	wakeup chan struct{}

	mu       sync.Mutex
	sessions map[*Session]struct{}
	running  bool
	due      []*Session // of the round under way
}

// NewHeartbeatSender returns a pacer. All links that share it must have one handler.
func NewHeartbeatSender() *HeartbeatSender {
	return &HeartbeatSender{wakeup: make(chan struct{}, 1), sessions: make(map[*Session]struct{})}
}

// SendAllAtNextTick has all links beat with the next tick: there is news that is told by heartbeats.
func (p *HeartbeatSender) SendAllAtNextTick() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for s := range p.sessions {
		s.heartbeatState.sendAtNextTick()
	}
}

// wake has the links beat at once that must.
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

// run sends heartbeats for as long as there are links.
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

// sendDue sends the heartbeats that are due, and returns false when there are no links.
// What they say is asked for once, after their echoes were read: the receiver takes the
// knowledge for newer than the heartbeat that is echoed.
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

// collectDue finds the links whose heartbeats are due, and closes those that have been
// silent for too long.
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
			// Closing hands its news to the control state, which is not waited for.
			go s.Close(errors.Errorf("silent for %v", silence.Round(time.Millisecond)))
			continue
		}
		if s.heartbeatState.takeDue(now, onTick) {
			p.due = append(p.due, s)
		}
	}
	p.running = len(p.sessions) > 0
	return p.running
}
