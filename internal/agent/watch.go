package agent

import (
	"context"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/apricothub/apricothub/internal/clock"
)

// pollEngine follows what the engine says of itself: first what it still runs for a
// predecessor of this agent, and for as long as the process lives whether it is cold.
// A plain service is not asked; it knows no such questions.
func (e *executor) pollEngine(ctx context.Context) error {
	if e.settings.GetModel() == "" {
		e.mu.Lock()
		e.runningKnown = true
		e.mu.Unlock()
		<-ctx.Done()
		return ctx.Err()
	}
	go e.pollCold(ctx)
	go e.pollPrefixes(ctx)
	go e.pollLoaded(ctx)
	return e.adoptRunning(ctx)
}

func (e *executor) pollCold(ctx context.Context) {
	for ctx.Err() == nil {
		isCold, err := e.backend.queryCold(ctx)
		if errors.Is(err, errUnsupported) {
			return
		}
		if ctx.Err() == nil {
			e.recordPoll(clock.Now(), err)
		}
		if err != nil {
			// It may be about to come back from a restart, cold.
			e.mu.Lock()
			e.limiter.AssumeCold()
			e.mu.Unlock()
		} else {
			e.setReportedCold(isCold)
		}
		e.pollPacer.waitNext(ctx)
	}
}

// pollPrefixes follows the engine's events on its prefix cache. They come late and with
// gaps; a prefix that is not known to be there costs the engine a prefill, no more.
func (e *executor) pollPrefixes(ctx context.Context) {
	var next uint64
	for ctx.Err() == nil {
		prefixes, following, err := e.backend.queryCacheEvents(ctx, next)
		if errors.Is(err, errUnsupported) {
			return
		}
		if err == nil {
			next = following
			e.mu.Lock()
			e.prefixes.add(clock.Now(), prefixes)
			e.mu.Unlock()
		}
		e.pollPacer.waitNext(ctx)
	}
}

// recentPrefixes are the prefixes that came into an engine's cache of late.
type recentPrefixes struct {
	hashes  []uint64
	addedAt []time.Duration
}

const (
	// prefixReportTime is how long a prefix is told in reports: some reports' time, so
	// that a lost one loses nothing.
	prefixReportTime = time.Second
	// maxReportedPrefixes bounds what one report tells.
	maxReportedPrefixes = 64
)

func (p *recentPrefixes) add(now time.Duration, hashes []uint64) {
	for _, h := range hashes {
		p.hashes = append(p.hashes, h)
		p.addedAt = append(p.addedAt, now)
	}
	expired := max(len(p.hashes)-maxReportedPrefixes, 0)
	for expired < len(p.addedAt) && now-p.addedAt[expired] > prefixReportTime {
		expired++
	}
	p.hashes = slices.Clone(p.hashes[expired:])
	p.addedAt = slices.Clone(p.addedAt[expired:])
}

// adoptRunning asks the backend server what it still runs for a predecessor of this agent,
// and counts it against the limit until it has ended. Without this a restarted
// agent would double the load of a backend server that is still busy.
func (e *executor) adoptRunning(ctx context.Context) error {
	var before map[string]bool
	for ctx.Err() == nil {
		ids, err := e.backend.queryRunning(ctx)
		if err == nil {
			before = e.updateAdopted(ids, before)
			if len(before) == 0 {
				break
			}
		}
		sleep(ctx, busyPollInterval)
	}
	<-ctx.Done()
	return ctx.Err()
}

// updateAdopted compares what runs with what ran before. The first answer opens the
// agent for work; later ones only take away.
func (e *executor) updateAdopted(ids []string, before map[string]bool) map[string]bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	remaining := make(map[string]bool, len(ids))
	for _, id := range ids {
		if before == nil || before[id] {
			remaining[id] = true
		}
	}
	if before == nil {
		e.limiter.Adopt(len(remaining))
		e.runningKnown = true
		return remaining
	}
	e.limiter.AdoptedDone(len(before) - len(remaining))
	return remaining
}
