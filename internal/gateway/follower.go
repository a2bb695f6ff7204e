package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/coord/keyed"
	"github.com/apricothub/apricothub/internal/clock"
	"github.com/apricothub/apricothub/internal/result"
	"github.com/apricothub/apricothub/platform"
)

const (
	// storeTimeout is how long the store may take for one call, beyond the time of a long poll. It
	// is far more than the few milliseconds of a call, and with the long poll well below the time
	// within which a configuration must be in force, so that a silent connection is noticed in
	// time.
	storeTimeout = 600 * time.Millisecond
	// minRetryInterval and maxRetryInterval limit the time between calls while the store does not
	// answer. It is short, since registrations and configuration must be read as soon as the store
	// is back. With many entries, those that others read for wait longer.
	minRetryInterval = 100 * time.Millisecond
	maxRetryInterval = 400 * time.Millisecond
	// idleInterval is the least time between two reads of an entry that others read for. These reads
	// repair what the others may have missed.
	idleInterval = 10 * time.Second
	// repairReadsPerSecond limits the reads per second and topic of all entries together that only
	// repair. Otherwise they would grow with the number of entries, up to most of all calls.
	repairReadsPerSecond = 0.2
	// idleCheckInterval is how often such an entry checks whether it has to read the store itself.
	idleCheckInterval = 50 * time.Millisecond
)

// topicUpdate is what a follower has read of one topic.
type topicUpdate struct {
	topic string
	// listing is set instead of records when all keys were read.
	listing *platform.Listing
	records []keyed.Record
	// err means that the store did not answer; listing and records are empty then.
	err error
	at  time.Duration
}

// storeReader is the part of the store that a follower uses.
type storeReader interface {
	Read(ctx context.Context, topic string, from int64, wait time.Duration) (platform.Log, error)
	ListNewest(ctx context.Context, topic string) (platform.Listing, error)
}

// follower reads one topic and sends what it reads to the control goroutine.
type follower struct {
	topic string
	store storeReader
	// wait is the long poll of each read, interval the time between two reads.
	wait, interval time.Duration
	// isNeeded reports whether this entry is to read the topic now. Otherwise it reads once in the
	// interval that repairInterval returns.
	isNeeded       func() bool
	repairInterval func() time.Duration
	// minBackoff and maxBackoff return the limits of the time between two calls while the store does not
	// answer. An entry that begins to read because nobody else has a fresh answer first waits for a part
	// of the former.
	minBackoff, maxBackoff func() time.Duration
	logger                 log.Logger
	updates                chan<- topicUpdate
}

// run follows the topic until the context ends.
func (f *follower) run(ctx context.Context) error {
	next := int64(-1)
	backoff := minRetryInterval
	if err := f.waitForNext(ctx, 0); err != nil {
		return err
	}
	failingSince := time.Duration(0)
	for {
		u, err := f.read(ctx, &next)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		u.err = err
		wait := f.interval
		if err != nil {
			if failingSince == 0 {
				failingSince = u.at
				_ = level.Warn(f.logger).Log("msg", "The store does not answer.", "topic", f.topic,
					"result", result.Label(api.ResultCode_LOG_UNAVAILABLE), "err", err)
			}
			wait = max(backoff, f.minBackoff())
			backoff = min(2*backoff, f.maxBackoff())
		} else {
			if failingSince != 0 {
				_ = level.Info(f.logger).Log("msg", "The store answers again.", "topic", f.topic, "away_ms", (u.at - failingSince).Milliseconds())
			}
			failingSince = 0
			backoff = minRetryInterval
		}
		select {
		case f.updates <- u:
		case <-ctx.Done():
			return ctx.Err()
		}
		if err := f.waitForNext(ctx, wait); err != nil {
			return err
		}
	}
}

// waitForNext waits until the next read is due: after the given time if this entry is to read, or else once
// it is or the read repairs.
func (f *follower) waitForNext(ctx context.Context, wait time.Duration) error {
	began := clock.Now()
	if err := sleep(ctx, wait); err != nil || f.isNeeded() {
		return err
	}
	for clock.Now()-began < f.repairInterval() {
		if err := sleep(ctx, idleCheckInterval); err != nil {
			return err
		}
		if !f.isNeeded() {
			continue
		}
		// All others may begin at the same time.
		if err := sleep(ctx, time.Duration(rand.Float64()*float64(f.minBackoff()))); err != nil || f.isNeeded() {
			return err
		}
	}
	return nil
}

// sleep waits for a time, or returns an error when ctx ends.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// read reads once: all keys at the start and when the log has truncated the next offset, or else
// the new records.
func (f *follower) read(ctx context.Context, next *int64) (topicUpdate, error) {
	u := topicUpdate{topic: f.topic}
	callCtx, cancel := context.WithTimeout(ctx, f.wait+storeTimeout)
	defer cancel()
	if *next < 0 {
		listing, err := f.store.ListNewest(callCtx, f.topic)
		u.at = clock.Now()
		if err != nil {
			return u, err
		}
		u.listing = &listing
		*next = listing.End
		return u, nil
	}
	part, err := f.store.Read(callCtx, f.topic, *next, f.wait)
	u.at = clock.Now()
	if errors.Is(err, platform.ErrLogUnreadable) {
		// The same bytes would be read again and again; the newest records of all keys do without them.
		*next = -1
	}
	if err != nil {
		var expired *platform.ExpiredError
		if errors.As(err, &expired) {
			_ = level.Info(f.logger).Log("msg", "The log has truncated records; all keys are read again.",
				"topic", f.topic, "from", *next, "first", expired.FirstOffset)
			*next = -1
			return f.read(ctx, next)
		}
		return u, err
	}
	u.records, *next = part.Records, part.Next
	return u, nil
}
