package entry

import (
	"context"
	"hash/fnv"
	"maps"
	"time"

	"github.com/go-faster/errors"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/coord/keybind"
	"github.com/apricothub/apricothub/internal/clock"
	"github.com/apricothub/apricothub/internal/platform"
	"github.com/apricothub/apricothub/internal/result"
)

// keyReadLimit is how many records one read of the stream asks for: some 3 MB at most.
const keyReadLimit = 64

// keyReadStep is the least time between two reads while somebody waits: a platform that
// does not hold its answers back would be asked without a pause.
const keyReadStep = 2 * time.Millisecond

// keyIdlePolls is how many times the time between looks at the log goes into that between
// looks at the stream when nobody waits. A retry whose binding was not read yet costs an
// append more, and finds it.
const keyIdlePolls = 4

// errStreamShrank says that the stream ends before what was read of it.
var errStreamShrank = errors.New("the stream of keys ends before what was read of it")

// follow reads the stream until the context ends.
func (k *keys) follow(ctx context.Context) error {
	for ctx.Err() == nil {
		began := clock.Now()
		err := k.read(ctx)
		if err != nil {
			k.readFailed(ctx, err)
			pause(ctx, k.poll)
			continue
		}
		k.pace(ctx, began)
	}
	return ctx.Err()
}

// read makes one read.
func (k *keys) read(ctx context.Context) error {
	k.mu.Lock()
	from := k.fold.Next()
	k.mu.Unlock()
	batch, err := k.log.Read(ctx, from, keyReadLimit, k.poll)
	var expired *platform.ExpiredError
	switch {
	case errors.As(err, &expired):
		k.restart(expired.Oldest)
		return nil
	case err != nil:
		return err
	case batch.NextOffset < from:
		return errStreamShrank
	}
	return k.take(batch)
}

// take applies what was read.
func (k *keys) take(batch *platform.Batch) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.readFailing = false
	now := clock.Now()
	released := k.fold.Released()
	for _, record := range batch.Records {
		bound, err := k.fold.Apply(record.Offset, record.Data)
		if err != nil {
			return err
		}
		for _, key := range bound {
			k.batcher.Drop(key)
			k.settle(key)
		}
		k.quiet = now
	}
	k.ages.Observe(now, k.fold.Next()-1)
	k.cramped = k.cramped && k.fold.Released() == released
	k.counts.held.Update(int64(k.fold.Held()))
	lent, _ := k.fold.Quotas().Borrowed()
	k.counts.lent.Update(int64(lent))
	return nil
}

// restart begins anew at the oldest record kept, after records were lost. Bindings of
// requests that wait may stand among them: what becomes of these is not known.
func (k *keys) restart(first int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	_ = k.logger.Log("msg", "Records of keys have expired before they were read. No key is bound until what is left is old enough.", "result", result.Label(api.ResultCode_KEYS_UNPROVEN), "first", first)
	k.fold.Restart(first)
	k.batcher.Clear()
	for key := range k.waiting {
		k.settle(key)
	}
}

func (k *keys) readFailed(ctx context.Context, err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.readFailing && ctx.Err() == nil {
		_ = k.logger.Log("msg", "The stream of keys does not answer.", "result", result.Label(api.ResultCode_LOG_UNAVAILABLE), "err", err)
	}
	k.readFailing = true
	waits := maps.Clone(k.waiting)
	time.AfterFunc(keyGrace, func() { k.giveUp(waits) })
}

// pace waits before the next read when nobody waits for a key.
//
// Load: hundreds of entries that follow the stream. Harm prevented: each append by one
// would be fetched by each other one by itself, at once, for nobody; and a stream that
// nobody uses would be asked twice a second by each.
func (k *keys) pace(ctx context.Context, began time.Duration) {
	k.mu.Lock()
	idle := len(k.waiting) == 0
	k.mu.Unlock()
	if !idle {
		pause(ctx, keyReadStep-(clock.Now()-began))
		return
	}
	timer := time.NewTimer(keyIdlePolls*k.poll - (clock.Now() - began))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-k.wanted:
	case <-ctx.Done():
	}
}

// append appends what waits until the context ends.
func (k *keys) append(ctx context.Context) error {
	for ctx.Err() == nil {
		record, wait := k.next()
		if record == nil {
			k.rest(ctx, wait)
			continue
		}
		_, err := k.log.Append(ctx, record)
		k.appended(err)
	}
	return ctx.Err()
}

// rest waits for something to append, a while at most.
func (k *keys) rest(ctx context.Context, wait time.Duration) {
	if wait == 0 {
		wait = k.poll
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-k.asked:
	case <-ctx.Done():
	}
}

// next begins an append and returns its record; with none, how long to wait.
func (k *keys) next() ([]byte, time.Duration) {
	interval := k.interval()
	k.mu.Lock()
	defer k.mu.Unlock()
	now := clock.Now()
	batch, wait, ok := k.batcher.BeginAppend(now, interval, k.beatDue())
	if !ok {
		return nil, wait
	}
	record, err := keybind.EncodeRecord(batch, k.fold.Next(), k.ages.ExpiredThrough(now), time.Now().UnixMilli())
	if err != nil {
		// A message of our own that cannot be written is a fault; its keys are lost.
		_ = k.logger.Log("msg", "A record of keys cannot be written.", "result", result.Label(api.ResultCode_INTERNAL), "err", err)
		k.batcher.EndAppend()
		return nil, 0
	}
	k.counts.appends.Inc(1)
	return record, 0
}

// beatDue says that the stream has been quiet for so long that a record of no binding
// is due; the lock is held. Without such records a quiet stream would expire whole, and
// a new entry could not tell that no binding lives. Entries come at different times, and
// the first one's record keeps the others from theirs.
//
// While callers are refused for want of room one is due as soon as it lets something go:
// they were told to come back then, and nobody else may bind a key for minutes.
func (k *keys) beatDue() bool {
	if k.fold.Next() == 0 || k.readFailing {
		return false
	}
	if k.cramped && k.ages.ExpiredThrough(clock.Now()) > k.fold.Released() {
		return true
	}
	return clock.Now()-k.quiet > k.hold/4+k.spread
}

// spreadOf returns a VM's own part of an eighth of the time that bindings are held.
func spreadOf(vm string, hold time.Duration) time.Duration {
	h := fnv.New32a()
	_, _ = h.Write([]byte(vm))
	return time.Duration(h.Sum32()%1024) * (hold / 8) / 1024
}

// appended takes the end of an append. After a failure those who wait get a moment more:
// the record may stand, and be read yet.
func (k *keys) appended(err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	under := k.batcher.EndAppend()
	if err == nil {
		k.appendFailed = 0
		return
	}
	k.counts.failed.Inc(1)
	if k.appendFailed == 0 {
		_ = k.logger.Log("msg", "Keys cannot be bound.", "result", result.Label(api.ResultCode_LOG_UNAVAILABLE), "err", err)
	}
	k.appendFailed = clock.Now()
	waits := make(map[keybind.Key]*keyWait)
	for _, key := range under {
		if wait := k.waiting[key]; wait != nil {
			waits[key] = wait
		}
	}
	time.AfterFunc(keyGrace, func() { k.giveUp(waits) })
}

// giveUp ends waits whose append has failed.
func (k *keys) giveUp(waits map[keybind.Key]*keyWait) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for key, wait := range waits {
		if k.waiting[key] == wait && !k.batcher.IsPending(key) {
			k.settle(key)
		}
	}
}
