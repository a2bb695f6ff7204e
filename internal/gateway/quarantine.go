package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/decide/quarantine"
	"github.com/apricothub/apricothub/internal/clock"
	"github.com/apricothub/apricothub/internal/result"
)

const (
	// clearanceInterval is how often a request that waits for a part of its prompt to be tried checks
	// whether it may be sent.
	clearanceInterval = 25 * time.Millisecond
	// maxClearanceWaits limits the requests that wait for that at one entry.
	maxClearanceWaits = 128
	// soundEvents is the number of events after which an answer has got past its beginning: a server that
	// ends as it begins an answer may have sent part of the first event.
	soundEvents = 2
	// maxEndReports, maxProofReports and maxQuarantineReports limit what a heartbeat tells.
	maxEndReports        = 4
	maxProofReports      = 16
	maxQuarantineReports = 8
)

// promptGuard keeps requests that end servers from them. It is safe for concurrent use.
type promptGuard struct {
	mu      sync.Mutex
	tracker *quarantine.Tracker
	waiting int
	// hasNewEnd means that an end is to be told to other entries at once.
	hasNewEnd bool
}

func newPromptGuard(self string) *promptGuard {
	return &promptGuard{tracker: quarantine.New(self, quarantine.Config{})}
}

// requestPartPrefix marks the digest of a whole request among the IDs of parts of prompts, which have no colon.
const requestPartPrefix = "request:"

// partsOf returns what in a request may end backend servers: the parts of its prompt, and the whole request.
func partsOf(t *task) []quarantine.Part {
	parts := make([]quarantine.Part, 0, 2*len(t.SharedParts)+2)
	for _, id := range t.SharedParts {
		parts = append(parts, quarantine.Part{ID: id}, quarantine.Part{ID: quarantine.MidwayID(id), Scope: quarantine.Midway})
	}
	if t.LastPart != "" {
		parts = append(parts, quarantine.Part{ID: t.LastPart, Scope: quarantine.Session})
	}
	return append(parts, quarantine.Part{ID: requestPartPrefix + t.digest, Scope: quarantine.Whole})
}

// acquire decides whether a request may be sent to a server now.
func (p *promptGuard) acquire(t *task, now time.Duration) quarantine.Decision {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.tracker.Acquire(&t.permit, t.parts, now)
}

// release returns what a request tries.
func (p *promptGuard) release(t *task) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tracker.Release(&t.permit)
}

// await waits until a request may be sent, for maxWait at most. A part that may end servers is tried with
// one request at a time; most are proven sound by the first.
func (p *promptGuard) await(ctx context.Context, t *task, maxWait time.Duration) *result.Error {
	began := clock.Now()
	isWaiting := false
	defer func() {
		if isWaiting {
			p.addWaiting(-1)
		}
	}()
	for {
		now := clock.Now()
		d := p.acquire(t, now)
		if d.Action == quarantine.Send {
			return nil
		}
		// Another entry may prove a suspect part sound at any moment, long before it may be tried here.
		if d.Action == quarantine.Refuse || now-began >= maxWait {
			return refusedPrompt(d)
		}
		if !isWaiting {
			if isWaiting = p.addWaiting(1); !isWaiting {
				return refusedPrompt(d)
			}
		}
		select {
		case <-ctx.Done():
			return refusedPrompt(d)
		case <-time.After(clearanceInterval):
		}
	}
}

// addWaiting changes the number of waiting requests by n, and returns false if there would be too many.
func (p *promptGuard) addWaiting(n int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.waiting+n > maxClearanceWaits {
		return false
	}
	p.waiting += n
	return true
}

// refusedPrompt returns the refusal of a request because of a part of its prompt.
func refusedPrompt(d quarantine.Decision) *result.Error {
	err := result.New(api.ResultCode_PROMPT_QUARANTINED)
	err.NotBefore = d.Left
	return err
}

// recordSound records that a request's answer has got past its beginning, or is whole.
func (p *promptGuard) recordSound(t *task, isWhole bool, now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tracker.RecordSound(t.service, t.parts, isWhole, now)
}

// recordEnd records that a server has ended while it had a request. hasBegun means that the answer had got
// past its beginning.
func (p *promptGuard) recordEnd(t *task, server quarantine.ServerStart, hasBegun bool, now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tracker.RecordEnd(server, t.service, t.parts, hasBegun, now)
	p.hasNewEnd = true
}

// recordOpen records that the group of a service's servers is open again.
func (p *promptGuard) recordOpen(service string, now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tracker.RecordOpen(service, now)
}

// hasRecentEnd reports whether a server has ended lately.
func (p *promptGuard) hasRecentEnd(now time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.tracker.HasRecentEnd(now)
}

