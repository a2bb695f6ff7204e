// Package malformed lists bytes that look like a response to an HTTP request and are none by RFC 9112.
//
// All readers of responses are tested with the same list, so that none of them is more lenient than the others.
package malformed

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// Response is a malformed response with an intact body, where it has one.
type Response struct {
	Name string
	text string
	// IsLate means that the fault comes after the body, so that a reader of a stream has passed the body on.
	IsLate bool
}

// Part returns the part of a response that is malformed, such as its status line.
func (r Response) Part() string {
	part, _, _ := strings.Cut(r.Name, "/")
	return part
}

// Text returns the response to the request with an ID.
func (r Response) Text(id string) string { return strings.ReplaceAll(r.text, "{id}", id) }

const (
	// fields are those of a sound response, as backend servers on the platform send them.
	fields = "Attempt-Id: {id}\r\nUpstream-Signature: sig\r\n"
	// events is a body that also is a stream of events, with its length in bytes and as one chunk.
	events    = "id: 1\ndata: x\n\n"
	length    = "Content-Length: 15\r\n"
	chunk     = "f\r\n" + events + "\r\n"
	chunked   = "Transfer-Encoding: chunked\r\n"
	withBody  = length + "\r\n" + events
	lastChunk = "0\r\n"
)

// Sound returns a response to the request with an ID that differs from the malformed ones in nothing but their faults.
func Sound(id string) string {
	return Response{text: "HTTP/1.1 200 OK\r\n" + fields + withBody}.Text(id)
}

// statusLine is a response whose status line is malformed.
func statusLine(name, line string) Response {
	return Response{Name: "status line/" + name, text: line + fields + withBody}
}

// field is a response with a malformed field line beside sound ones.
func field(name, line string) Response {
	return Response{Name: "field/" + name, text: "HTTP/1.1 200 OK\r\n" + fields + line + withBody}
}

// framing is a response whose fields state the end of the body in a malformed way.
func framing(name, lines, body string) Response {
	return Response{Name: "framing/" + name, text: "HTTP/1.1 200 OK\r\n" + fields + lines + "\r\n" + body}
}

// chunks is a response whose chunks are malformed.
func chunks(name, body string) Response {
	return Response{Name: "chunks/" + name, text: "HTTP/1.1 200 OK\r\n" + fields + chunked + "\r\n" + body}
}

// trailer is a response with a malformed line after its last chunk.
func trailer(name, line string) Response {
	r := chunks(name, chunk+lastChunk+line+"\r\n")
	r.Name, r.IsLate = "trailer/"+name, true
	return r
}

// interim is a sound response after a malformed interim one.
func interim(name, head string) Response {
	return Response{Name: "interim/" + name, text: head + "\r\nHTTP/1.1 200 OK\r\n" + fields + withBody}
}

// ByPart returns all malformed responses by the part that is malformed.
func ByPart() map[string][]Response {
	parts := make(map[string][]Response)
	for _, r := range Responses() {
		parts[r.Part()] = append(parts[r.Part()], r)
	}
	return parts
}

