package agent

import (
	"context"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/apricothub/apricothub/internal/clock"
)

// pollEngine polls the engine: first for the requests that it still runs for the previous agent,
// and as long as the process lives for whether it is cold, its prefix cache and what it has
// loaded. A plain service is not polled, because it does not have this interface.
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
			e.mu.Lock()
			// It may be about to return from a restart, cold.
			e.limiter.AssumeCold()
			e.mu.Unlock()
		} else {
			e.setReportedCold(isCold)
		}
		e.pollPacer.waitNext(ctx)
	}
}

// pollPrefixes follows the events of the engine's prefix cache. They arrive late and with gaps. A
// cached prefix that is not known here only costs the engine a prefill.
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

// recentPrefixes holds the prefixes recently added to the engine's cache.
type recentPrefixes struct {
	hashes  []uint64
	addedAt []time.Duration
}

const (
	// prefixReportTime is how long reports contain a prefix: several reports, so that losing one
	// loses nothing.
	prefixReportTime = time.Second
	// maxReportedPrefixes limits the prefixes in one report.
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

// adoptRunning asks the backend server which requests it still runs for the previous agent, and
// counts them against the limit until they have ended. Otherwise a restarted agent would double
// the load of a busy backend server.
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

// updateAdopted compares the running requests with those of the last poll. The first answer opens
// the agent for work; later ones only remove requests.
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
