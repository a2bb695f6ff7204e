// Package explain builds the timeline of one request from the logs of several processes: its lines
// in order, and the lines about the state of its processes shortly before and during the request.
package explain

import (
	"bytes"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logfmt/logfmt"

	"github.com/apricothub/apricothub/internal/logging"
)

// Field is a key of a line with its value.
type Field struct{ Key, Value string }

// Line is one line of a log.
type Line struct {
	Time     time.Time
	Part, VM string
	Message  string
	Request  string
	// Result is the number and name of a result; empty if the line is not about a failure.
	Result string
	// Fields are the other fields, in the order of the line.
	Fields []Field
	// order is the position among all lines read. It orders lines with the same time.
	order int
}

// errNotLogLine is returned for text that is not a line of a process's log.
var errNotLogLine = errors.New("not a log line of a process")

// parseLine parses a logfmt line.
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

// field returns the value of a key, empty if the line does not have it.
func (l *Line) field(key string) string {
	for _, f := range l.Fields {
		if f.Key == key {
			return f.Value
		}
	}
	return ""
}

// number returns the value of a key as a number, zero if there is none.
func (l *Line) number(key string) int64 {
	n, err := strconv.ParseInt(l.field(key), 10, 64)
	if err != nil {
		return 0
	}
	return n
}
