package response

import (
	"bytes"
	"fmt"
	"strconv"
)

// SyntaxError is the error of bytes that are no response by RFC 9112. The request may have been executed.
type SyntaxError struct {
	// Part names the part of the response, such as "field line", and Problem what is wrong with it.
	Part, Problem string
}

func (e *SyntaxError) Error() string { return fmt.Sprintf("malformed %s: %s", e.Part, e.Problem) }

// Parts of a response, as errors name them.
const (
	partStatusLine = "status line"
	partField      = "field line"
	partHead       = "head"
	partChunk      = "chunk"
)

// parseStatusLine parses "HTTP/1.x SP 3DIGIT SP [reason-phrase]". minor is the minor version of the protocol.
func parseStatusLine(line []byte) (minor, status int, err error) {
	const example = "HTTP/1.1 200 "
	malformed := func(problem string) (int, int, error) {
		return 0, 0, &SyntaxError{partStatusLine, problem}
	}
	switch {
	case len(line) < len(example):
		return malformed("it is too short")
	case !isVersion(line[:8]):
		return malformed("the version is neither HTTP/1.0 nor HTTP/1.1")
	case line[8] != ' ' || line[12] != ' ':
		return malformed("the status is not between single spaces")
	case !isDigits(line[9:12]):
		return malformed("the status is no number of three digits")
	case !isText(line[13:]):
		return malformed("the reason has a control character")
	}
	status, _ = strconv.Atoi(string(line[9:12]))
	return int(line[7] - '0'), status, nil
}

func isVersion(text []byte) bool { return string(text) == "HTTP/1.1" || string(text) == "HTTP/1.0" }

// parseField parses "field-name ':' OWS field-value OWS". A line that continues the one before, which RFC 9112 lets a
// gateway reject, is an error.
func parseField(line []byte) (name, value []byte, err error) {
	name, value, hasColon := bytes.Cut(line, []byte{':'})
	switch {
	case line[0] == ' ' || line[0] == '\t':
		return nil, nil, &SyntaxError{partField, "it begins with white space"}
	case !hasColon:
		return nil, nil, &SyntaxError{partField, "it has no colon"}
	case !isToken(name):
		return nil, nil, &SyntaxError{partField, fmt.Sprintf("the name %.40q is no token", name)}
	case !isText(value):
		return nil, nil, &SyntaxError{partField, fmt.Sprintf("the value of %.40q has a control character", name)}
	}
	return name, bytes.Trim(value, " \t"), nil
}

// parseLength parses the value of Content-Length.
func parseLength(value []byte) (int64, error) {
	n, err := strconv.ParseInt(string(value), 10, 64)
	if !isDigits(value) || err != nil {
		return 0, &SyntaxError{partField, fmt.Sprintf("the length %.40q is no number of bytes", value)}
	}
	return n, nil
}

// parseChunkSize parses "chunk-size [chunk-ext]".
func parseChunkSize(line []byte) (int64, error) {
	size, extension := line, []byte(nil)
	if i := bytes.IndexByte(line, ';'); i >= 0 {
		// White space is allowed between the size and an extension only.
		size, extension = bytes.TrimRight(line[:i], " \t"), line[i:]
	}
	n, err := strconv.ParseInt(string(size), 16, 64)
	switch {
	case !isHex(size) || err != nil:
		return 0, &SyntaxError{partChunk, fmt.Sprintf("the size %.40q is no hexadecimal number of bytes", size)}
	case !isText(extension):
		return 0, &SyntaxError{partChunk, "an extension has a control character"}
	}
	return n, nil
}

// isToken reports whether text is a token of RFC 9110, such as the name of a field.
func isToken(text []byte) bool {
	for _, b := range text {
		isAlphanumeric := '0' <= b && b <= '9' || 'a' <= b && b <= 'z' || 'A' <= b && b <= 'Z'
		if !isAlphanumeric && bytes.IndexByte([]byte("!#$%&'*+-.^_`|~"), b) < 0 {
			return false
		}
	}
	return len(text) > 0
}

// isText reports whether text has no control characters but tabs, as in the value of a field.
func isText(text []byte) bool {
	const del = 0x7f
	for _, b := range text {
		if b < ' ' && b != '\t' || b == del {
			return false
		}
	}
	return true
}

func isDigits(text []byte) bool {
	for _, b := range text {
		if b < '0' || b > '9' {
			return false
		}
	}
	return len(text) > 0
}

func isHex(text []byte) bool {
	for _, b := range text {
		if (b < '0' || b > '9') && (b < 'a' || b > 'f') && (b < 'A' || b > 'F') {
			return false
		}
	}
	return len(text) > 0
}
