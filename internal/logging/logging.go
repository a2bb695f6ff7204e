// Package logging makes the logger of a process: logfmt lines with a fixed prefix
// for each part, a level that may change while it runs, a bound on the rate, and the
// vocabulary of its keys.
package logging

import (
	"fmt"
	"io"
	"sync/atomic"

	"github.com/go-faster/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// Level is the least level that is logged; it may be set at any time.
type Level struct {
	least atomic.Int32
}

// ranks orders the names of the levels.
var ranks = map[string]int32{"debug": 0, "info": 1, "warn": 2, "error": 3, "none": 4}

// Set changes the level; name is debug, info, warn, error, or none for no line at all.
func (l *Level) Set(name string) error {
	rank, ok := ranks[name]
	if !ok {
		return errors.Errorf("%q is not a level: debug, info, warn, error or none", name)
	}
	l.least.Store(rank)
	return nil
}

// New makes the logger of a process that writes to w, with the level's name and
// the means to change it.
func New(w io.Writer, levelName string) (log.Logger, *Level, error) {
	return filtered(log.NewLogfmtLogger(log.NewSyncWriter(w)), levelName)
}

// filtered makes the logger before a sink. What is below the level never reaches the sink, and
// takes no room of a bound there.
func filtered(sink log.Logger, levelName string) (log.Logger, *Level, error) {
	least := &Level{}
	if err := least.Set(levelName); err != nil {
		return nil, nil, err
	}
	filtered := &filter{next: sink, least: least}
	return log.With(filtered, TimeKey, log.DefaultTimestampUTC), least, nil
}

// Part returns the logger of one part; its lines begin with part=name.
func Part(logger log.Logger, name string) log.Logger {
	return log.With(logger, PartKey, name)
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
		if keyvals[i] != PartKey {
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
