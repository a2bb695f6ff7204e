package agent

import (
	"context"
	"sync"
	"time"

	"github.com/apricothub/apricothub/internal/clock"
)

const (
	// busyPollInterval is the time between questions to a busy engine about itself.
	busyPollInterval = 200 * time.Millisecond
	// idlePollInterval is the time between questions to an idle one. An agent's processor time
	// without work is mostly these.
	idlePollInterval = time.Second
	// idleAfter is how long an engine must have had no work to count as idle: as long as
	// cold.Config.ProofFor. An engine that turned cold between two of the slow questions
	// is then given no more than the cold limit, until a first token has proved it warm;
	// and the first piece of work wakes the questions at once.
	idleAfter = 5 * time.Second
)

// pollPacer is the time between questions to the engine.
type pollPacer struct {
	mu       sync.Mutex
	running  int
	lastWork time.Duration // when work last began or ended
	wake     chan struct{} // closed with the first work of an idle engine
}

func newPollPacer(now time.Duration) *pollPacer {
	return &pollPacer{lastWork: now, wake: make(chan struct{})}
}

// workStarted counts a piece of work that the engine is given.
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

// workEnded takes back the count of began.
func (p *pollPacer) workEnded(now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running--
	p.lastWork = now
}

func (p *pollPacer) isIdle(now time.Duration) bool {
	return p.running == 0 && now-p.lastWork > idleAfter
}

// waitNext returns when the next question is due.
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