// Responses returns all malformed responses.
func Responses() []Response {
	return []Response{
		statusLine("no HTTP", "SSH-2.0-OpenSSH\r\n"),
		statusLine("only a blank line", "\r\n"),
		statusLine("blank line before it", "\r\nHTTP/1.1 200 OK\r\n"),
		statusLine("version 0.9", "HTTP/0.9 200 OK\r\n"),
		statusLine("version 1.7", "HTTP/1.7 200 OK\r\n"),
		statusLine("version 2.0", "HTTP/2.0 200 OK\r\n"),
		statusLine("version with a leading zero", "HTTP/01.1 200 OK\r\n"),
		statusLine("lower case", "http/1.1 200 OK\r\n"),
		statusLine("two blanks before the status", "HTTP/1.1  200 OK\r\n"),
		statusLine("tab before the status", "HTTP/1.1\t200 OK\r\n"),
		statusLine("no blank after the status", "HTTP/1.1 200\r\n"),
		statusLine("status of four digits", "HTTP/1.1 2000 OK\r\n"),
		statusLine("status of two digits", "HTTP/1.1 20 OK\r\n"),
		statusLine("status with a sign", "HTTP/1.1 +20 OK\r\n"),
		statusLine("status 000", "HTTP/1.1 000 OK\r\n"),
		statusLine("status 099", "HTTP/1.1 099 OK\r\n"),
		statusLine("status 101", "HTTP/1.1 101 OK\r\n"),
		statusLine("status 600", "HTTP/1.1 600 OK\r\n"),
		statusLine("control byte in the reason", "HTTP/1.1 200 O\x01K\r\n"),
		statusLine("carriage return in the reason", "HTTP/1.1 200 O\rK\r\n"),

		field("blank in the name", "X Spoiled: 1\r\n"),
		field("blank before the colon", "X-Spoiled : 1\r\n"),
		field("tab before the colon", "X-Spoiled\t: 1\r\n"),
		field("control byte in the name", "X-\x01Spoiled: 1\r\n"),
		field("NUL in the name", "X-\x00Spoiled: 1\r\n"),
		field("byte above ASCII in the name", "X-Spoil\xe9: 1\r\n"),
		field("separator in the name", "X(Spoiled): 1\r\n"),
		field("empty name", ": 1\r\n"),
		field("no colon", "X-Spoiled\r\n"),
		field("control byte in the value", "X-Spoiled: a\x01b\r\n"),
		field("NUL in the value", "X-Spoiled: a\x00b\r\n"),
		field("DEL in the value", "X-Spoiled: a\x7fb\r\n"),
		field("carriage return in the value", "X-Spoiled: a\rb\r\n"),
		field("folded line", "X-Spoiled: a\r\n b\r\n"),
		{Name: "field/blank before the first", text: "HTTP/1.1 200 OK\r\n X-Spoiled: 1\r\n" + fields + withBody},

		framing("blank before the colon of the length", "Content-Length : 15\r\n", events),
		framing("blank in the name of the length", "Content Length: 15\r\n", events),
		framing("blank before the colon of the coding", "Transfer-Encoding : chunked\r\n", chunk+lastChunk+"\r\n"),
		framing("blank in the name of the coding", "Transfer -Encoding: chunked\r\n", chunk+lastChunk+"\r\n"),
		framing("two lengths", length+"Content-Length: 3\r\n", events),
		framing("list of lengths", "Content-Length: 15, 15\r\n", events),
		framing("length with a sign", "Content-Length: +15\r\n", events),
		framing("negative length", "Content-Length: -1\r\n", events),
		framing("hexadecimal length", "Content-Length: 0xf\r\n", events),
		framing("empty length", "Content-Length: \r\n", events),
		framing("length out of range", "Content-Length: 99999999999999999999\r\n", events),
		framing("length and chunks", length+chunked, chunk+lastChunk+"\r\n"),
		framing("chunked twice", chunked+chunked, chunk+lastChunk+"\r\n"),
		framing("unknown coding", "Transfer-Encoding: gzip, chunked\r\n", chunk+lastChunk+"\r\n"),
		framing("identity", "Transfer-Encoding: identity\r\n", events),
		{Name: "framing/chunks in HTTP 1.0", text: "HTTP/1.0 200 OK\r\n" + fields + chunked + "\r\n" + chunk + lastChunk + "\r\n"},
		{Name: "framing/204 with a body", text: "HTTP/1.1 204 No Content\r\n" + fields + withBody},

		chunks("blank before the size", " "+chunk+lastChunk+"\r\n"),
		chunks("blank after the size", "f \r\n"+events+"\r\n"+lastChunk+"\r\n"),
		chunks("size with a prefix", "0x"+chunk+lastChunk+"\r\n"),
		chunks("size with a sign", "+"+chunk+lastChunk+"\r\n"),
		chunks("empty size", "\r\n"+events+"\r\n"+lastChunk+"\r\n"),
		chunks("size out of range", "fffffffffffffffff\r\n"+events+"\r\n"+lastChunk+"\r\n"),
		chunks("control byte in an extension", "f;a=\x01\r\n"+events+"\r\n"+lastChunk+"\r\n"),
		chunks("line feed after the size", "f\n"+events+"\r\n"+lastChunk+"\r\n"),
		{Name: "chunks/longer than its size", text: chunks("", "f\r\n"+events+"more\r\n"+lastChunk+"\r\n").text, IsLate: true},
		{Name: "chunks/line feed after a chunk", text: chunks("", "f\r\n"+events+"\n"+lastChunk+"\r\n").text, IsLate: true},
		{Name: "chunks/blank before the last size", text: chunks("", chunk+" "+lastChunk+"\r\n").text, IsLate: true},

		trailer("blank in the name", "X Spoiled: 1\r\n"),
		trailer("blank before the colon", "X-Spoiled : 1\r\n"),
		trailer("control byte in the value", "X-Spoiled: a\x01b\r\n"),
		trailer("no colon", "X-Spoiled\r\n"),
		trailer("folded line", "X-Spoiled: a\r\n b\r\n"),

		interim("blank in a name", "HTTP/1.1 103 Early Hints\r\nX Spoiled: 1\r\n"),
		interim("blank before a colon", "HTTP/1.1 103 Early Hints\r\nLink : </a>\r\n"),
		interim("control byte in a value", "HTTP/1.1 103 Early Hints\r\nLink: \x01\r\n"),
		interim("with a length", "HTTP/1.1 103 Early Hints\r\nContent-Length: 1\r\n"),
		interim("with a coding", "HTTP/1.1 103 Early Hints\r\nTransfer-Encoding: chunked\r\n"),
		interim("status 099", "HTTP/1.1 099 Early\r\n"),
	}
}

// Serve answers each request with a text, on connections that it keeps open, and returns the server's address.
func Serve(t testing.TB, text string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go answer(conn, text)
		}
	}()
	return listener.Addr().String()
}

// answer answers the requests on a connection with a text.
func answer(conn net.Conn, text string) {
	defer func() { _ = conn.Close() }()
	br := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		if _, err := io.WriteString(conn, text); err != nil {
			return
		}
	}
}
