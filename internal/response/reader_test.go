package response

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/go-faster/errors"

	"github.com/apricothub/apricothub/internal/bounded"
	"github.com/apricothub/apricothub/internal/sockets"
	"github.com/apricothub/apricothub/test/malformed"
)

var get = &http.Request{Method: http.MethodGet}

// inOrder is the end of a connection that its peer has ended in order.
func inOrder() error { return nil }

// splits read a text whole and byte by byte, so that lines are complete and not.
var splits = map[string]func(io.Reader) io.Reader{"whole": func(r io.Reader) io.Reader { return r }, "byte by byte": iotest.OneByteReader}

// Guards against a reader of responses that is more lenient than RFC 9112.
func TestMalformedResponsesAreRefused(t *testing.T) {
	for _, m := range malformed.Responses() {
		for name, split := range splits {
			r := NewReader(split(strings.NewReader(m.Text("r1"))), inOrder)
			resp, err := r.Next(get)
			if err == nil {
				_, err = io.ReadAll(resp.Body)
			}
			if err == nil {
				t.Errorf("%s, %s: read as status %d", m.Name, name, resp.StatusCode)
			}
			if r.IsBetweenResponses() {
				t.Errorf("%s, %s: the connection could be used again", m.Name, name)
			}
		}
	}
}

