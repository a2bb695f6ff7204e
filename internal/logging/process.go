package logging

import (
	"io"
	"time"

	"github.com/go-kit/log"
)

// closeTimeout is how long a process that ends waits for its last lines to be read: a reader
// that lives takes them in milliseconds.
const closeTimeout = 200 * time.Millisecond

// Process is the log of a process, which never keeps it waiting.
type Process struct {
	log.Logger
	*Level
	output *Async
}

// Open opens the log of the process part on vm. Lines go to w, at most linesPerSecond each
// second; level is the least level that is logged.
func Open(w io.Writer, part, vm, level string, linesPerSecond int) (*Process, error) {
	output := NewAsync(w, vm)
	limited := LimitRate(log.With(newSink(output), SelfKey, vm), linesPerSecond, output.Busy)
	logger, minLevel, err := newFiltered(limited, level)
	if err != nil {
		output.Close(0)
		return nil, err
	}
	return &Process{Logger: Part(logger, part), Level: minLevel, output: output}, nil
}

// Close writes the last lines, if somebody reads them.
func (p *Process) Close() { p.output.Close(closeTimeout) }
