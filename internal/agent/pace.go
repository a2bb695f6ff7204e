package agent

import (
	"context"
	"sync"
	"time"

	"github.com/apricothub/apricothub/internal/clock"
)

const (
	// watchPoll is the time between questions to a busy engine about itself.
	watchPoll = 200 * time.Millisecond
	// idlePoll is the time between questions to an idle one. An agent's processor time
	// without work is mostly these.
	idlePoll = time.Second
	// idleAfter is how long an engine must have had no work to count as idle: as long as
	// cold.Config.ProofFor. An engine that turned cold between two of the slow questions
	// is then given no more than the cold limit, until a first token has proved it warm;
	// and the first piece of work wakes the questions at once.
	idleAfter = 5 * time.Second
)

// pace is the time between questions to the engine.
type pace struct {
	mu      sync.Mutex
	running int
	last    time.Duration // when work last began or ended
	woken   chan struct{} // closed with the first work of an idle engine
}

func newPace(now time.Duration) *pace {
	return &pace{last: now, woken: make(chan struct{})}
}

// began counts a piece of work that the engine is given.
func (p *pace) began(now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle(now) {
		close(p.woken)
		p.woken = make(chan struct{})
	}
	p.running++
	p.last = now
}

// ended takes back the count of began.
func (p *pace) ended(now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running--
	p.last = now
}

func (p *pace) idle(now time.Duration) bool {
	return p.running == 0 && now-p.last > idleAfter
}

// wait returns when the next question is due.
func (p *pace) wait(ctx context.Context) {
	p.mu.Lock()
	d, woken := watchPoll, p.woken
	if p.idle(clock.Now()) {
		d = idlePoll
	}
	p.mu.Unlock()
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-woken:
	case <-ctx.Done():
	}
}
