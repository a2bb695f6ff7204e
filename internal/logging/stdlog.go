package logging

import (
	stdlog "log"
	"strings"

	"github.com/go-kit/log"
)

// maxLibraryBytes bounds a line of a library: a panic of a handler comes with its stack.
const maxLibraryBytes = 4 << 10

// NewStdLogger makes the logger of a library that writes text by itself. Each text becomes a
// line with the sentence and the result, bounded in rate like all others.
func NewStdLogger(logger log.Logger, sentence, result string) *stdlog.Logger {
	return stdlog.New(stdWriter{logger, sentence, result}, "", 0)
}

type stdWriter struct {
	logger           log.Logger
	sentence, result string
}

// Write implements io.Writer; it takes one text a call.
func (l stdWriter) Write(text []byte) (int, error) {
	line := strings.TrimSpace(string(text[:min(len(text), maxLibraryBytes)]))
	return len(text), l.logger.Log("level", "warn", "msg", l.sentence, "result", l.result, "err", line)
}
