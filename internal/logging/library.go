package logging

import (
	stdlog "log"
	"strings"

	"github.com/go-kit/log"
)

// maxLibraryBytes limits the length of a line from a library: a handler's panic includes its stack.
const maxLibraryBytes = 4 << 10

// NewStdLogger returns a standard logger for a library that logs plain text. Each text becomes a
// line with the sentence and the result, rate-limited like all other lines.
func NewStdLogger(logger log.Logger, sentence, result string) *stdlog.Logger {
	return stdlog.New(stdWriter{logger, sentence, result}, "", 0)
}

type stdWriter struct {
	logger           log.Logger
	sentence, result string
}

// Write implements io.Writer. Each call logs one line.
func (w stdWriter) Write(text []byte) (int, error) {
	line := strings.TrimSpace(string(text[:min(len(text), maxLibraryBytes)]))
	return len(text), w.logger.Log("level", "warn", "msg", w.sentence, "result", w.result, "err", line)
}
