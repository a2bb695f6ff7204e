// Package explain puts together what the logs of several processes say of one request: its
// lines in order, and what its processes came to believe shortly before and meanwhile.
package explain

import (
	"bytes"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logfmt/logfmt"

	"github.com/apricothub/apricothub/internal/logging"
)

// Field is one key of a line with its value.
type Field struct{ Key, Value string }

// Line is one line of a log.
type Line struct {
	Time     time.Time
	Part, VM string
	Message  string
	Request  string
	// Result is the number and name of a result; empty for a line of no failure.
	Result string
	// Fields are the rest, in the order of the line.
	Fields []Field
	// order is the place of the line among all that were read, for lines of one moment.
	order int
}

// errNotLogLine says that a text is no line of a process's log.
var errNotLogLine = errors.New("no line of a log")

// parseLine reads a line in logfmt.
func parseLine(text []byte) (Line, error) {
	var l Line
	decoder := logfmt.NewDecoder(bytes.NewReader(text))
	if !decoder.ScanRecord() {
		return l, errNotLogLine
	}
	for decoder.ScanKeyval() {
		if err := l.setField(string(decoder.Key()), string(decoder.Value())); err != nil {
			return l, err
		}
	}
	if decoder.Err() != nil || l.Time.IsZero() || l.Message == "" {
		return l, errNotLogLine
	}
	return l, nil
}

func (l *Line) setField(key, value string) (err error) {
	switch key {
	case logging.TimeKey:
		l.Time, err = time.Parse(time.RFC3339Nano, value)
	case logging.PartKey:
		l.Part = value
	case logging.SelfKey:
		l.VM = value
	case logging.MessageKey:
		l.Message = value
	case logging.RequestKey:
		l.Request = value
	case logging.ResultKey:
		l.Result = value
	case logging.LevelKey:
	default:
		l.Fields = append(l.Fields, Field{key, value})
	}
	return err
}

// field returns the value of a key, or an empty one.
func (l *Line) field(key string) string {
	for _, f := range l.Fields {
		if f.Key == key {
			return f.Value
		}
	}
	return ""
}

// number returns the number that a key holds; zero when the line has none there.
func (l *Line) number(key string) int64 {
	n, err := strconv.ParseInt(l.field(key), 10, 64)
	if err != nil {
		return 0
	}
	return n
}
