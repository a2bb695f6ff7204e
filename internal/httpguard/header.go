package httpguard

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/decide/shed"
	"github.com/apricothub/apricothub/internal/result"
)

const (
	// headerLineBytes is what a header line takes when it is parsed, beside its bytes: an entry of a map with
	// its name and value.
	headerLineBytes = 256
	// freeHeaderBytes of a parsed header are part of connectionBytes.
	freeHeaderBytes = 8 << 10
	// refusalWriteTime limits the writing of a refusal.
	refusalWriteTime = 500 * time.Millisecond
)

// minRetryAfter and maxRetryAfter limit the time after which a client is told to return.
const (
	minRetryAfter = 500 * time.Millisecond
	maxRetryAfter = 2 * time.Second
)

// noRoom returns the refusal of a request for which there is no room. It was not read whole, so it has not run. Clients
// that are refused together are told different times.
func noRoom() *result.Error {
	return result.Refuse(api.ResultCode_SATURATED, minRetryAfter+rand.N(maxRetryAfter-minRetryAfter))
}

// headerScan follows the bytes of a header until its end.
type headerScan struct {
	// isStarted means that a byte has come, hasRequestLine that the request line is complete and isEnded that
	// the header is.
	isStarted, hasRequestLine, isEnded bool
	// lineBytes is the length of the current line, endsInCR means that its last byte so far is a carriage return.
	lineBytes int
	endsInCR  bool
	// requestLine counts the bytes up to the end of the request line, fields those of the header lines.
	requestLine, fields int64
	lines               int64
}

// scan takes the next bytes. Those after the end of the header are ignored.
func (h *headerScan) scan(p []byte) {
	for len(p) > 0 && !h.isEnded {
		end := bytes.IndexByte(p, '\n')
		if end < 0 {
			h.addToLine(p)
			return
		}
		h.addToLine(p[:end])
		h.endLine()
		p = p[end+1:]
	}
}

func (h *headerScan) addToLine(p []byte) {
	if len(p) == 0 {
		return
	}
	h.lineBytes += len(p)
	h.endsInCR = p[len(p)-1] == '\r'
	h.count(len(p))
}

func (h *headerScan) count(bytes int) {
	if h.hasRequestLine {
		h.fields += int64(bytes)
	} else {
		h.requestLine += int64(bytes)
	}
}

func (h *headerScan) endLine() {
	h.count(1)
	switch {
	// The library takes just these lines for empty.
	case h.lineBytes == 0 || h.lineBytes == 1 && h.endsInCR:
		// Empty lines may come before the request line.
		h.isEnded = h.hasRequestLine
	case h.hasRequestLine:
		h.lines++
	default:
		h.hasRequestLine = true
	}
	h.lineBytes = 0
}

// cost returns what the parsed header takes, in bytes.
func (h *headerScan) cost() int64 { return h.requestLine + h.fields + h.lines*headerLineBytes }

// scanHeader takes bytes of a header, and returns why its request is refused, or nil.
func (c *connection) scanHeader(p []byte) *result.Error {
	if !c.header.isStarted {
		c.header.isStarted = true
		_ = c.Conn.SetReadDeadline(deadlineAfter(c.limits.HeaderTime))
	}
	c.header.scan(p)
	if limit := c.limits.HeaderBytes; limit > 0 && (c.header.fields > limit || c.header.requestLine > limit) {
		return result.Newf(api.ResultCode_HEADER_TOO_LARGE, "The header is larger than %d bytes.", limit)
	}
	if cost := c.header.cost() - freeHeaderBytes; cost > c.held && !c.hold(cost-c.held) {
		return noRoom()
	}
	return nil
}

// refuse answers a request whose header was not read whole, and lets the client read the answer.
func (c *connection) refuse(err *result.Error) {
	c.guard.move(c, shed.Refused, c.held)
	c.held = 0
	_ = c.Conn.SetWriteDeadline(time.Now().Add(refusalWriteTime))
	if _, writeErr := c.Conn.Write(refusal(err)); writeErr != nil || c.closeWrite() != nil {
		return
	}
	c.drain()
}

// refusal returns the answer to a request that was not read.
func refusal(err *result.Error) []byte {
	body, _ := json.Marshal(result.Body{Error: err.Detail()})
	header := http.Header{"Content-Type": {"application/json"}, "Connection": {"close"}, "Content-Length": {fmt.Sprint(len(body))}}
	err.SetHeader(header)
	status := result.Lookup(err.Code).HTTP
	var text bytes.Buffer
	fmt.Fprintf(&text, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	_ = header.Write(&text)
	text.WriteString("\r\n")
	text.Write(body)
	return text.Bytes()
}