// Guards against a reader that refuses what RFC 9112 allows.
func TestSoundResponsesAreRead(t *testing.T) {
	for _, c := range []struct{ name, method, text, body string }{
		{"a length", "GET", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "ok"},
		{"the same length twice", "GET", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nok", "ok"},
		{"no reason", "GET", "HTTP/1.1 200 \r\nContent-Length: 2\r\n\r\nok", "ok"},
		{"a reason in another script", "GET", "HTTP/1.1 200 \xc3\xa9\t\r\nContent-Length: 2\r\n\r\nok", "ok"},
		{"HTTP/1.0", "GET", "HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok", "ok"},
		{"line feeds alone in the head", "GET", "HTTP/1.1 200 OK\nContent-Length: 2\n\nok", "ok"},
		{"white space around a value", "GET", "HTTP/1.1 200 OK\r\nContent-Length:\t 2 \t\r\n\r\nok", "ok"},
		{"an empty value", "GET", "HTTP/1.1 200 OK\r\nX:\r\nContent-Length: 2\r\n\r\nok", "ok"},
		{"a name of symbols", "GET", "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~: x\r\nContent-Length: 2\r\n\r\nok", "ok"},
		{"bytes above ASCII in a value", "GET", "HTTP/1.1 200 OK\r\nX: \xff\r\nContent-Length: 2\r\n\r\nok", "ok"},
		{"chunks", "GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n1\r\no\r\n01\r\nk\r\n0\r\n\r\n", "ok"},
		{"chunk extensions", "GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;a=\"b c\"\r\nok\r\n0;a\r\n\r\n", "ok"},
		{"a trailer", "GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX: y\r\n\r\n", "ok"},
		{"interim responses", "GET", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "ok"},
		{"no body", "GET", "HTTP/1.1 204 No Content\r\n\r\n", ""},
		{"204 with a length of zero", "GET", "HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n", ""},
		{"304 with a length", "GET", "HTTP/1.1 304 Not Modified\r\nContent-Length: 2\r\n\r\n", ""},
		{"HEAD with a length", "HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n", ""},
		{"HEAD with chunks", "HEAD", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", ""},
	} {
		for name, split := range splits {
			req := &http.Request{Method: c.method}
			// Two responses on one connection show that the end of the first one was found.
			r := NewReader(split(strings.NewReader(c.text+c.text)), inOrder)
			for n := range 2 {
				resp, err := r.Next(req)
				if err != nil {
					t.Errorf("%s, %s, response %d: %v", c.name, name, n, err)
					break
				}
				body, err := io.ReadAll(resp.Body)
				if string(body) != c.body || err != nil {
					t.Errorf("%s, %s, response %d: body %q, %v", c.name, name, n, body, err)
				}
			}
			if !r.IsBetweenResponses() {
				t.Errorf("%s, %s: the connection cannot be used again", c.name, name)
			}
		}
	}
}

// Guards against a body without a length that is checked as if another response followed.
func TestABodyThatEndsWithTheConnection(t *testing.T) {
	r := NewReader(strings.NewReader("HTTP/1.1 200 OK\r\n\r\nok\x00\r\n\r\n"), inOrder)
	resp, err := r.Next(get)
	if err != nil {
		t.Fatal(err)
	}
	if body, err := io.ReadAll(resp.Body); string(body) != "ok\x00\r\n\r\n" || err != nil || r.IsBetweenResponses() {
		t.Errorf("body %q, %v", body, err)
	}
}

// Guards against a part of a body that counts as whole because its connection seems to end in order, and against a whole
// body that depends on the end of its connection.
func TestOnlyABodyWithoutALengthNeedsTheEndOfItsConnection(t *testing.T) {
	for _, c := range []struct {
		name, text string
		needsEnd   bool
	}{
		{"no length", "HTTP/1.1 200 OK\r\n\r\nok", true},
		{"no length and no body", "HTTP/1.1 200 OK\r\n\r\n", true},
		{"HTTP/1.0", "HTTP/1.0 200 OK\r\n\r\nok", true},
		{"a length", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", false},
		{"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", false},
		{"204", "HTTP/1.1 204 No Content\r\n\r\n", false},
	} {
		for name, split := range splits {
			r := NewReader(split(iotest.DataErrReader(strings.NewReader(c.text))), func() error { return sockets.ErrReset })
			resp, err := r.Next(get)
			if err != nil {
				t.Errorf("%s, %s: %v", c.name, name, err)
				continue
			}
			if _, err := io.ReadAll(resp.Body); errors.Is(err, sockets.ErrReset) != c.needsEnd || !c.needsEnd && err != nil {
				t.Errorf("%s, %s: error %v", c.name, name, err)
			}
		}
	}
}

// Guards against bytes after a response that spoil it, or that are read as the response to the next request.
func TestBytesAfterAResponseDoNotSpoilIt(t *testing.T) {
	for _, extra := range []string{"\x00", "x", "\r\n", "HTTP/1.1 200 OK\r\nX Spoiled: 1\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"} {
		r := NewReader(strings.NewReader("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"+extra), inOrder)
		resp, err := r.Next(get)
		if err != nil {
			t.Fatal(err)
		}
		if body, err := io.ReadAll(resp.Body); string(body) != "ok" || err != nil {
			t.Errorf("before %q: body %q, %v", extra, body, err)
		}
		if r.IsBetweenResponses() {
			t.Errorf("the connection could be used again after %q", extra)
		}
	}
}

// endless is a part of a response that a faulty server repeats without end.
var endless = map[string]struct{ before, part string }{
	"no line":                {"", "\x00\x01"},
	"a status line":          {"HTTP/1.1 200 ", "OK"},
	"blank lines":            {"", "\r\n"},
	"a field's name":         {"HTTP/1.1 200 OK\r\n", "name"},
	"a field's value":        {"HTTP/1.1 200 OK\r\nName: ", "value"},
	"fields":                 {"HTTP/1.1 200 OK\r\n", "Name: value\r\n"},
	"interim responses":      {"", "HTTP/1.1 102 Processing\r\n\r\n"},
	"fields of an interim":   {"HTTP/1.1 102 Processing\r\n", "Name: value\r\n"},
	"a chunk's size":         {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0"},
	"a chunk's extension":    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;a=", "b"},
	"extensions of chunks":   {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1;a=" + strings.Repeat("b", 2000) + "\r\nx\r\n"},
	"fields of a trailer":    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "Name: value\r\n"},
	"a value of a trailer":   {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nName: ", "value"},
	"the end of the chunks":  {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx", "x"},
	"empty lines for chunks": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "\r\n"},
}

// Guards against a part of a response without end that is read on, or kept, until the memory is full.
func TestResponsesWithoutEndAreRefused(t *testing.T) {
	// What is read beyond the limit of a head: one buffer, and the data between chunk extensions.
	const maxRead = 2 * bounded.MaxHeaderBytes
	for name, e := range endless {
		source := &countingReader{r: io.MultiReader(strings.NewReader(e.before), &repeater{part: e.part})}
		r := NewReader(source, inOrder)
		resp, err := r.Next(get)
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
		}
		if err == nil || source.n > maxRead {
			t.Errorf("%s: %d bytes were read, error %v", name, source.n, err)
		}
	}
}

// repeater reads a text again and again.
type repeater struct {
	part string
	next int
}

func (r *repeater) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = r.part[r.next]
		r.next = (r.next + 1) % len(r.part)
	}
	return len(p), nil
}

// countingReader counts what is read, and fails after far too much.
type countingReader struct {
	r io.Reader
	n int64
}

func (c *countingReader) Read(p []byte) (int, error) {
	if c.n > 64<<20 {
		return 0, fmt.Errorf("%d bytes were read", c.n)
	}
	n, err := c.r.Read(p)
	c.n += int64(n)
	return n, err
}

// FuzzReader looks for bytes that the scanner takes for whole responses and net/http reads with other bodies.
func FuzzReader(f *testing.F) {
	for _, m := range malformed.Responses() {
		f.Add(m.Text("r1"))
	}
	f.Add(malformed.Sound("r1") + malformed.Sound("r2"))
	f.Fuzz(func(t *testing.T, text string) {
		r := NewReader(strings.NewReader(text), inOrder)
		for {
			resp, err := r.Next(get)
			if err != nil {
				return
			}
			for name, values := range resp.Header {
				if !isToken([]byte(name)) || !isText([]byte(strings.Join(values, ""))) {
					t.Fatalf("the field %q: %q was read", name, values)
				}
			}
			if _, err := io.Copy(io.Discard, resp.Body); err != nil {
				return
			}
			atEnd := r.br.Buffered() == 0
			if s := r.in.scanner.state; atEnd && r.in.err == nil && s != inStatusLine && s != inOpenBody && s != inFields {
				t.Fatalf("the body has ended, and the scanner is in state %d", s)
			}
		}
	})
}
