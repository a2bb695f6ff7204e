// Package logging makes the logger of a process: logfmt lines with a fixed prefix
// for each part, a level that may change while it runs, and a bound on the rate.
package logging

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/apricothub/apricothub/internal/ratelimit"
)

// Level is the least level that is logged; it may be set at any time.
type Level struct {
	least atomic.Int32
}

// ranks orders the names of the levels.
var ranks = map[string]int32{"debug": 0, "info": 1, "warn": 2, "error": 3}

// Set changes the level; name is debug, info, warn or error.
func (l *Level) Set(name string) error {
	rank, ok := ranks[name]
	if !ok {
		return errors.Errorf("%q is not a level: debug, info, warn or error", name)
	}
	l.least.Store(rank)
	return nil
}

// New makes the logger of a process that writes to w, with the level's name and
// the means to change it.
func New(w io.Writer, levelName string) (log.Logger, *Level, error) {
	least := &Level{}
	if err := least.Set(levelName); err != nil {
		return nil, nil, err
	}
	sink := log.NewLogfmtLogger(log.NewSyncWriter(w))
	filtered := &filter{next: sink, least: least}
	return log.With(filtered, "ts", log.DefaultTimestampUTC), least, nil
}

// partKey is the key of the fixed prefix.
const partKey = "part"

// Part returns the logger of one part; its lines begin with part=name.
func Part(logger log.Logger, name string) log.Logger {
	return log.With(logger, partKey, name)
}

// filter drops lines below the level, and puts the prefix of the part first: the
// level's own functions put theirs before everything.
type filter struct {
	next  log.Logger
	least *Level
}

func (f *filter) Log(keyvals ...any) error {
	if rankOf(keyvals) < f.least.least.Load() {
		return nil
	}
	return f.next.Log(partFirst(keyvals)...)
}

func partFirst(keyvals []any) []any {
	for i := 0; i+1 < len(keyvals); i += 2 {
		if keyvals[i] != partKey {
			continue
		}
		moved := make([]any, 0, len(keyvals))
		moved = append(moved, keyvals[i], keyvals[i+1])
		moved = append(moved, keyvals[:i]...)
		return append(moved, keyvals[i+2:]...)
	}
	return keyvals
}

// rankOf finds the level of a line, given by the level package or by name; a line
// without one counts as info.
func rankOf(keyvals []any) int32 {
	for i := 0; i+1 < len(keyvals); i += 2 {
		if keyvals[i] != level.Key() {
			continue
		}
		if rank, ok := ranks[fmt.Sprint(keyvals[i+1])]; ok {
			return rank
		}
	}
	return ranks["info"]
}

// maxSentences bounds the sentences whose rate is followed; they are literals of the
// code, so that there are far fewer.
const maxSentences = 512

// Limited bounds the lines a second of each sentence, its msg, with bursts of the same
// number. A fault that strikes every request would otherwise fill the collector with
// one sentence; the bound keeps the first lines and leaves room for other sentences,
// and the count of the dropped ones says how often it struck.
func Limited(logger log.Logger, perSecond int) log.Logger {
	return newLimited(logger, perSecond, time.Now)
}

func newLimited(logger log.Logger, perSecond int, now func() time.Time) *limited {
	return &limited{
		next: logger, perSecond: perSecond, now: now,
		rates: ratelimit.New(maxSentences), dropped: map[string]int64{},
	}
}

type limited struct {
	next      log.Logger
	perSecond int
	now       func() time.Time
	rates     *ratelimit.Keyed

	mu sync.Mutex
	// dropped counts the lines left out since the last one of a sentence.
	dropped map[string]int64
}

func (l *limited) Log(keyvals ...any) error {
	sentence := sentenceOf(keyvals)
	if ok, _ := l.rates.Allow(l.now(), sentence, float64(l.perSecond), l.perSecond); !ok {
		l.mu.Lock()
		if len(l.dropped) < maxSentences || l.dropped[sentence] > 0 {
			l.dropped[sentence]++
		}
		l.mu.Unlock()
		return nil
	}
	l.mu.Lock()
	dropped := l.dropped[sentence]
	delete(l.dropped, sentence)
	l.mu.Unlock()
	if dropped > 0 {
		keyvals = append(keyvals[:len(keyvals):len(keyvals)], "dropped_before", dropped)
	}
	return l.next.Log(keyvals...)
}

// sentenceOf finds the msg of a line.
func sentenceOf(keyvals []any) string {
	for i := 0; i+1 < len(keyvals); i += 2 {
		if keyvals[i] == "msg" {
			return fmt.Sprint(keyvals[i+1])
		}
	}
	return ""
}
