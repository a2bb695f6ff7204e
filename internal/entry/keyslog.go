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

// maxRecordsPerRead limits the records of one read of the stream, to about 3 MB.
const maxRecordsPerRead = 64

// minReadInterval is the minimum time between two reads while requests wait. Without it, a platform
// that answers reads at once would be polled in a tight loop.
const minReadInterval = 2 * time.Millisecond

// idlePollFactor is the ratio of the read interval of an idle stream to the poll interval of the
// log. A retry whose binding has not been read yet costs one more append, and then finds it.
const idlePollFactor = 4

// errStreamShrank is returned when the stream ends before the last record that was read.
var errStreamShrank = errors.New("the stream of keys ends before the last offset that was read")

// readLoop reads the stream until the context ends.
func (k *keyBinder) readLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		began := clock.Now()
		err := k.read(ctx)
		if err != nil {
			k.handleReadFailure(ctx, err)
			sleep(ctx, k.logPollInterval)
			continue
		}
		k.waitBeforeRead(ctx, began)
	}
	return ctx.Err()
}

// read reads the stream once.
func (k *keyBinder) read(ctx context.Context) error {
	k.mu.Lock()
	from := k.fold.Next()
	k.mu.Unlock()
	batch, err := k.stream.Read(ctx, from, maxRecordsPerRead, k.logPollInterval)
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
	return k.apply(batch)
}

// apply applies a batch of records.
func (k *keyBinder) apply(batch *platform.Batch) error {
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
			k.releaseWaiters(key)
		}
		k.lastRecord = now
	}
	k.ages.Observe(now, k.fold.Next()-1)
	k.refusedForSpace = k.refusedForSpace && k.fold.Released() == released
	k.counts.held.Update(int64(k.fold.Held()))
	borrowed, _ := k.fold.Quotas().Borrowed()
	k.counts.lent.Update(int64(borrowed))
	return nil
}

// restart continues at the oldest record kept after records were lost. The lost records may hold
// bindings of waiting requests, whose outcome is then unknown.
func (k *keyBinder) restart(first int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	_ = k.logger.Log("msg", "Records of keys expired before they were read. No keys are bound until the remaining records cover the retention time.", "result", result.Label(api.ResultCode_KEYS_UNPROVEN), "first", first)
	k.fold.Restart(first)
	k.batcher.Clear()
	for key := range k.waiting {
		k.releaseWaiters(key)
	}
}

func (k *keyBinder) handleReadFailure(ctx context.Context, err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.readFailing && ctx.Err() == nil {
		_ = k.logger.Log("msg", "The stream of keys cannot be read.", "result", result.Label(api.ResultCode_LOG_UNAVAILABLE), "err", err)
	}
	k.readFailing = true
	waits := maps.Clone(k.waiting)
	time.AfterFunc(appendGrace, func() { k.abandonWaits(waits) })
}

// waitBeforeRead waits until the next read, for longer if no request waits for a key.
//
// With hundreds of entries following the stream, each append by one would otherwise be fetched at
// once by all others, which do not need it yet, and each entry would poll an unused stream twice a
// second.
func (k *keyBinder) waitBeforeRead(ctx context.Context, began time.Duration) {
	k.mu.Lock()
	idle := len(k.waiting) == 0
	k.mu.Unlock()
	if !idle {
		sleep(ctx, minReadInterval-(clock.Now()-began))
		return
	}
	timer := time.NewTimer(idlePollFactor*k.logPollInterval - (clock.Now() - began))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-k.wakeReader:
	case <-ctx.Done():
	}
}

// appendLoop appends queued bindings until the context ends.
func (k *keyBinder) appendLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		record, wait := k.nextRecord()
		if record == nil {
			k.waitForWork(ctx, wait)
			continue
		}
		_, err := k.stream.Append(ctx, record)
		k.handleAppended(err)
	}
	return ctx.Err()
}

// waitForWork waits until there is something to append, or for the given time.
func (k *keyBinder) waitForWork(ctx context.Context, wait time.Duration) {
	if wait == 0 {
		wait = k.logPollInterval
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-k.wakeAppender:
	case <-ctx.Done():
	}
}

// nextRecord starts an append and returns its record, or how long to wait if none is due.
func (k *keyBinder) nextRecord() ([]byte, time.Duration) {
	interval := k.appendInterval()
	k.mu.Lock()
	defer k.mu.Unlock()
	now := clock.Now()
	batch, wait, ok := k.batcher.BeginAppend(now, interval, k.keepaliveDue())
	if !ok {
		return nil, wait
	}
	record, err := keybind.EncodeRecord(batch, k.fold.Next(), k.ages.ExpiredThrough(now), time.Now().UnixMilli())
	if err != nil {
		// The record cannot be encoded, which is a programming error. Its bindings are lost.
		_ = k.logger.Log("msg", "A record of keys could not be encoded. Its keys are lost.", "result", result.Label(api.ResultCode_INTERNAL), "err", err)
		k.batcher.EndAppend()
		return nil, 0
	}
	k.counts.appends.Inc(1)
	return record, 0
}

// keepaliveDue says whether the stream has been quiet for so long that a record without bindings is
// due; the lock is held. Without such records all records of a quiet stream would expire, and a new
// entry could not tell that no binding is still valid. The jitter makes entries differ, and the
// record of the first one resets the time of the others.
//
// After a key was refused for lack of space, a record is due as soon as it can release bindings:
// the callers were told to come back then, and nobody else may append for minutes.
func (k *keyBinder) keepaliveDue() bool {
	if k.fold.Next() == 0 || k.readFailing {
		return false
	}
	if k.refusedForSpace && k.ages.ExpiredThrough(clock.Now()) > k.fold.Released() {
		return true
	}
	return clock.Now()-k.lastRecord > k.retention/4+k.keepaliveJitter
}

// keepaliveJitterOf returns a VM's fixed fraction of an eighth of the retention.
func keepaliveJitterOf(vm string, retention time.Duration) time.Duration {
	h := fnv.New32a()
	_, _ = h.Write([]byte(vm))
	return time.Duration(h.Sum32()%1024) * (retention / 8) / 1024
}

// handleAppended handles the result of an append. After a failure, waiting requests get appendGrace
// more, because the record may have been stored.
func (k *keyBinder) handleAppended(err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	unconfirmed := k.batcher.EndAppend()
	if err == nil {
		k.appendFailedAt = 0
		return
	}
	k.counts.failed.Inc(1)
	if k.appendFailedAt == 0 {
		_ = k.logger.Log("msg", "A record of keys could not be appended.", "result", result.Label(api.ResultCode_LOG_UNAVAILABLE), "err", err)
	}
	k.appendFailedAt = clock.Now()
	waits := make(map[keybind.Key]*keyWait)
	for _, key := range unconfirmed {
		if wait := k.waiting[key]; wait != nil {
			waits[key] = wait
		}
	}
	time.AfterFunc(appendGrace, func() { k.abandonWaits(waits) })
}

// abandonWaits ends waits whose append has failed.
func (k *keyBinder) abandonWaits(waits map[keybind.Key]*keyWait) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for key, wait := range waits {
		if k.waiting[key] == wait && !k.batcher.IsPending(key) {
			k.releaseWaiters(key)
		}
	}
}
