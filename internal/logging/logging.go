// Package logging makes the logger of a process: logfmt lines with a fixed prefix
// for each part, a level that may change while it runs, a bound on the rate, and the
// vocabulary of its keys.
package logging

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// Level is the least level that is logged; it may be set at any time.
type Level struct {
	min atomic.Int32
}

// severities orders the names of the levels.
var severities = map[string]int32{"debug": 0, "info": 1, "warn": 2, "error": 3, "none": 4}

// Ranks of levels that the code compares with.
const (
	severityInfo = 1
	severityWarn = 2
)

// Set changes the level; name is debug, info, warn, error, or none for no line at all.
func (l *Level) Set(name string) error {
	severity, ok := severities[name]
	if !ok {
		return errors.Errorf("%q is not a level: debug, info, warn, error or none", name)
	}
	l.min.Store(severity)
	return nil
}

// New makes the logger of a process that writes to w, with the level's name and
// the means to change it.
func New(w io.Writer, levelName string) (log.Logger, *Level, error) {
	return newFiltered(newSink(w), levelName)
}

// newSink makes the logger that writes lines.
func newSink(w io.Writer) log.Logger {
	return &prefixed{next: log.NewLogfmtLogger(log.NewSyncWriter(w)), now: time.Now}
}

// newFiltered makes the logger before a sink. What is below the level never reaches the sink, and
// takes no room of a bound there.
func newFiltered(sink log.Logger, levelName string) (log.Logger, *Level, error) {
	minLevel := &Level{}
	if err := minLevel.Set(levelName); err != nil {
		return nil, nil, err
	}
	return &filter{next: sink, minLevel: minLevel}, minLevel, nil
}

// Part returns the logger of one part; its lines begin with part=name.
func Part(logger log.Logger, name string) log.Logger {
	return log.With(logger, PartKey, name)
}

// Fields are fields of a line that are put together only if the line is written. They stand in
// a line as a pair with FieldsKey.
//
// Load: thousands of requests a second, each with a line that the bound leaves out. Harm
// prevented: a twentieth of the processor goes into fields that nobody sees.
type Fields func() []any

// FieldsKey is the key that Fields stand behind.
const FieldsKey = "fields"

// filter drops lines below the level.
type filter struct {
	next     log.Logger
	minLevel *Level
}

func (f *filter) Log(keyvals ...any) error {
	if severityOf(keyvals) < f.minLevel.min.Load() {
		return nil
	}
	return f.next.Log(keyvals...)
}

// prefixed puts the prefix of the part first, and behind it the level and the time: the
// level's own functions put theirs before everything. Of a part within a part, the inner one
// is named.
type prefixed struct {
	next log.Logger
	now  func() time.Time
}

func (p *prefixed) Log(keyvals ...any) error {
	line := make([]any, 0, len(keyvals)+2)
	for _, key := range []string{PartKey, LevelKey} {
		if value := valueOf(keyvals, key); value != nil {
			line = append(line, key, value)
		}
	}
	line = append(line, TimeKey, p.now().UTC().Format(time.RFC3339Nano))
	for i := 0; i+1 < len(keyvals); i += 2 {
		switch key := keyvals[i]; key {
		case PartKey, LevelKey, level.Key():
		case FieldsKey:
			if fields, ok := keyvals[i+1].(Fields); ok {
				line = append(line, fields()...)
			}
		default:
			line = append(line, key, keyvals[i+1])
		}
	}
	return p.next.Log(line...)
}

// valueOf returns the last value of a key; nil for none.
func valueOf(keyvals []any, key string) any {
	for i := len(keyvals) - 2; i >= 0; i -= 2 {
		if keyvals[i] == key || key == LevelKey && keyvals[i] == level.Key() {
			return keyvals[i+1]
		}
	}
	return nil
}

// severityOf finds the level of a line, given by the level package or by name; a line
// without one counts as info.
func severityOf(keyvals []any) int32 {
	value := valueOf(keyvals, LevelKey)
	if value == nil {
		return severityInfo
	}
	if severity, ok := severities[textOf(value)]; ok {
		return severity
	}
	return severityInfo
}

func textOf(value any) string {
	switch value := value.(type) {
	case string:
		return value
	case fmt.Stringer:
		return value.String()
	default:
		return fmt.Sprint(value)
	}
}
