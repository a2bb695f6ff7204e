package link

import (
	"sync"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"github.com/apricothub/apricothub/internal/clock"
)

// Pacer sends the heartbeats of all links of a process, by one timer: with a timer and
// a question to the control state for each link, an entry spent most of its processor
// time without work on waking up.
type Pacer struct {
	kick chan struct{}

	mu       sync.Mutex
	sessions map[*Session]struct{}
	running  bool
	due      []*Session // of the round under way
}

// NewPacer returns a pacer. All links that share it must have one handler.
func NewPacer() *Pacer {
	return &Pacer{kick: make(chan struct{}, 1), sessions: make(map[*Session]struct{})}
}

// Hurry has all links beat with the next tick: there is news that is told by heartbeats.
func (p *Pacer) Hurry() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for s := range p.sessions {
		s.rhythm.hurry()
	}
}

// wake has the links beat at once that must.
func (p *Pacer) wake() {
	select {
	case p.kick <- struct{}{}:
	default:
	}
}

func (p *Pacer) add(s *Session) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sessions[s] = struct{}{}
	if p.running {
		p.wake()
		return
	}
	p.running = true
	go p.run(s.cfg.Heartbeat)
}

// run sends heartbeats for as long as there are links.
func (p *Pacer) run(every time.Duration) {
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	for timed := false; p.round(timed); {
		select {
		case <-ticker.C:
			timed = true
		case <-p.kick:
			timed = false
		}
	}
}

// round sends the heartbeats that are due, and returns false when there are no links.
// What they say is asked for once, after their echoes were read: the receiver takes the
// knowledge for newer than the heartbeat that is echoed.
func (p *Pacer) round(timed bool) bool {
	if !p.collect(timed) {
		return false
	}
	if len(p.due) == 0 {
		return true
	}
	common := p.due[0].handler.Heartbeat()
	for _, s := range p.due {
		s.beat(proto.CloneOf(common))
	}
	return true
}

// collect finds the links whose heartbeats are due, and closes those that have been
// silent for too long.
func (p *Pacer) collect(timed bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.due = p.due[:0]
	now := clock.Now()
	for s := range p.sessions {
		if s.isClosed() {
			delete(p.sessions, s)
			continue
		}
		if silence := s.rhythm.silence(now); silence > s.cfg.Dead {
			// Closing hands its news to the control state, which is not waited for.
			go s.Close(errors.Errorf("silent for %v", silence.Round(time.Millisecond)))
			continue
		}
		if s.rhythm.due(now, timed) {
			p.due = append(p.due, s)
		}
	}
	p.running = len(p.sessions) > 0
	return p.running
}
