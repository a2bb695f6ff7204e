package logging

import (
	"io"
	"time"

	"github.com/go-kit/log"
)

// closePatience is how long a process that ends waits for its last lines to be read: a reader
// that lives takes them in milliseconds.
const closePatience = 200 * time.Millisecond

// Process is the log of a process, which never keeps it waiting.
type Process struct {
	log.Logger
	*Level
	lines *Async
}

// Open opens the log of the process part on vm. Lines go to w, at most linesPerSecond each
// second; level is the least level that is logged.
func Open(w io.Writer, part, vm, level string, linesPerSecond int) (*Process, error) {
	lines := NewAsync(w, vm)
	bounded := Bound(log.With(newSink(lines), SelfKey, vm), linesPerSecond, lines.Busy)
	logger, least, err := filtered(bounded, level)
	if err != nil {
		lines.Close(0)
		return nil, err
	}
	return &Process{Logger: Part(logger, part), Level: least, lines: lines}, nil
}

// Close writes the last lines, if somebody reads them.
func (p *Process) Close() { p.lines.Close(closePatience) }
