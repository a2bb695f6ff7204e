package response

import (
	"bytes"
	"net/http"
	"strings"

	"github.com/apricothub/apricothub/internal/bounded"
)

// scanner follows the bytes of a connection from response to response, and finds those that are no response by
// RFC 9112. It is a state machine without I/O.
// Lines of the head and the trailer may end with a line feed alone, which RFC 9112 lets recipients accept.
type scanner struct {
	state scanState
	// answersHead means that the next response answers a HEAD request and has no body.
	answersHead bool
	// line holds the bytes of a line whose end has not arrived.
	line []byte
	// head is how many bytes of lines were read since the last final head, or of the trailer.
	head int
	// left is how many bytes of a body or of a chunk are left.
	left    int64
	framing framing
}

// scanState is the part of a response that the next byte belongs to.
type scanState uint8

const (
	inStatusLine scanState = iota
	inFields
	inBody
	// inOpenBody is a body that ends with the connection.
	inOpenBody
	inChunkSize
	inChunk
	inChunkEnd
	inTrailer
)

// framing is what a head says of the body.
type framing struct {
	minor, status int
	// hasLength and isChunked mean that the head gives a length, and that the body comes in chunks.
	hasLength, isChunked bool
	length               int64
}

// isBetweenResponses reports whether the last response has ended and nothing of another one has arrived.
func (s *scanner) isBetweenResponses() bool {
	return s.state == inStatusLine && s.head == 0 && len(s.line) == 0
}

// scan follows the bytes of p. It returns how many of them may belong to responses, and an error if the next one does
// not. Nothing may be scanned after an error.
func (s *scanner) scan(p []byte) (valid int, err error) {
	for valid < len(p) {
		n, err := s.step(p[valid:])
		if err != nil {
			return valid, err
		}
		valid += n
	}
	return valid, nil
}

// step follows the bytes up to the end of a line or of a part of the body. It returns how many that are.
func (s *scanner) step(p []byte) (int, error) {
	switch s.state {
	case inOpenBody:
		return len(p), nil
	case inBody, inChunk:
		n := int(min(s.left, int64(len(p))))
		s.left -= int64(n)
		if s.left == 0 {
			s.endData()
		}
		return n, nil
	}
	end := bytes.IndexByte(p, '\n')
	n := end + 1
	if end < 0 {
		n = len(p)
	}
	if s.head+len(s.line)+n > bounded.MaxHeaderBytes {
		return 0, &bounded.TooLargeError{What: "the head of a response", Limit: bounded.MaxHeaderBytes}
	}
	line := p[:n]
	if end < 0 || len(s.line) > 0 {
		s.line = append(s.line, line...)
		line = s.line
	}
	if end < 0 {
		return n, s.checkBegun()
	}
	s.line = nil
	return n, s.endLine(line)
}

// checkBegun checks the line that has begun, so that bytes that are no response are found although no line of them ends.
func (s *scanner) checkBegun() error {
	const version = "HTTP/1."
	if s.state == inStatusLine && !strings.HasPrefix(version, string(s.line[:min(len(s.line), len(version))])) {
		return &SyntaxError{partStatusLine, "it does not begin with a version"}
	}
	return nil
}

// endLine follows a line, with the line feed at its end.
func (s *scanner) endLine(line []byte) error {
	size := len(line)
	line, isCRLF := bytes.CutSuffix(line, []byte("\r\n"))
	if !isCRLF {
		line = line[:len(line)-1]
	}
	switch s.state {
	case inStatusLine:
		s.head += size
		return s.beginHead(line)
	case inFields:
		s.head += size
		if len(line) == 0 {
			return s.endHead()
		}
		return s.addField(line)
	case inChunkSize:
		if !isCRLF {
			return &SyntaxError{partChunk, "its size does not end with CRLF"}
		}
		return s.beginChunk(line)
	case inChunkEnd:
		if len(line) > 0 || !isCRLF {
			return &SyntaxError{partChunk, "it does not end with CRLF"}
		}
		s.state = inChunkSize
		return nil
	default:
		s.head += size
		if len(line) == 0 {
			s.endResponse()
			return nil
		}
		_, _, err := parseField(line)
		return err
	}
}

func (s *scanner) beginHead(line []byte) error {
	minor, status, err := parseStatusLine(line)
	if err != nil {
		return err
	}
	if !IsInterim(status) {
		if err := CheckStatus(status); err != nil {
			return err
		}
	}
	s.framing = framing{minor: minor, status: status}
	s.state = inFields
	return nil
}

func (s *scanner) addField(line []byte) error {
	name, value, err := parseField(line)
	if err != nil {
		return err
	}
	switch {
	case strings.EqualFold(string(name), "Content-Length"):
		n, err := parseLength(value)
		if err != nil {
			return err
		}
		if s.framing.hasLength && n != s.framing.length {
			return &SyntaxError{partHead, "it has two lengths"}
		}
		s.framing.hasLength, s.framing.length = true, n
	case strings.EqualFold(string(name), "Transfer-Encoding"):
		if s.framing.isChunked || !strings.EqualFold(string(value), "chunked") {
			return &SyntaxError{partHead, "its transfer coding is not chunked, once"}
		}
		s.framing.isChunked = true
	}
	return nil
}

// endHead finds how the body after a head ends.
func (s *scanner) endHead() error {
	f := s.framing
	hasNoBody := f.status < http.StatusOK || f.status == http.StatusNoContent
	switch {
	case f.isChunked && f.hasLength:
		return &SyntaxError{partHead, "it has a length and a transfer coding"}
	case f.isChunked && f.minor == 0:
		return &SyntaxError{partHead, "HTTP/1.0 has no transfer codings"}
	case hasNoBody && (f.isChunked || f.length > 0):
		return &SyntaxError{partHead, "its status allows no body, and it announces one"}
	}
	switch {
	case f.status < http.StatusOK:
		// The final response has the same limit as the interim ones before it.
		s.state = inStatusLine
	case hasNoBody || f.status == http.StatusNotModified || s.answersHead || f.hasLength && f.length == 0:
		s.endResponse()
	case f.isChunked:
		s.head = 0
		s.state = inChunkSize
	case f.hasLength:
		s.left = f.length
		s.state = inBody
	default:
		s.state = inOpenBody
	}
	return nil
}

func (s *scanner) beginChunk(line []byte) error {
	size, err := parseChunkSize(line)
	if err != nil {
		return err
	}
	s.left = size
	s.state = inChunk
	if size == 0 {
		s.state = inTrailer
	}
	return nil
}

// endData ends a body with a length, or the bytes of a chunk.
func (s *scanner) endData() {
	if s.state == inChunk {
		s.state = inChunkEnd
		return
	}
	s.endResponse()
}

func (s *scanner) endResponse() {
	s.head = 0
	s.state = inStatusLine
}
