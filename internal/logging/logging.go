// Package logging provides the logger of a process: logfmt lines with a fixed prefix for each part
// of the process, a level that can change at run time, a rate limit, and the vocabulary of keys.
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

// Level is the minimum level that is logged. It can be set at any time.
type Level struct {
	min atomic.Int32
}

// severities orders the names of the levels.
var severities = map[string]int32{"debug": 0, "info": 1, "warn": 2, "error": 3, "none": 4}

// Severities that the code compares with.
const (
	severityInfo = 1
	severityWarn = 2
)

// Set changes the level; name is debug, info, warn, error, or none to log nothing.
func (l *Level) Set(name string) error {
	severity, ok := severities[name]
	if !ok {
		return errors.Errorf("%q is not a level: debug, info, warn, error or none", name)
	}
	l.min.Store(severity)
	return nil
}

// New returns a logger that writes to w, and its level, which can be changed.
func New(w io.Writer, levelName string) (log.Logger, *Level, error) {
	return newFiltered(newSink(w), levelName)
}

// newSink returns the logger that formats and writes lines.
func newSink(w io.Writer) log.Logger {
	return &prefixed{next: log.NewLogfmtLogger(log.NewSyncWriter(w)), now: time.Now}
}

// newFiltered returns a logger that passes lines of at least the level to sink. Lines below the
// level never reach the sink, so they do not count towards a rate limit there.
func newFiltered(sink log.Logger, levelName string) (log.Logger, *Level, error) {
	minLevel := &Level{}
	if err := minLevel.Set(levelName); err != nil {
		return nil, nil, err
	}
	return &filter{next: sink, minLevel: minLevel}, minLevel, nil
}

// Part returns the logger of one part of the process; its lines begin with part=name.
func Part(logger log.Logger, name string) log.Logger {
	return log.With(logger, PartKey, name)
}

// Fields returns fields of a line. It is called only if the line is written, and passed to Log as
// the value of FieldsKey. At thousands of requests per second, the fields of lines that the rate
// limit drops would otherwise use a twentieth of the CPU time.
type Fields func() []any

// FieldsKey is the key of Fields in the arguments of Log.
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

// prefixed puts the part first in a line, then the level and the time. Without it, the functions
// of the level package would put the level first. Of a part within a part, the inner one is
// written.
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

// valueOf returns the last value of a key, or nil.
func valueOf(keyvals []any, key string) any {
	for i := len(keyvals) - 2; i >= 0; i -= 2 {
		if keyvals[i] == key || key == LevelKey && keyvals[i] == level.Key() {
			return keyvals[i+1]
		}
	}
	return nil
}

// severityOf returns the severity of a line, whose level is given by the level package or by name.
// A line without a level counts as info.
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
