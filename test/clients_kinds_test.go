package test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/apricothub/apricothub/test/harness"
)

// rudeClient is a client that does not behave, on one connection.
type rudeClient struct {
	net.Conn
	// request is the header of a request without the empty line at its end; post is one that may have a body.
	request, post string
	// long are whole requests with answers of a megabyte or more; empty where there are none.
	long []string
	// number differs between the connections of a crowd.
	number int
}

// clientKind is one way not to behave. play returns when the connection is no longer of use.
type clientKind struct {
	name string
	play func(c *rudeClient) error
	// needsLongAnswers means that it is played only where answers are long.
	needsLongAnswers bool
}

const (
	// endlessPart is the size in bytes of one write of a client that sends without end.
	endlessPart = 16 << 10
	// trickleInterval is the time between two bytes of a client that sends slowly.
	trickleInterval = 20 * time.Millisecond
	// rudeReadBuffer is the receive buffer in bytes of a client that does not read.
	rudeReadBuffer = 4 << 10
)

// clientKinds are all ways not to behave that the tests play.
func clientKinds() []clientKind {
	return []clientKind{
		{name: "a header a little over the limit", play: func(c *rudeClient) error {
			return c.sendAndRead(c.request + "A: " + strings.Repeat("a", 17<<10) + "\r\n\r\n")
		}},
		{name: "a header without end", play: func(c *rudeClient) error { return c.sendEndless(c.request, "Name: value\r\n") }},
		{name: "a header line without end", play: func(c *rudeClient) error { return c.sendEndless(c.request+"Name: ", "value") }},
		{name: "a request line without end", play: func(c *rudeClient) error { return c.sendEndless("GET /", "x") }},
		{name: "empty lines before the first request", play: func(c *rudeClient) error { return c.sendEndless("", "\r\n") }},
		{name: "empty lines between two requests", play: func(c *rudeClient) error {
			if err := c.ask(); err != nil {
				return err
			}
			return c.sendEndless("", "\r\n")
		}},
		{name: "bare line feeds", play: func(c *rudeClient) error { return c.sendEndless("", "\n") }},
		{name: "many short lines within the limit", play: func(c *rudeClient) error {
			return c.sendAndRead(c.request + shortLines(15<<10) + "\r\n")
		}},
		{name: "many short lines", play: func(c *rudeClient) error {
			return c.sendAndRead(c.request + shortLines(60<<10) + "\r\n")
		}},
		{name: "many short lines that stop", play: func(c *rudeClient) error { return c.sendAndHold(c.request + shortLines(60<<10)) }},
		{name: "a header byte by byte", play: func(c *rudeClient) error { return c.trickle(c.request + strings.Repeat("a", 1<<10)) }},
		{name: "idle from the start", play: (*rudeClient).hold},
		{name: "idle after a request", play: func(c *rudeClient) error {
			if err := c.ask(); err != nil {
				return err
			}
			return c.hold()
		}},
		{name: "a body that stops at its length", play: func(c *rudeClient) error {
			return c.sendAndHold(c.post + "Content-Length: 1000000\r\n\r\n" + strings.Repeat("x", 900<<10))
		}},
		{name: "a body that stops in a chunk", play: func(c *rudeClient) error {
			return c.sendAndHold(c.post + "Transfer-Encoding: chunked\r\n\r\nf0000\r\n" + strings.Repeat("x", 900<<10))
		}},
		{name: "a body byte by byte", play: func(c *rudeClient) error {
			return c.trickle(c.post + "Content-Length: 1000000\r\n\r\n" + strings.Repeat("x", 1<<20))
		}},
		{name: "a chunk extension without end", play: func(c *rudeClient) error {
			return c.sendEndless(c.post+"Transfer-Encoding: chunked\r\n\r\n5;", "name=value;")
		}},
		{name: "a trailer without end", play: func(c *rudeClient) error {
			return c.sendEndless(c.post+"Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n", "Name: value\r\n")
		}},
		{name: "requests without reading answers", play: func(c *rudeClient) error {
			return c.sendEndless("", c.request+"\r\n")
		}},
		{name: "a reader that stops in an answer", needsLongAnswers: true, play: func(c *rudeClient) error {
			return c.askAndStopReading(c.long[0])
		}},
		{name: "a reader that stops in a stream", needsLongAnswers: true, play: func(c *rudeClient) error {
			return c.askAndStopReading(c.long[1])
		}},
		{name: "connect and reset", play: func(c *rudeClient) error {
			_ = c.Conn.(*net.TCPConn).SetLinger(0)
			_, err := io.WriteString(c, c.request[:min(len(c.request), c.number%len(c.request))])
			return err
		}},
		{name: "first bytes of other protocols", play: func(c *rudeClient) error {
			first := []string{
				"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03" + strings.Repeat("\x00\xff", 200), "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + strings.Repeat("\x00", 100),
				"SSH-2.0-OpenSSH_9.6\r\n", "\x05\x01\x00", "*1\r\n$4\r\nPING\r\n", strings.Repeat("\xff", 20<<10),
			}
			return c.sendAndHold(first[c.number%len(first)])
		}},
	}
}

// shortLines returns header lines with short, different names, of so many bytes together.
func shortLines(bytes int) string {
	var text strings.Builder
	for n := 0; text.Len() < bytes; n++ {
		fmt.Fprintf(&text, "%x:\r\n", n)
	}
	return text.String()
}

// hold takes whatever comes and sends nothing.
func (c *rudeClient) hold() error {
	_, err := io.Copy(io.Discard, c)
	return err
}

func (c *rudeClient) sendAndHold(text string) error {
	if _, err := io.WriteString(c, text); err != nil {
		return err
	}
	return c.hold()
}

// sendAndRead sends a request and reads its answer.
func (c *rudeClient) sendAndRead(text string) error {
	if _, err := io.WriteString(c, text); err != nil {
		return err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

// ask sends a proper request without a body.
func (c *rudeClient) ask() error { return c.sendAndRead(c.request + "\r\n") }

// sendEndless sends first, and then part until the connection ends.
func (c *rudeClient) sendEndless(first, part string) error {
	_, err := io.WriteString(c, first)
	text := strings.Repeat(part, max(1, endlessPart/len(part)))
	for err == nil {
		_, err = io.WriteString(c, text)
	}
	return err
}

// trickle sends a text byte by byte.
func (c *rudeClient) trickle(text string) error {
	for i := range len(text) {
		if _, err := io.WriteString(c, text[i:i+1]); err != nil {
			return err
		}
		time.Sleep(trickleInterval)
	}
	return c.hold()
}

// askAndStopReading sends a request and reads nothing until the end of the crowd.
func (c *rudeClient) askAndStopReading(request string) error {
	if _, err := io.WriteString(c, request); err != nil {
		return err
	}
	// The end of the connection shows without reading only in what is sent.
	for {
		time.Sleep(trickleInterval)
		if _, err := io.WriteString(c, "\r\n"); err != nil {
			return err
		}
	}
}

// dialRudely connects with a small receive buffer. Each client of a crowd has an address of its own, so that the
// ports of ordinary callers are not used up.
func dialRudely(address string, number int) (net.Conn, error) {
	const hosts = 250
	from := &net.TCPAddr{IP: net.IPv4(127, 1, byte(1+number/hosts%hosts), byte(1+number%hosts))}
	dialer := harness.NewSmallReader(rudeReadBuffer)
	dialer.Timeout, dialer.LocalAddr = time.Second, from
	return dialer.Dial("tcp", address)
}
