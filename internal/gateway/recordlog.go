package gateway

import (
	"sync"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/internal/result"
	"github.com/apricothub/apricothub/platform"
)

// recordLog logs the records of the store that cannot be decoded, each of them once: a record may stand in the store for
// good, and is read several times a second. It is safe for concurrent use.
type recordLog struct {
	logger log.Logger

	mu sync.Mutex
	// logged are the offsets of the last records that were logged, by topic.
	logged map[string]int64
}

func newRecordLog(logger log.Logger) *recordLog {
	return &recordLog{logger: logger, logged: make(map[string]int64)}
}

// report logs a record unless it, or a later one of its topic, was logged before.
func (l *recordLog) report(e *platform.RecordError) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if last, ok := l.logged[e.Topic]; ok && e.Offset <= last {
		return
	}
	l.logged[e.Topic] = e.Offset
	_ = level.Warn(l.logger).Log("msg", "A record of the store could not be decoded and is ignored.", "topic", e.Topic, "offset", e.Offset,
		"result", result.Label(api.ResultCode_BAD_LIST), "err", e.Err)
}