// hear records what another entry tells of ends, proofs and quarantines.
func (p *promptGuard) hear(b *api.PeerBeat, now time.Duration) {
	if len(b.GetEnds())+len(b.GetProofs())+len(b.GetQuarantines()) == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, proof := range b.GetProofs() {
		p.tracker.HearSound(proof.GetPart(), millis(proof.GetAgeMs()), now)
	}
	for _, e := range b.GetEnds() {
		p.tracker.HearEnd(endOf(e), now)
	}
	for _, q := range b.GetQuarantines() {
		p.tracker.HearQuarantine(quarantine.Quarantine{
			Part: q.GetPart(), Age: millis(q.GetAgeMs()), Left: time.Duration(q.GetLeftMs()) * time.Millisecond, Strikes: int(q.GetStrikes()),
			Source: quarantine.Reported,
		}, now)
	}
}

// endReport returns the end of a server as a heartbeat tells it.
func endReport(e quarantine.End) *api.ServerEnd {
	r := &api.ServerEnd{
		Server: e.Server.Hash, StartedAtUnixMs: e.Server.StartedAtUnixMs, Service: e.Service, AllBegun: e.AllBegun,
		AgeMs: uint32(e.Age.Milliseconds()),
	}
	for _, p := range e.Parts {
		switch p.Scope {
		case quarantine.Shared:
			r.Parts = append(r.Parts, p.ID)
		case quarantine.Midway:
			r.MidwayParts = append(r.MidwayParts, p.ID)
		case quarantine.Session:
			r.SessionParts = append(r.SessionParts, p.ID)
		case quarantine.Whole:
			r.Requests = append(r.Requests, p.ID)
		}
	}
	return r
}

// endOf returns the end of a server that a heartbeat tells of.
func endOf(r *api.ServerEnd) quarantine.End {
	e := quarantine.End{
		Server:  quarantine.ServerStart{Hash: r.GetServer(), StartedAtUnixMs: r.GetStartedAtUnixMs()},
		Service: r.GetService(), AllBegun: r.GetAllBegun(), Age: millis(r.GetAgeMs()),
	}
	for scope, ids := range [][]string{
		quarantine.Shared: r.GetParts(), quarantine.Midway: r.GetMidwayParts(), quarantine.Session: r.GetSessionParts(), quarantine.Whole: r.GetRequests(),
	} {
		for _, id := range ids {
			e.Parts = append(e.Parts, quarantine.Part{ID: id, Scope: quarantine.Scope(scope)})
		}
	}
	return e
}

func millis(n uint32) time.Duration { return time.Duration(n) * time.Millisecond }

// report adds what to tell other entries to a heartbeat.
func (p *promptGuard) report(b *api.PeerBeat, now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.tracker.Ends(maxEndReports, now) {
		b.Ends = append(b.Ends, endReport(e))
	}
	for _, proof := range p.tracker.Proofs(maxProofReports, now) {
		b.Proofs = append(b.Proofs, &api.PartProof{Part: proof.Part, AgeMs: uint32(proof.Age.Milliseconds())})
	}
	for _, q := range p.tracker.Quarantines(maxQuarantineReports, now) {
		b.Quarantines = append(b.Quarantines, &api.PartQuarantine{
			Part: q.Part, AgeMs: uint32(q.Age.Milliseconds()), LeftMs: q.Left.Milliseconds(), Strikes: uint32(q.Strikes),
		})
	}
}

// tick weighs what is known. It returns what has changed, and whether a server has ended since the last
// tick.
func (p *promptGuard) tick(entries []string, now time.Duration) (changes quarantine.Changes, hasNewEnd bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	hasNewEnd, p.hasNewEnd = p.hasNewEnd, false
	p.tracker.SetEntries(entries)
	return p.tracker.Tick(now), hasNewEnd
}

// updateQuarantines weighs what is known of the parts of prompts, and logs and stores what has changed.
func (c *control) updateQuarantines(entries []string, now time.Duration) {
	changes, hasNewEnd := c.g.prompts.tick(entries, now)
	c.heartbeatDue = c.heartbeatDue || hasNewEnd || len(changes.Begun) > 0 || len(changes.Ended) > 0
	for _, q := range changes.Begun {
		c.g.metrics.quarantined.Inc(1)
		_ = level.Warn(c.logger).Log("msg", "A part of requests ends backend servers, and requests with it are refused.", "prompt_part", q.Part,
			"for_ms", q.Left.Milliseconds(), "times", q.Strikes, "servers_ended", q.Ends, "source", q.Source,
			"result", result.Label(api.ResultCode_PROMPT_QUARANTINED))
		if q.Source != quarantine.Stored {
			c.g.storeQuarantine(q, entries)
		}
	}
	for _, part := range changes.Ended {
		_ = level.Info(c.logger).Log("msg", "A part of requests that had ended backend servers is sound.", "prompt_part", part)
		c.g.removeStored(part)
	}
}
