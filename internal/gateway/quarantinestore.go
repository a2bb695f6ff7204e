package gateway

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-kit/log/level"
	"google.golang.org/protobuf/proto"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/decide/quarantine"
	"github.com/apricothub/apricothub/decide/subset"
	"github.com/apricothub/apricothub/internal/clock"
	"github.com/apricothub/apricothub/internal/result"
)

const (
	// topicQuarantines holds the parts of prompts in quarantine, keyed by part.
	topicQuarantines = "keyed.quarantine"
	// quarantineWriters is the number of entries that store a quarantine: all find it at about the same
	// time, and one of them may have no path to the store.
	quarantineWriters = 2
	// storedFor is how long after its end a quarantine stays in the store, for the next one to be longer.
	storedFor = time.Hour
	// maxPendingQuarantines is the number of records that may wait to be stored.
	maxPendingQuarantines = 64
	// maxStoreAttempts limits the attempts to store one record.
	maxStoreAttempts = 8
)

// quarantineRecord is a record to store; without a value, the key is dropped.
type quarantineRecord struct {
	part  string
	value []byte
}

// storeQuarantine has a quarantine stored, if this entry is one of its writers.
func (g *Gateway) storeQuarantine(q quarantine.Quarantine, entries []string) {
	if !subset.IsChosen(subset.Key(q.Part), g.settings.IP, entries, quarantineWriters) {
		return
	}
	now := time.Now()
	value, err := proto.Marshal(&api.StoredQuarantine{
		BegunAtUnixMs: now.Add(-q.Age).UnixMilli(), UntilUnixMs: now.Add(q.Left).UnixMilli(), Strikes: uint32(q.Strikes),
	})
	if err != nil {
		_ = level.Error(g.logger).Log("msg", "A quarantine cannot be encoded and is not stored.", "prompt_part", q.Part, "err", err,
			"result", result.Label(api.ResultCode_INTERNAL))
		return
	}
	g.queueQuarantine(quarantineRecord{q.Part, value})
}

// removeStored has a quarantine removed from the store.
func (g *Gateway) removeStored(part string) { g.queueQuarantine(quarantineRecord{part: part}) }

func (g *Gateway) queueQuarantine(r quarantineRecord) {
	select {
	case g.quarantineRecords <- r:
	default:
		_ = level.Warn(g.logger).Log("msg", "Too many quarantines wait to be stored; one is left out.", "prompt_part", r.part,
			"result", result.Label(api.ResultCode_LOG_UNAVAILABLE))
	}
}

// maintainQuarantines reads the stored quarantines once, unless the heartbeats of other entries tell of
// them, and stores new ones.
func (g *Gateway) maintainQuarantines(ctx context.Context) error {
	select {
	case <-g.toldByPeers:
	case <-g.askStore:
		if err := g.untilStored(ctx, 0, "The quarantines could not be read from the store.", g.readQuarantines); err != nil {
			return err
		}
	case <-ctx.Done():
		return ctx.Err()
	}
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case r := <-g.quarantineRecords:
			put := func(ctx context.Context) error {
				_, err := g.store.Put(ctx, topicQuarantines, r.part, r.value)
				return err
			}
			if err := g.untilStored(ctx, maxStoreAttempts, "A quarantine could not be stored.", put); err != nil {
				return err
			}
		}
	}
}

// untilStored repeats a call of the store until it succeeds, at most the given number of times; 0 for no
// limit. It returns an error only when ctx ends.
func (g *Gateway) untilStored(ctx context.Context, attempts int, failure string, call func(context.Context) error) error {
	for n := 1; ; n++ {
		callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
		err := call(callCtx)
		cancel()
		if err == nil || n == attempts {
			return nil
		}
		_ = level.Warn(g.logger).Log("msg", failure, "err", err, "result", result.Label(api.ResultCode_LOG_UNAVAILABLE))
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(g.maxStoreBackoff()):
		}
	}
}

// readQuarantines reads the stored quarantines.
func (g *Gateway) readQuarantines(ctx context.Context) error {
	listing, err := g.store.ListNewest(ctx, topicQuarantines)
	if err != nil {
		return errors.Wrap(err, "list quarantines")
	}
	now := time.Now()
	for _, r := range listing.Records {
		stored := &api.StoredQuarantine{}
		if err := proto.Unmarshal(r.Value, stored); err != nil {
			_ = level.Warn(g.logger).Log("msg", "A stored quarantine cannot be decoded and is ignored.", "prompt_part", r.Key, "err", err,
				"result", result.Label(api.ResultCode_BAD_LIST))
			continue
		}
		if until := time.UnixMilli(stored.GetUntilUnixMs()); now.Sub(until) > storedFor {
			g.removeStored(r.Key)
			continue
		}
		g.prompts.hearStored(r.Key, stored, now.UnixMilli(), clock.Now())
	}
	return nil
}

// hearStored records a quarantine from the store. The time of day may differ between VMs by seconds, which
// is little beside the length of a quarantine.
func (p *promptGuard) hearStored(part string, stored *api.StoredQuarantine, unixMs int64, now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tracker.HearQuarantine(quarantine.Quarantine{
		Part: part, Age: time.Duration(unixMs-stored.GetBegunAtUnixMs()) * time.Millisecond,
		Left: time.Duration(stored.GetUntilUnixMs()-unixMs) * time.Millisecond, Strikes: int(stored.GetStrikes()),
		Source: quarantine.Stored,
	}, now)
}
