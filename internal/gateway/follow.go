package gateway

import (
	"context"
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
	// answerTime is how long the store may take for one call, beyond the time for which it
	// is asked to wait: far more than its few milliseconds, and with the wait well below the
	// time within which a configuration must be in force, so that a connection gone silent
	// is noticed in time.
	answerTime = 600 * time.Millisecond
	// operatorsWait is how long the store is asked to wait for a record of operators.
	operatorsWait = 1200 * time.Millisecond
	// serversEach is the time between two reads of the registrations, which change all the
	// time: a read that waits would end with each heartbeat of any server. A leaving server
	// must be known within the drain bound, 2 s at the shortest.
	serversEach = 700 * time.Millisecond
	// retryFirst and retryMost bound the time between calls while the store does not answer;
	// it is short, since registrations and configuration wait to be read when it is back.
	// Where there are many entries those that others read for take longer.
	retryFirst = 100 * time.Millisecond
	retryMost  = 400 * time.Millisecond
	// idleEach is the time between two reads of an entry that others read for: it heals what
	// those may have missed, and costs a tenth of a call a second.
	idleEach = 10 * time.Second
	// idleLook is how often such an entry looks whether it has to read itself.
	idleLook = 50 * time.Millisecond
)

// news is what a follower has read of one topic.
type news struct {
	topic string
	// listing is set in place of records when all keys were read anew.
	listing *platform.Listing
	records []keyed.Record
	// err says that the store did not answer; the rest is empty then.
	err error
	at  time.Duration
}

// reader is what a follower needs of the store.
type reader interface {
	Read(ctx context.Context, topic string, from int64, wait time.Duration) ([]keyed.Record, error)
	Newest(ctx context.Context, topic string) (platform.Listing, error)
}

// follower reads one topic and sends what it reads to the control goroutine.
type follower struct {
	topic string
	store reader
	// wait is how long each read waits for a record, each the time between two reads.
	wait, each time.Duration
	// needed says whether this entry is to read the topic now. Without need it reads once in
	// idleEach.
	needed func() bool
	// most returns the longest time between two calls while the store does not answer.
	most   func() time.Duration
	logger log.Logger
	out    chan<- news
}

// run follows the topic until the context ends.
func (f *follower) run(ctx context.Context) error {
	next := int64(-1)
	pause := retryFirst
	away := time.Duration(0)
	for {
		n, err := f.read(ctx, &next)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		n.err = err
		wait := f.each
		if err != nil {
			if away == 0 {
				away = n.at
				_ = level.Warn(f.logger).Log("msg", "The store does not answer.", "topic", f.topic,
					"result", result.Label(api.ResultCode_LOG_UNAVAILABLE), "err", err)
			}
			wait = pause
			pause = min(2*pause, f.most())
		} else {
			if away != 0 {
				_ = level.Info(f.logger).Log("msg", "The store answers again.", "topic", f.topic, "away_ms", (n.at - away).Milliseconds())
			}
			away = 0
			pause = retryFirst
		}
		select {
		case f.out <- n:
		case <-ctx.Done():
			return ctx.Err()
		}
		if err := f.rest(ctx, wait); err != nil {
			return err
		}
	}
}

// rest waits until the next read is due.
func (f *follower) rest(ctx context.Context, wait time.Duration) error {
	began := clock.Now()
	for {
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return ctx.Err()
		}
		if f.needed() || clock.Now()-began >= idleEach {
			return nil
		}
		wait = idleLook
	}
}

// read reads once: all keys at the start and when the log no longer keeps the next offset,
// or else what is new.
func (f *follower) read(ctx context.Context, next *int64) (news, error) {
	n := news{topic: f.topic}
	callCtx, cancel := context.WithTimeout(ctx, f.wait+answerTime)
	defer cancel()
	if *next < 0 {
		listing, err := f.store.Newest(callCtx, f.topic)
		n.at = clock.Now()
		if err != nil {
			return n, err
		}
		n.listing = &listing
		*next = listing.End
		return n, nil
	}
	records, err := f.store.Read(callCtx, f.topic, *next, f.wait)
	n.at = clock.Now()
	if err != nil {
		var expired *platform.ExpiredError
		if errors.As(err, &expired) {
			_ = level.Info(f.logger).Log("msg", "The log has dropped records; all keys are read anew.",
				"topic", f.topic, "from", *next, "first", expired.First)
			*next = -1
			return f.read(ctx, next)
		}
		return n, err
	}
	n.records = records
	if len(records) > 0 {
		*next = records[len(records)-1].Offset + 1
	}
	return n, nil
}
