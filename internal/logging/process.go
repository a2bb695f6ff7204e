package logging

import (
	"io"
	"time"

	"github.com/go-kit/log"
)

// closeTimeout is how long a process waits at its exit for its last lines to be read. A working
// reader reads them within milliseconds.
const closeTimeout = 200 * time.Millisecond

// Process is the log of a process. Logging never blocks.
type Process struct {
	log.Logger
	*Level
	output *Async
}

// Open opens the log of the process part on vm. It writes at most linesPerSecond lines per second
// to w; level is the minimum level that is logged.
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

// Close writes the last lines, as long as they are read within a short time.
func (p *Process) Close() { p.output.Close(closeTimeout) }
