package agent

import (
	"context"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/apricothub/apricothub/internal/clock"
)

// watch follows what the engine says of itself: first what it still runs for a
// predecessor of this agent, and for as long as the process lives whether it is cold.
// A plain service is not asked; it knows no such questions.
func (e *executor) watch(ctx context.Context) error {
	if e.settings.GetModel() == "" {
		e.mu.Lock()
		e.asked = true
		e.mu.Unlock()
		<-ctx.Done()
		return ctx.Err()
	}
	go e.watchCold(ctx)
	go e.watchPrefixes(ctx)
	go e.watchVersion(ctx)
	return e.adopt(ctx)
}

func (e *executor) watchCold(ctx context.Context) {
	for ctx.Err() == nil {
		saysCold, err := e.backend.saysCold(ctx)
		if errors.Is(err, errMissing) {
			return
		}
		if ctx.Err() == nil {
			e.noteAnswer(clock.Now(), err)
		}
		if err != nil {
			// It may be about to come back from a restart, cold.
			e.mu.Lock()
			e.limiter.AssumeCold()
			e.mu.Unlock()
		} else {
			e.reported(saysCold)
		}
		e.pace.wait(ctx)
	}
}

// watchPrefixes follows the engine's events on its prefix cache. They come late and with
// gaps; a prefix that is not known to be there costs the engine a prefill, no more.
func (e *executor) watchPrefixes(ctx context.Context) {
	var next uint64
	for ctx.Err() == nil {
		prefixes, after, err := e.backend.cacheEvents(ctx, next)
		if errors.Is(err, errMissing) {
			return
		}
		if err == nil {
			next = after
			e.mu.Lock()
			e.prefixes.add(clock.Now(), prefixes)
			e.mu.Unlock()
		}
		e.pace.wait(ctx)
	}
}

// newPrefixes are the prefixes that came into an engine's cache of late.
type newPrefixes struct {
	hashes []uint64
	came   []time.Duration
}

const (
	// tellPrefixes is how long a prefix is told in reports: some reports' time, so
	// that a lost one loses nothing.
	tellPrefixes = time.Second
	// maxPrefixes bounds what one report tells.
	maxPrefixes = 64
)

func (p *newPrefixes) add(now time.Duration, hashes []uint64) {
	for _, h := range hashes {
		p.hashes = append(p.hashes, h)
		p.came = append(p.came, now)
	}
	old := max(len(p.hashes)-maxPrefixes, 0)
	for old < len(p.came) && now-p.came[old] > tellPrefixes {
		old++
	}
	p.hashes = slices.Clone(p.hashes[old:])
	p.came = slices.Clone(p.came[old:])
}

// adopt asks the backend server what it still runs for a predecessor of this agent,
// and counts it against the limit until it has ended. Without this a restarted
// agent would double the load of a backend server that is still busy.
func (e *executor) adopt(ctx context.Context) error {
	var before map[string]bool
	for ctx.Err() == nil {
		ids, err := e.backend.running(ctx)
		if err == nil {
			before = e.noteRunning(ids, before)
			if len(before) == 0 {
				break
			}
		}
		wait(ctx, watchPoll)
	}
	<-ctx.Done()
	return ctx.Err()
}

// noteRunning compares what runs with what ran before. The first answer opens the
// agent for work; later ones only take away.
func (e *executor) noteRunning(ids []string, before map[string]bool) map[string]bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := make(map[string]bool, len(ids))
	for _, id := range ids {
		if before == nil || before[id] {
			now[id] = true
		}
	}
	if before == nil {
		e.limiter.Adopt(len(now))
		e.asked = true
		return now
	}
	e.limiter.AdoptedDone(len(before) - len(now))
	return now
}
