package agent

import (
	"context"
	"sync"
	"time"

	"github.com/apricothub/apricothub/internal/clock"
)

const (
	// busyPollInterval is the time between polls of a busy engine.
	busyPollInterval = 200 * time.Millisecond
	// idlePollInterval is the time between polls of an idle engine. Polls are most of an idle
	// agent's processor time.
	idlePollInterval = time.Second
	// idleAfter is how long an engine must have had no work to count as idle. It equals
	// cold.Config.ProofFor: an engine that turned cold between two slow polls is then limited to
	// the cold limit until a first token has proved it warm. The first piece of work also triggers
	// a poll at once.
	idleAfter = 5 * time.Second
)

// pollPacer decides when the engine is polled next.
type pollPacer struct {
	mu       sync.Mutex
	running  int
	lastWork time.Duration // when work last began or ended
	wake     chan struct{} // closed with the first work of an idle engine
}

func newPollPacer(now time.Duration) *pollPacer {
	return &pollPacer{lastWork: now, wake: make(chan struct{})}
}

// workStarted counts a piece of work that the engine gets.
func (p *pollPacer) workStarted(now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isIdle(now) {
		close(p.wake)
		p.wake = make(chan struct{})
	}
	p.running++
	p.lastWork = now
}

// workEnded reverses the count of workStarted.
func (p *pollPacer) workEnded(now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running--
	p.lastWork = now
}

func (p *pollPacer) isIdle(now time.Duration) bool {
	return p.running == 0 && now-p.lastWork > idleAfter
}

// waitNext returns when the next poll is due.
func (p *pollPacer) waitNext(ctx context.Context) {
	p.mu.Lock()
	d, wake := busyPollInterval, p.wake
	if p.isIdle(clock.Now()) {
		d = idlePollInterval
	}
	p.mu.Unlock()
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-wake:
	case <-ctx.Done():
	}
}
